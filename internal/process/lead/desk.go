package lead

import (
	"context"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// withdrawMargin is how long before its deadline a call is withdrawn, so that the answer
	// is back in time: a round trip between regions, and the scheduling lag of an instance
	// with a fifth of a processor.
	withdrawMargin = 200 * time.Millisecond
	// withdrawShare bounds the margin as a part of the time that the call has.
	withdrawShare = 4
	// minBusyRetry and maxBusyRetry bound the time after which a refused caller should retry.
	minBusyRetry = time.Second
	maxBusyRetry = 4 * time.Second
)

// Submit passes a job to the planner and waits until the job is recorded or refused. A job
// that isn't part of an append shortly before the deadline of the context is withdrawn and
// refused. After an error other than ErrNotPlanner the job may have been recorded.
func (l *Leader) Submit(c context.Context, j sched.Job) (sched.Verdict, error) {
	x := l.newCall(c, workSubmit, j.Queue.Priority)
	return l.awaitVerdict(c, x, func(t cell.Ticket) { l.planner.Submit(l.Clock.Now(), t, j) })
}

// Cancel cancels a job and waits until that is recorded or refused. A cancel is carried out
// even if its caller no longer waits. After an error other than ErrNotPlanner the job may
// have been cancelled.
func (l *Leader) Cancel(c context.Context, id sched.JobID) (sched.Verdict, error) {
	x := l.newCall(c, workCancel, cancelPriority)
	x.commit()
	return l.awaitVerdict(c, x, func(t cell.Ticket) { l.planner.Cancel(l.Clock.Now(), t, id) })
}

func (l *Leader) newCall(c context.Context, kind workKind, priority int) *call {
	return &call{
		kind: kind, rank: rankOf(c, l.Clock.Now(), priority), handled: make(chan struct{}), verdict: make(chan sched.Verdict, 1),
	}
}

// commit is cell.Options.Commit. It runs in the planner's actor.
func (l *Leader) commit(t cell.Ticket) bool {
	x := l.tickets[t]
	return x == nil || x.commit()
}

// enqueue has the planner's actor run the call when it is the first of those that wait.
func (l *Leader) enqueue(x *call) {
	l.line.put(x)
	l.post(x.kind, func() {
		first := l.line.take()
		if first == nil {
			return
		}
		defer close(first.handled)
		if first.state.Load() != int32(callWithdrawn) {
			first.run()
		}
	})
}

// behind returns how long a call of the given rank waits until the planner's actor runs it.
func (l *Leader) behind(rank time.Time) time.Duration {
	d := l.backlog.estimate()
	if d < tickInterval {
		return 0
	}
	return max(0, d-time.Duration(l.line.behind(rank)*l.backlog.mean.Load()))
}

// refuseBusy returns the verdict for a call that would wait for longer than its time, and
// whether it would.
func (l *Leader) refuseBusy(c context.Context, x *call) (sched.Verdict, bool) {
	wait := l.behind(x.rank)
	if deadline, set := c.Deadline(); !set || wait == 0 || l.Clock.Now().Add(wait+withdrawMargin).Before(deadline) {
		return sched.Verdict{}, false
	}
	return l.busyVerdict("the planner is behind"), true
}

func (l *Leader) busyVerdict(why string) sched.Verdict {
	return sched.Verdict{
		Code: sched.CodeDeadlineTooShort, RetryAfter: min(max(l.backlog.estimate(), minBusyRetry), maxBusyRetry), Reason: why,
	}
}

// withdrawTimer returns a channel that receives shortly before the deadline of the context.
func (l *Leader) withdrawTimer(c context.Context) (<-chan time.Time, func() bool) {
	deadline, set := c.Deadline()
	if !set {
		return nil, func() bool { return false }
	}
	left := deadline.Sub(l.Clock.Now())
	t := time.NewTimer(left - min(withdrawMargin+l.lag.recent(), left/withdrawShare))
	return t.C, t.Stop
}

// awaitVerdict has the planner's actor run f for the call, with a new ticket, and waits for
// the reply.
func (l *Leader) awaitVerdict(c context.Context, x *call, f func(cell.Ticket)) (sched.Verdict, error) {
	if l.finished.Load() {
		return sched.Verdict{}, ErrNotPlanner
	}
	if v, busy := l.refuseBusy(c, x); busy && x.withdraw() {
		return v, nil
	}
	x.run = func() {
		l.ticket++
		l.tickets[l.ticket] = x
		f(l.ticket)
	}
	l.enqueue(x)
	nearlyOver, stop := l.withdrawTimer(c)
	defer stop()
	for {
		select {
		case v := <-x.verdict:
			return v, nil
		case <-nearlyOver:
			if x.withdraw() {
				return l.busyVerdict("the planner could not record the job in time"), nil
			}
			nearlyOver = nil
		case <-l.stopped:
			if x.withdraw() {
				return sched.Verdict{}, ErrNotPlanner
			}
			return sched.Verdict{}, ErrTermEnded
		case <-c.Done():
			if x.withdraw() {
				return l.busyVerdict("the planner could not record the job in time"), nil
			}
			return sched.Verdict{}, c.Err()
		}
	}
}

// ask runs f, which reads, in the planner's actor and waits until it has returned. With
// ErrNotPlanner f was not run; after any other error it may have run or may still run.
func (l *Leader) ask(c context.Context, kind workKind, priority int, f func()) error {
	if l.finished.Load() {
		return ErrNotPlanner
	}
	x := l.newCall(c, kind, priority)
	x.run = func() {
		if c.Err() == nil { // else nobody waits for it any more
			f()
		}
	}
	l.enqueue(x)
	select {
	case <-x.handled:
		return c.Err()
	case <-l.stopped:
		return ErrTermEnded
	case <-c.Done():
		return c.Err()
	}
}
