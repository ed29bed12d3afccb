package sched

import (
	"context"
	"time"
)

// CommandKind is the type of a Command.
type CommandKind int

// Kinds of commands.
const (
	// CommandStart starts an attempt, from Checkpoint if it is set. It is
	// idempotent per task and attempt; an attempt that was stopped or has
	// ended never starts again.
	CommandStart CommandKind = iota + 1
	// CommandBind adds an attempt to the worker's own queue. The worker starts
	// queued attempts in order of arrival, once their resources are free.
	CommandBind
	// CommandStop stops an attempt. If the attempt has not started yet, a start
	// command that arrives later has no effect.
	CommandStop
	// CommandCheckpoint writes a checkpoint and then ends the attempt.
	CommandCheckpoint
	// CommandThrottle limits an attempt to a share of its processors.
	CommandThrottle
	// CommandForget lets the worker delete its record of an ended attempt.
	CommandForget
)

// Command is one instruction to a worker about one attempt of a batch task.
type Command struct {
	Kind       CommandKind
	Task       TaskID
	Attempt    Attempt
	TaskKind   string
	Needs      Resources
	Checkpoint CheckpointID
	// Share is the share of the processors, 0 to 1, for CommandThrottle.
	Share float64
}

// WorkerCall renews a worker's lease and carries commands.
type WorkerCall struct {
	// Term is the planner's term, which serves as its fencing token. A worker
	// that checks tokens refuses a call whose term is lower than the highest one
	// that it has seen.
	Term Offset
	// Boot is the boot number of the worker for which the commands are meant, 0
	// for any. A worker that checks tokens ignores a call for another boot;
	// otherwise a delayed start could run an attempt again after a restart.
	Boot uint64
	// NotAfter is the expiry of the lease that this call grants. A worker whose
	// clock is past this time ignores the call.
	NotAfter time.Time
	Commands []Command
}

// AttemptState is the state of an attempt on its worker.
type AttemptState int

// Attempt states. In all but AttemptWaiting and AttemptRunning the attempt has
// ended.
const (
	AttemptWaiting AttemptState = iota + 1 // bound, not started
	AttemptRunning
	AttemptDone
	AttemptFailed
	AttemptStopped      // stopped by command
	AttemptCheckpointed // ended with a checkpoint
	AttemptLeaseExpired // stopped because the lease expired
)

// Ended reports whether an attempt in this state has ended for good.
func (s AttemptState) Ended() bool { return s >= AttemptDone }

// AttemptReport is a worker's report on one attempt.
type AttemptReport struct {
	Task       TaskID
	Attempt    Attempt
	State      AttemptState
	Checkpoint CheckpointID
	// TaskKind is the kind given in the command that started the attempt, empty
	// if the worker doesn't know it.
	TaskKind string
	// Progress is the run time completed so far. It includes the run time in the
	// checkpoint from which the attempt resumed.
	Progress time.Duration
	Usage    Resources
	Reason   string
}

// ServiceReport is the load and the latency of one service on a worker.
type ServiceReport struct {
	Service string
	// Load is the number of busy slots divided by the number of slots, 0 to 1.
	Load float64
	// P99 is the 99th percentile of the service's latency in the interval that
	// the report covers.
	P99 time.Duration
}

// WorkerReport is the answer to a WorkerCall. Its measurements were taken at
// MeasuredAt, which may be some time before the answer.
type WorkerReport struct {
	Worker InstanceID
	// Boot is the worker's boot number, which rises with every restart. Attempts
	// that were started under a lower boot number no longer run.
	Boot       uint64
	Term       Offset
	LeaseUntil time.Time
	MeasuredAt time.Time
	// Attempts lists every attempt that the worker has received and that no
	// CommandForget has removed.
	Attempts []AttemptReport
	Services []ServiceReport
}

// WorkerClient is the client of the workers of the platform.
type WorkerClient interface {
	// Exchange makes one call. ErrUnavailable means that the call had no effect;
	// after any other error the worker may have carried out the commands.
	Exchange(c context.Context, worker Member, call WorkerCall) (WorkerReport, error)
}
