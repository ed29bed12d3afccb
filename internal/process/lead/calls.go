package lead

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// baseOrderTimeout bounds one order to a worker: some round trips between
	// regions, with a connection to open. An order without an answer delays its
	// task until the next answer to a lease order shows its effect.
	baseOrderTimeout = 320 * time.Millisecond
	// maxOrderTimeout bounds the timeout in a process with scheduling lag.
	maxOrderTimeout = 900 * time.Millisecond
)

// orderTimeout is how long a worker has to answer an order. Scheduling lag of this
// process is added, so that answers which arrived aren't dropped.
func (l *Leader) orderTimeout() time.Duration {
	return min(maxOrderTimeout, baseOrderTimeout+lagFactor*l.lag.recent())
}

// errPermissionExpired reports that an order wasn't sent, since the planner had no
// recent proof any more that no other planner has taken over.
var errPermissionExpired = fmt.Errorf("%w: permission to order has expired", sched.ErrUnavailable)

// send makes a call to a worker, unless the proof on which the order depends has become
// too old since the planner gave it: this process was paused meanwhile.
func send[A any](l *Leader, call func() (A, error)) (A, error) {
	if l.ProofAge() >= cell.ProofValidity {
		var none A
		return none, errPermissionExpired
	}
	return call()
}

// callResult returns the part of a result that is common to all calls of a worker.
func (l *Leader) callResult(w sched.Worker, token sched.FencingToken, sent time.Time, err error) cell.Result {
	return cell.Result{Worker: w.ID, Token: token, Sent: sent, Received: l.Clock.Now(), Err: err}
}

func (l *Leader) start(s cell.StartCall) {
	x, cancel := context.WithTimeout(l.callContext, l.orderTimeout())
	defer cancel()
	sent := l.Clock.Now()
	a, err := send(l, func() (sched.OrderAnswer, error) {
		if !l.mayStartIn(s.Worker.DataCentre) {
			return sched.OrderAnswer{}, errEvacuated
		}
		return l.Runner.Start(x, s.Worker, s.Order)
	})
	r := cell.StartResult{
		Result: l.callResult(s.Worker, s.Order.Token, sent, err), Key: hosts.Key{Task: s.Order.Task, Run: s.Order.Run},
		Answer: a,
	}
	l.post(workStarted, func() { l.planner.Started(r.Received, r) })
}

func (l *Leader) stop(s cell.StopCall) {
	x, cancel := context.WithTimeout(l.callContext, l.orderTimeout())
	defer cancel()
	sent := l.Clock.Now()
	a, err := send(l, func() (sched.OrderAnswer, error) { return l.Runner.Stop(x, s.Worker, s.Order) })
	r := cell.OrderResult{
		Result: l.callResult(s.Worker, s.Order.Token, sent, err), Key: hosts.Key{Task: s.Order.Task, Run: s.Order.Run},
		Answer: a,
	}
	l.post(workStopped, func() { l.planner.Stopped(r.Received, r) })
}

func (l *Leader) pace(p cell.PaceCall) {
	x, cancel := context.WithTimeout(l.callContext, l.orderTimeout())
	defer cancel()
	sent := l.Clock.Now()
	a, err := send(l, func() (sched.OrderAnswer, error) { return l.Runner.Pace(x, p.Worker, p.Order) })
	if err == nil && a.Refusal == sched.NotRefused {
		return // as the planner expects
	}
	r := cell.OrderResult{
		Result: l.callResult(p.Worker, p.Order.Token, sent, err), Key: hosts.Key{Task: p.Order.Task, Run: p.Order.Run},
		Answer: a,
	}
	l.post(workPaced, func() { l.planner.Paced(r.Received, r) })
}

func (l *Leader) lease(o cell.LeaseCall) {
	x, cancel := context.WithTimeout(l.callContext, maxOrderTimeout+o.Order.Wait)
	defer cancel()
	sent := l.Clock.Now()
	a, err := send(l, func() (sched.LeaseAnswer, error) { return l.Runner.Lease(x, o.Worker, o.Order) })
	r := cell.LeaseResult{
		Result: l.callResult(o.Worker, o.Order.Token, sent, err), AckedEnd: o.Order.RecordedEnd, Renewed: o.Order.Lease > 0,
		Answer: a,
	}
	l.post(workLeased, func() { l.planner.Leased(r.Received, r) })
}

func (l *Leader) advise(a cell.AdviceCall) {
	x, cancel := context.WithTimeout(l.callContext, a.Timeout)
	defer cancel()
	r := cell.AdviceResult{Call: a, Sent: l.Clock.Now()}
	r.Tickets, r.Validity, r.Err = l.Advisor.Advise(x, a.Step, a.Workers)
	r.Received = l.Clock.Now()
	l.post(workAdvised, func() { l.planner.Advised(l.Clock.Now(), r) })
}

// State returns the durable state of a job, 0 if there is no such job, and why it has
// failed. The error is ErrNotPlanner if another planner may have a newer state.
func (l *Leader) State(c context.Context, id sched.JobID) (sched.JobState, sched.JobFailure, error) {
	var s sched.JobState
	var f sched.JobFailure
	var sure bool
	err := l.ask(c, workState, readPriority, func() {
		s, sure = l.planner.State(l.Clock.Now(), id)
		f = l.planner.Failure(id)
	})
	if err != nil {
		return 0, 0, err
	}
	if !sure {
		return 0, f, ErrNotPlanner
	}
	return s, f, nil
}

// Pending returns the number of accepted jobs of each queue that haven't started.
// The error is ErrNotPlanner if another planner may have accepted more.
func (l *Leader) Pending(c context.Context) (map[sched.QueueName]int, error) {
	var out map[sched.QueueName]int
	var sure bool
	err := l.ask(c, workPending, readPriority, func() {
		var waiting map[sched.QueueName]int
		waiting, sure = l.planner.Pending(l.Clock.Now())
		out = maps.Clone(waiting)
	})
	if err != nil {
		return nil, err
	}
	if !sure {
		return nil, ErrNotPlanner
	}
	return out, nil
}

// Explain explains a job of the planner, or one that wasn't submitted. It returns false as
// Planner.Explain does.
func (l *Leader) Explain(c context.Context, id sched.JobID, other *sched.Job) (cell.Explanation, bool, error) {
	var e cell.Explanation
	var known bool
	err := l.ask(c, workExplain, readPriority, func() { e, known = l.planner.Explain(l.Clock.Now(), id, other) })
	if err != nil {
		return cell.Explanation{}, false, err
	}
	return e, known, nil
}

// WorkerListed tells the planner of a new or changed entry in the platform's list of
// workers.
func (l *Leader) WorkerListed(w sched.Worker) {
	l.post(workListed, func() { l.planner.Listed(l.Clock.Now(), w) })
}

// WorkerUnlisted tells the planner that a worker's entry was removed from the list.
func (l *Leader) WorkerUnlisted(id sched.InstanceID) {
	l.post(workListed, func() { l.planner.Unlisted(l.Clock.Now(), id) })
}

// WorkersComplete tells the planner that the whole list of workers has been passed on.
func (l *Leader) WorkersComplete() {
	l.post(workListed, func() { l.planner.ListComplete(l.Clock.Now()) })
}
