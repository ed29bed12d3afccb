package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/process/lead"
	"github.com/parsleybarrow/parsleybarrow/internal/process/relay"
	"github.com/parsleybarrow/parsleybarrow/pkg/outage"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

var _ sched.JobService = (*Entry)(nil)

// Match implements sched.Desk.
func (e *Entry) Match(host, path string) (r sched.Route, found, known bool) {
	c := e.catalog.Load()
	if c == nil {
		return sched.Route{}, false, false
	}
	r, found = c.Match(host, path)
	return r, found, true
}

// Limits implements sched.Desk.
func (e *Entry) Limits() sched.HTTPLimits {
	if c := e.catalog.Load(); c != nil {
		return c.Limits
	}
	return sched.HTTPLimits{}
}

// Ready implements sched.Desk.
func (e *Entry) Ready() bool {
	return e.catalog.Load() != nil && e.controllers.Load() != nil && !e.leaving.Load() && !e.relieved()
}

// Submit implements sched.Desk.
func (e *Entry) Submit(c context.Context, r sched.Route, j sched.Job) sched.Verdict {
	j = j.WithQueue(r.Queue)
	var v sched.Verdict
	return e.callJobCell(c, request{queue: r.Queue, id: j.ID}, &v, func(x context.Context, cell int, address string) error {
		var err error
		if address == "" {
			v, err = localPlanners{e}.Submit(x, cell, j)
		} else {
			v, err = e.relay.Submit(x, address, cell, j)
		}
		return err
	})
}

// State implements sched.Desk.
func (e *Entry) State(c context.Context, r sched.Route, id sched.JobID) (sched.JobState, sched.Verdict) {
	var v sched.Verdict
	var s sched.JobState
	v = e.callJobCell(c, request{queue: r.Queue, id: id, reads: true}, &v, func(x context.Context, cell int, address string) error {
		var err error
		if address == "" {
			s, v, err = localPlanners{e}.State(x, cell, id)
		} else {
			s, v, err = e.relay.State(x, address, cell, id)
		}
		return err
	})
	return s, v
}

// Cancel implements sched.Desk.
func (e *Entry) Cancel(c context.Context, r sched.Route, id sched.JobID) sched.Verdict {
	var v sched.Verdict
	return e.callJobCell(c, request{queue: r.Queue, id: id}, &v, func(x context.Context, cell int, address string) error {
		var err error
		if address == "" {
			v, err = localPlanners{e}.Cancel(x, cell, id)
		} else {
			v, err = e.relay.Cancel(x, address, cell, id)
		}
		return err
	})
}

// Pending implements sched.Desk.
func (e *Entry) Pending(c context.Context, r sched.Route) (int, sched.Verdict) {
	sum := 0
	for cell := range e.directory.Cells() {
		var n map[sched.QueueName]int
		v := acceptedVerdict
		v = e.callCell(c, cell, request{queue: r.Queue, reads: true}, &v, func(x context.Context, cell int, address string) error {
			var err error
			if address == "" {
				n, err = localPlanners{e}.Pending(x, cell)
			} else {
				n, err = e.relay.Pending(x, address, cell)
			}
			return err
		})
		if v.Code != sched.CodeAccepted {
			return 0, v
		}
		sum += n[r.Queue.Name]
	}
	return sum, acceptedVerdict
}

const (
	// plannerRetryDelay is the time between two attempts of a call. A change in
	// the directory ends the wait early.
	plannerRetryDelay = 60 * time.Millisecond
	// retryAfter is the time after which a caller should retry while this instance
	// hasn't joined.
	retryAfter = time.Second
)

// plannerCall makes one attempt of a call to the planner of a cell at the given
// address. An empty address means that this instance is the planner.
type plannerCall func(c context.Context, cell int, address string) error

// request describes a call for the decision whether to send it.
type request struct {
	queue sched.Queue
	// id is that of the job, empty for calls about a queue.
	id sched.JobID
	// reads is set if the call changes nothing.
	reads bool
}

// callJobCell calls the planner of the job's cell.
func (e *Entry) callJobCell(c context.Context, q request, v *sched.Verdict, f plannerCall) sched.Verdict {
	n := e.directory.Cells()
	if n == 0 {
		return sched.Verdict{Code: sched.CodeNotReady, RetryAfter: retryAfter, Reason: "not joined yet"}
	}
	return e.callCell(c, CellOf(string(q.id), n), q, v, f)
}

// callCell calls the planner of a cell, which may change meanwhile, until a call is
// answered or can't be any more in its time. It returns the verdict that the call has
// stored in v. Without an answer that is CodeUnknown if a planner may have carried out the
// call, else CodeLogUnavailable.
func (e *Entry) callCell(c context.Context, cell int, q request, v *sched.Verdict, f plannerCall) sched.Verdict {
	g := e.gates.of(e, cell)
	t := attempts{entry: e, cell: cell, request: q, began: e.Clock.Now()}
	for c.Err() == nil {
		changed := e.directory.Changed()
		p := e.planner(cell)
		d := g.decide(p.term, t.describe(c))
		if d.Probe {
			go g.probe(p)
		}
		pause := plannerRetryDelay
		switch d.Action {
		case outage.Send:
			if t.once(c, g, p, v, f) {
				return g.withRetry(*v, t.describe(c))
			}
		case outage.Wait:
			pause = d.For
		default:
			return t.giveUp(g, d)
		}
		select {
		case <-changed:
		case <-time.After(pause):
		case <-c.Done():
		}
	}
	return t.giveUp(g, outage.Verdict{RetryAfter: g.retryAfter(t.describe(c))})
}

