// Package sched is the root package of parsleybarrow. It holds the domain
// types that all parts share and the interfaces to what varies: the platform's
// log, the list of instances, the workers, the backend servers and the peers.
//
// The packages below pkg/ implement decisions as pure state machines: inputs
// and the current time go in, commands come out. They do no I/O and start no
// goroutine. Values of this package are immutable once shared; the With
// methods return changed copies.
package sched
