// Package pool holds the connections to backend servers and sends one request
// on one of them. It uses the HTTP/1.1 reader and writer of net/http on
// connections of its own, because the transport of net/http neither lets a
// single connection be discarded nor tells whether anything was written.
package pool
