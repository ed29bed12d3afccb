// Package sched is the root package of parsleybarrow. It defines the domain
// types that all packages share, and the interfaces to the systems outside the
// process: the platform's log and store, the list of instances, the workers,
// the backend servers and the peer instances.
//
// The packages below pkg/ implement decisions as pure state machines: they take
// inputs and the current time and return commands. They do no I/O and start no
// goroutine. Values of this package must not be modified once they are shared;
// the With methods return changed copies.
package sched
