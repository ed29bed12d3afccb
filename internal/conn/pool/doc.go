// Package pool keeps the connections to backend servers and sends requests on
// them, one at a time per connection. It uses the HTTP/1.1 reader and writer of
// net/http on connections of its own, because the transport of net/http neither
// discards a single connection on demand nor reports whether any byte of a
// request was written.
package pool
