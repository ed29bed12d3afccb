package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/process/relay"
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
	return e.callJobCell(c, j.ID, &v, func(x context.Context, cell int, address string) error {
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
func (e *Entry) State(c context.Context, _ sched.Route, id sched.JobID) (sched.JobState, sched.Verdict) {
	var v sched.Verdict
	var s sched.JobState
	v = e.callJobCell(c, id, &v, func(x context.Context, cell int, address string) error {
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
func (e *Entry) Cancel(c context.Context, _ sched.Route, id sched.JobID) sched.Verdict {
	var v sched.Verdict
	return e.callJobCell(c, id, &v, func(x context.Context, cell int, address string) error {
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
		v = e.callCell(c, cell, "", &v, func(x context.Context, cell int, address string) error {
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
	// plannerSearchLimit is how long a call that surely had no effect yet is
	// attempted again. A takeover takes about a second.
	plannerSearchLimit = 1800 * time.Millisecond
	// retryAfter is the time after which a caller without a planner should retry.
	retryAfter = time.Second
)

// plannerCall makes one attempt of a call to the planner of a cell at the given
// address. An empty address means that this instance is the planner.
type plannerCall func(c context.Context, cell int, address string) error

// callJobCell calls the planner of the job's cell.
func (e *Entry) callJobCell(c context.Context, id sched.JobID, v *sched.Verdict, f plannerCall) sched.Verdict {
	n := e.directory.Cells()
	if n == 0 {
		return sched.Verdict{Code: sched.CodeNotReady, RetryAfter: retryAfter, Reason: "not joined yet"}
	}
	return e.callCell(c, CellOf(string(id), n), id, v, f)
}

// callCell calls the planner of a cell, which may change meanwhile, until a call is
// answered. It returns the verdict that the call has stored in v. Without an answer
// that is CodeUnknown if a planner may have carried out the call, else
// CodeLogUnavailable. The job's id is used only for the log and may be empty.
func (e *Entry) callCell(c context.Context, cell int, id sched.JobID, v *sched.Verdict, f plannerCall) sched.Verdict {
	began := e.Clock.Now()
	unknown := false
	var last error
	for c.Err() == nil {
		changed := e.directory.Changed()
		err := e.callOnce(c, cell, f)
		if err == nil {
			return *v
		}
		last = err
		unknown = unknown || !relay.HadNoEffect(err)
		if moved, ok := err.(*relay.NotPlannerError); ok && moved.Known { //nolint:errorlint // never wrapped
			e.directory.UpdatePlanner(moved.Hint)
		}
		if !unknown && e.Clock.Now().Sub(began) > plannerSearchLimit {
			break
		}
		select {
		case <-changed:
		case <-time.After(plannerRetryDelay):
		case <-c.Done():
		}
	}
	e.Log.Info("callFailed", zap.String("job", string(id)), zap.Int("cell", cell), zap.Bool("unknown", unknown), zap.Error(last),
		zap.Duration("after", e.Clock.Now().Sub(began)))
	if unknown {
		return sched.Verdict{Code: sched.CodeUnknown, Reason: "the planner did not answer"}
	}
	return sched.Verdict{Code: sched.CodeLogUnavailable, RetryAfter: retryAfter, Reason: "no planner can be reached"}
}

// callOnce calls the planner that the directory names now. The call is cancelled
// when the directory learns of another term.
func (e *Entry) callOnce(c context.Context, cell int, f plannerCall) error {
	if e.lead(cell) != nil {
		return f(c, cell, "")
	}
	p, known := e.directory.Planner(cell)
	if !known || p.ID == e.Self.ID {
		return &relay.NotPlannerError{}
	}
	x, cancel := context.WithCancel(c)
	defer cancel()
	go e.cancelOnNewTerm(x, cancel, cell, p.Term)
	return f(x, cell, p.Address)
}

// cancelOnNewTerm calls cancel when the directory names another term of the cell.
func (e *Entry) cancelOnNewTerm(x context.Context, cancel context.CancelFunc, cell int, term sched.Offset) {
	for {
		changed := e.directory.Changed()
		if p, _ := e.directory.Planner(cell); p.Term != term {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-x.Done():
			return
		}
	}
}
