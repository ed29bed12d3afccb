package sched

import (
	"context"
	"time"
)

// CommandKind is what a worker is asked to do with a task.
type CommandKind int

// Kinds of commands.
const (
	// CommandStart starts an attempt, from Checkpoint if one is named. It is
	// idempotent per task and attempt; an attempt that was stopped or has
	// ended never starts again.
	CommandStart CommandKind = iota + 1
	// CommandBind hands over an attempt that the worker starts by itself, in
	// order of arrival, once its resources are free.
	CommandBind
	// CommandStop ends an attempt. It also rules out a later start of it.
	CommandStop
	// CommandCheckpoint writes a checkpoint and then ends the attempt.
	CommandCheckpoint
	// CommandThrottle sets the share of its processors an attempt may use.
	CommandThrottle
	// CommandForget drops the worker's memory of an ended attempt.
	CommandForget
)

// Command is one order to a worker.
type Command struct {
	Kind       CommandKind
	Task       TaskID
	Attempt    Attempt
	TaskKind   string
	Needs      Resources
	Checkpoint CheckpointID
	// Share is between 0 and 1, for CommandThrottle.
	Share float64
}

// WorkerCall renews a worker's lease and carries commands.
type WorkerCall struct {
	// Term is the fencing token of the planner. A worker that checks tokens
	// refuses calls with a lower one than it has seen.
	Term Offset
	// Boot is the worker's boot that the commands are meant for, 0 for any. A
	// worker that checks tokens ignores a call for another boot, so that a
	// delayed start can't run an attempt again after a restart.
	Boot uint64
	// NotAfter is the end of the lease that this call grants. A worker whose
	// clock is past it ignores the call.
	NotAfter time.Time
	Commands []Command
}

// AttemptState is the state of an attempt at a worker.
type AttemptState int

// States of attempts at a worker.
const (
	AttemptWaiting AttemptState = iota + 1 // bound, not started
	AttemptRunning
	AttemptDone
	AttemptFailed
	AttemptStopped      // stopped by command
	AttemptCheckpointed // ended with a checkpoint
	AttemptLapsed       // stopped since the lease ran out
)

// Ended tells whether an attempt in this state no longer runs and never will.
func (s AttemptState) Ended() bool { return s >= AttemptDone }

// AttemptReport is what a worker says about one attempt.
type AttemptReport struct {
	Task       TaskID
	Attempt    Attempt
	State      AttemptState
	Checkpoint CheckpointID
	// TaskKind is the kind that the command named, empty if the worker doesn't
	// know it.
	TaskKind string
	// Progress is the run time that the attempt has completed, checkpoints
	// included.
	Progress time.Duration
	Usage    Resources
	Reason   string
}

// ServiceReport is the load and the latency of one service on a worker.
type ServiceReport struct {
	Service string
	// Load is between 0 and 1: busy slots over slots.
	Load float64
	// P99 is the service's 99th percentile over the report's interval.
	P99 time.Duration
}

// WorkerReport is the answer to a WorkerCall. Measurements lag: they were
// taken at MeasuredAt.
type WorkerReport struct {
	Worker InstanceID
	// Boot rises with every restart of the worker. Attempts of an earlier
	// boot no longer run.
	Boot       uint64
	Term       Offset
	LeaseUntil time.Time
	MeasuredAt time.Time
	// Attempts lists every attempt that the worker knows and was not told to
	// forget.
	Attempts []AttemptReport
	Services []ServiceReport
}

// Workers reaches the workers of the platform.
type Workers interface {
	// Exchange makes one call. ErrUnavailable means that the worker did not
	// act on it; after other errors it may have.
	Exchange(c context.Context, worker Member, call WorkerCall) (WorkerReport, error)
}
