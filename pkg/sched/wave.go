package sched

import "time"

// Wave is an operator's request for maintenance of a set of workers' machines.
type Wave struct {
	Number   int64
	Machines []InstanceID
	// Within is the time within which the maintenance of all machines should be
	// done.
	Within time.Duration
	// AtOnce is the maximum number of machines that are down for maintenance at
	// the same time.
	AtOnce int
}