// target is the planner of a cell as far as this instance knows.
type target struct {
	term  sched.Offset // 0 if none is known
	local *lead.Leader
	// address is empty if this instance plans the cell, or no other is known to.
	address string
}

// planner returns the planner that calls for the cell are sent to.
func (e *Entry) planner(cell int) target {
	if l := e.lead(cell); l != nil && !l.Ended() {
		return target{term: l.Number(), local: l}
	}
	p, known := e.directory.Planner(cell)
	if !known || p.ID == e.Self.ID {
		return target{term: p.Term}
	}
	return target{term: p.Term, address: p.Address}
}

// attempts are the attempts of one call.
type attempts struct {
	entry   *Entry
	cell    int
	request request
	began   time.Time
	// unknown is set if a planner may have carried out the call, and unknownTerm is then
	// the newest term in which one may.
	unknown     bool
	unknownTerm sched.Offset
	last        error
}

// describe returns the call for a decision.
func (t *attempts) describe(c context.Context) outage.Call {
	now := t.entry.Clock.Now()
	left := lead.DefaultCallTime - now.Sub(t.began)
	if deadline, set := c.Deadline(); set {
		left = time.Until(deadline)
	}
	return outage.Call{
		Left: left, Priority: t.request.queue.Priority, Waited: now.Sub(t.began), MayHaveRun: t.unknown,
	}
}

// once makes one attempt and reports whether v is the verdict about the call.
func (t *attempts) once(c context.Context, g *cellGate, p target, v *sched.Verdict, f plannerCall) bool {
	x, cancel := context.WithCancel(c)
	defer cancel()
	sent := g.sent()
	watched := *t
	go watched.watch(x, cancel, g, p)
	err := t.entry.callOnce(x, t.cell, p, f)
	if err == nil {
		g.answered(sent, *v, t.request.reads)
		return t.settles(p.term, *v)
	}
	t.last = err
	if !t.request.reads && !relay.HadNoEffect(err) {
		t.unknown, t.unknownTerm = true, max(t.unknownTerm, p.term)
	}
	g.failed(c, p, err)
	return false
}

// settles reports whether a verdict of the term's planner tells the outcome of the whole
// call. A refusal doesn't after an attempt without an answer in the same term, which may
// still be on its way to the planner, nor does one that was given without a look at the
// records.
func (t *attempts) settles(term sched.Offset, v sched.Verdict) bool {
	switch {
	case !t.unknown || v.Code.Outcome() != sched.OutcomeRefusedNotRun || v.RetryAfter == 0:
		return true
	case v.Code == sched.CodeDeadlineTooShort:
		return false
	}
	return term > t.unknownTerm
}

// giveUp returns the verdict about a call without an answer.
func (t *attempts) giveUp(g *cellGate, d outage.Verdict) sched.Verdict {
	e := t.entry
	e.Log.Info("callFailed", zap.String("job", string(t.request.id)), zap.Int("cell", t.cell), zap.Bool("unknown", t.unknown),
		zap.Error(t.last), zap.Duration("after", e.Clock.Now().Sub(t.began)), zap.String("state", string(d.State)),
		zap.Duration("retryAfter", d.RetryAfter))
	g.gaveUp(d.State, t.unknown)
	if t.unknown {
		return sched.Verdict{Code: sched.CodeUnknown, Reason: d.State.Reason()}
	}
	return sched.Verdict{Code: sched.CodeLogUnavailable, RetryAfter: d.RetryAfter, Reason: d.State.Reason()}
}

// watchInterval is the interval at which it is checked whether an attempt is still worth
// waiting for.
const watchInterval = 100 * time.Millisecond

// watch cancels an attempt when the directory names another term of the cell, or the planner
// is lost and no other will answer in time.
func (t *attempts) watch(x context.Context, cancel context.CancelFunc, g *cellGate, p target) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		changed := t.entry.directory.Changed()
		if q, _ := t.entry.directory.Planner(t.cell); p.local == nil && q.Term != p.term || g.hopeless(t.describe(x)) {
			cancel()
			return
		}
		if g.probeDue() {
			go g.probe(p)
		}
		select {
		case <-changed:
		case <-tick.C:
		case <-x.Done():
			return
		}
	}
}

// callOnce makes one attempt of a call to the planner.
func (e *Entry) callOnce(c context.Context, cell int, p target, f plannerCall) error {
	if p.local == nil && p.address == "" {
		return &relay.NotPlannerError{}
	}
	return f(c, cell, p.address)
}
