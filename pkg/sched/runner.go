package sched

import (
	"context"
	"time"
)

// Worker is a worker's record in the platform's store, which the worker writes
// itself.
type Worker struct {
	ID         InstanceID
	Address    string
	Service    string
	DataCentre DataCentre
	// Labels starts with the worker's kind and its rack.
	Labels   []string
	Capacity Resources
	Draining bool
	// DrainRemaining is the minimum time that a draining worker keeps running after
	// the record was written.
	DrainRemaining time.Duration
	// WarmupRemaining is for how much longer the worker runs more slowly because it has
	// just started.
	WarmupRemaining time.Duration
	// Incarnation identifies one start of the worker's process. It rises with every
	// start under the same ID.
	Incarnation int64
}

// rackLabel is the index of the rack in the labels of a worker.
const rackLabel = 1

// Rack returns the worker's rack, or "" if its labels contain none.
func (w Worker) Rack() string {
	if len(w.Labels) <= rackLabel {
		return ""
	}
	return w.Labels[rackLabel]
}

// FencingToken is sent with every order to a worker. It orders the instances
// that send orders, and the orders of one instance. A worker refuses an order
// whose token is lower than the highest one that it has seen.
type FencingToken int64

// WorkerClock is a reading of a worker's own clock. The clock starts at 0 with
// each start of the worker and may run up to 2% slow.
type WorkerClock time.Duration

// Refusal is the reason why a worker did not carry out an order.
type Refusal int

// Reasons for refusals. With each of them except NotRefused, the order had no
// effect.
const (
	// NotRefused: the order was carried out.
	NotRefused Refusal = iota
	// RefusedToken: the worker has seen a higher fencing token.
	RefusedToken
	// RefusedStaleRun: a run of the task with this number or a higher one has already
	// ended on the worker.
	RefusedStaleRun
	// RefusedLeaseExpired: the lease in the order had already expired when the order
	// arrived.
	RefusedLeaseExpired
	// RefusedNoCapacity: the worker has too few free resources for the task.
	RefusedNoCapacity
	// RefusedTicket: the ticket is missing or no longer valid.
	RefusedTicket
	// RefusedInvalid: the worker can't parse the order.
	RefusedInvalid
	// RefusedUnhealthy: the worker isn't healthy.
	RefusedUnhealthy
	// RefusedIdentity: the worker at the address isn't the one that the order is
	// meant for.
	RefusedIdentity
)

// StartOrder starts a run of a task.
type StartOrder struct {
	Task    TaskRef
	Run     RunNumber
	Payload string
	// Lease is the expiry of the worker's lease. At that time the worker kills
	// everything that it runs, unless the lease is renewed.
	Lease WorkerClock
	Token FencingToken
	// Checkpoint is the checkpoint to resume from, empty to start afresh.
	Checkpoint CheckpointID
	// Ticket is the text of a Ticket, empty if the queue needs none.
	Ticket string
}

// StopOrder stops a run. A start order for the same run that arrives later is
// refused.
type StopOrder struct {
	Task  TaskRef
	Run   RunNumber
	Token FencingToken
}

// PaceOrder limits the speed of a run.
type PaceOrder struct {
	Task TaskRef
	Run  RunNumber
	// Percent is the speed in percent of full speed; 0 pauses the run.
	Percent int
	Token   FencingToken
}

// LeaseOrder renews a worker's lease and asks for a report of its runs.
type LeaseOrder struct {
	Token FencingToken
	// Lease is the new expiry of the lease, 0 to ask for a report without a
	// renewal.
	Lease WorkerClock
	// RecordedEnd is the highest EndedRun.Number that is recorded in the store. The
	// worker drops the ends up to this number.
	RecordedEnd int64
	// Wait is how long the worker may hold back its answer until a run ends.
	Wait time.Duration
}

// OrderAnswer is a worker's answer to an order.
type OrderAnswer struct {
	Refusal Refusal
	// Clock is the worker's clock at the time of the answer.
	Clock WorkerClock
	// Incarnation is the worker's Worker.Incarnation, 0 if the answer doesn't contain it.
	Incarnation int64
}

// RunEnd is the way in which a run ended.
type RunEnd int

// Ways in which a run ends.
const (
	EndDone RunEnd = iota + 1
	// EndFailed: the task failed, or the worker failed to run it.
	EndFailed
	// EndStopped: the run was stopped by a StopOrder.
	EndStopped
	// EndLeaseExpired: the worker's lease expired.
	EndLeaseExpired
	// EndGangBroken: the run of another member of the gang ended.
	EndGangBroken
	// EndGangIncomplete: the other members of the gang did not start before the gang
	// timeout.
	EndGangIncomplete
)

// RunningRun is a worker's report on a run that has not ended.
type RunningRun struct {
	Task       TaskRef
	Run        RunNumber
	Checkpoint CheckpointID
	// Percent is the progress of the run. For a lasting task it is 100 once the
	// task has started up and does its work.
	Percent int
	// Measurement is, for a task that serves users, its tail latency in milliseconds,
	// and for any other task the processors in use, in thousandths.
	Measurement int64
}

// EndedRun is a worker's report on a run that has ended.
type EndedRun struct {
	// Number orders the ends on one worker. It starts again when the worker
	// starts anew.
	Number     int64
	Task       TaskRef
	Run        RunNumber
	End        RunEnd
	Checkpoint CheckpointID
}

// LeaseAnswer is a worker's answer to a LeaseOrder.
type LeaseAnswer struct {
	OrderAnswer
	Running []RunningRun
	// Ended holds the oldest ends with numbers above LeaseOrder.RecordedEnd. There may
	// be more of them than one answer holds.
	Ended []EndedRun
}

// OrderClient sends orders to workers. ErrUnavailable means that the order had no
// effect; after any other error the order may have been carried out, or may
// still be carried out later.
type OrderClient interface {
	Start(c context.Context, w Worker, o StartOrder) (OrderAnswer, error)
	Stop(c context.Context, w Worker, o StopOrder) (OrderAnswer, error)
	Pace(c context.Context, w Worker, o PaceOrder) (OrderAnswer, error)
	Lease(c context.Context, w Worker, o LeaseOrder) (LeaseAnswer, error)
}

// StepRef identifies one step of one occurrence of a job.
type StepRef struct {
	Job        JobID
	Occurrence int
	Step       int
}

// Ticket is the advice service's permission to start the tasks of a step on a
// worker.
type Ticket struct {
	Worker InstanceID
	// Text is passed to the worker in StartOrder.Ticket.
	Text string
}

// Advisor is the advice service, which decides which workers may run a step.
type Advisor interface {
	// Advise returns a ticket for each of the workers that may run the step, and
	// how long the tickets are valid. ErrUnavailable means that the advice
	// service did not process the call, for example because too many calls wait.
	Advise(c context.Context, s StepRef, workers []InstanceID) ([]Ticket, time.Duration, error)
}
