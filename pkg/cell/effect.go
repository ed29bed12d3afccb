package cell

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Ticket identifies a caller that waits for a reply. The owner of the planner
// chooses it.
type Ticket uint64

// Reply is the answer to the caller with the ticket.
type Reply struct {
	Ticket  Ticket
	Verdict sched.Verdict
}

// StartCall is a start order to carry out. Its result goes to Planner.Started.
type StartCall struct {
	Worker sched.Worker
	Order  sched.StartOrder
}

// StopCall is a stop order to carry out. Its result goes to Planner.Stopped.
type StopCall struct {
	Worker sched.Worker
	Order  sched.StopOrder
}

// PaceCall is a pace order to carry out. Its result goes to Planner.Paced.
type PaceCall struct {
	Worker sched.Worker
	Order  sched.PaceOrder
}

// LeaseCall is an exchange with a worker to carry out: the worker's lease is
// renewed, and it reports its runs. Its result goes to Planner.Leased.
type LeaseCall struct {
	Worker sched.Worker
	Order  sched.LeaseOrder
}

// Effects are the I/O that a planner's owner is to carry out. Calls to workers
// and to the advisor may run at the same time and in any order.
type Effects struct {
	// Append is one batch of records. Once it is durable, Planner.Appended is
	// to be called; there is no other batch before that.
	Append  []sched.KeyedRecord
	Replies []Reply
	Starts  []StartCall
	Stops   []StopCall
	Paces   []PaceCall
	Leases  []LeaseCall
	Advice  []AdviceCall
}

// Result is the part that the results of all calls to workers have in common.
type Result struct {
	Worker sched.InstanceID
	// Token is the fencing token of the order.
	Token sched.FencingToken
	// Sent and Received are when the call began and ended, by the planner's
	// clock.
	Sent, Received time.Time
	// Err is set if there is no answer. The order may have had an effect.
	Err error
}

// StartResult is the result of a StartCall.
type StartResult struct {
	Result
	Key    hosts.Key
	Answer sched.OrderAnswer
}

// OrderResult is the result of a StopCall or a PaceCall.
type OrderResult struct {
	Result
	Key    hosts.Key
	Answer sched.OrderAnswer
}

// LeaseResult is the result of a LeaseCall.
type LeaseResult struct {
	Result
	// AckedEnd is the newest acknowledged end in the order.
	AckedEnd int64
	// Renewed is set if the order granted a lease. The planner doesn't read it.
	Renewed bool
	Answer  sched.LeaseAnswer
}
