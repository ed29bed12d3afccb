// Package guard limits the memory and the connections that the clients of an HTTP
// listener may take, by the decisions of package budget.
//
// A Guard wraps the listener, whose connections count what they receive, and the handler.
// It reserves memory for a connection when it is accepted, for a header chunk by chunk
// before it is parsed, and for a body before it is read. There is no goroutine and no
// timer for each connection: Run checks all of them once a second.
package guard
