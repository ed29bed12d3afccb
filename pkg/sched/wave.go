package sched

import "time"

// MaintenanceWave is an operator's request for maintenance of a set of workers' machines.
type MaintenanceWave struct {
	Number   int64
	Machines []InstanceID
	// TimeLimit is the time within which the maintenance of all machines should be
	// done.
	TimeLimit time.Duration
	// MaxConcurrent is the maximum number of machines that are down for maintenance at
	// the same time.
	MaxConcurrent int
}
