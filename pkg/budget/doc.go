// Package budget decides how much of a machine the requests of clients may take: the
// shares of memory and connections of each listener, what a request costs, which
// connections to close when a share is used up, and which are too slow.
//
// It handles crowds of up to a few thousand connections for each process. It does no I/O
// and starts no goroutine.
package budget
