// Package flood compares policies of the request path on a small event queue
// with virtual time. Admission, routing, retries and the judgement of
// connections are the real decision code; workers, network and callers are
// fakes. It is no simulator of a cluster.
package flood
