package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/process/lead"
	"github.com/parsleybarrow/parsleybarrow/internal/process/relay"
	"github.com/parsleybarrow/parsleybarrow/pkg/outage"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// plannerProbeTimeout bounds a check whether a planner answers. One that is further behind
// can't decide most calls in time.
const plannerProbeTimeout = time.Second

// gates holds the gate of each cell. It is safe for concurrent use.
type gates struct {
	mu    sync.Mutex
	cells map[int]*cellGate
}

// of returns the gate of a cell.
func (s *gates) of(e *Entry, cell int) *cellGate {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.cells[cell]
	if g == nil {
		if s.cells == nil {
			s.cells = map[int]*cellGate{}
		}
		g = &cellGate{entry: e, cell: cell}
		g.gate.Random = rand.Float64
		s.cells[cell] = g
	}
	return g
}

// cellGate is a gate that is safe for concurrent use and logs when calls are held back.
type cellGate struct {
	entry *Entry
	cell  int

	mu      sync.Mutex
	gate    outage.Gate
	term    sched.Offset
	state   outage.State
	since   time.Time // when calls began to be held back
	refused int
}

// update calls f and logs a change of state.
func (g *cellGate) update(f func(now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.entry.Clock.Now()
	f(now)
	state := g.gate.State(now)
	switch state {
	case g.state:
		return
	case outage.Answering:
		g.entry.Log.Info("plannerAnswers", zap.Int("cell", g.cell), zap.Int64("term", int64(g.term)),
			zap.Int("refused", g.refused), zap.Duration("after", now.Sub(g.since)))
	default:
		if g.state == outage.Answering {
			g.since, g.refused = now, 0
		}
		g.entry.Log.Warn("plannerImpaired", zap.Int("cell", g.cell), zap.Int64("term", int64(g.term)),
			zap.String("state", string(state)))
	}
	g.state = state
}

// decide returns what to do with a call to the planner of the term.
func (g *cellGate) decide(term sched.Offset, c outage.Call) (v outage.Verdict) {
	g.update(func(now time.Time) {
		if term > g.term {
			g.term = term
			g.gate.PlannerFound(now)
		}
		v = g.gate.Decide(now, c)
	})
	return v
}

// probeDue reports whether it is time to check whether the planner answers.
func (g *cellGate) probeDue() (out bool) {
	g.update(func(now time.Time) { out = g.gate.ProbeDue(now) })
	return out
}

// hopeless reports whether a call that was sent isn't worth waiting for.
func (g *cellGate) hopeless(c outage.Call) (out bool) {
	g.update(func(now time.Time) { out = g.gate.Hopeless(now, c) })
	return out
}

// sent records that a call is sent and returns the time.
func (g *cellGate) sent() (at time.Time) {
	g.update(func(now time.Time) {
		at = now
		g.gate.Sent(now)
	})
	return at
}

// answered records the planner's verdict about a call that was sent at the given time. A
// call that reads doesn't show whether the planner can write.
func (g *cellGate) answered(sent time.Time, v sched.Verdict, reads bool) {
	g.update(func(now time.Time) {
		g.gate.Ended()
		switch v.Code {
		case sched.CodeLogUnavailable:
			// Callers are told to wait for as long as the outage has lasted.
			g.gate.AppendPending(now, now.Add(-v.RetryAfter))
		case sched.CodeDeadlineTooShort:
			g.gate.Behind(now, v.RetryAfter)
		default:
			if reads {
				g.gate.Answered(now)
				return
			}
			g.gate.Decided(now, now.Sub(sent))
		}
	})
}

// failed records that an attempt with the context has ended without an answer.
func (g *cellGate) failed(c context.Context, p target, err error) {
	g.follow(err)
	replaced := g.entry.planner(g.cell).term > p.term
	g.update(func(now time.Time) {
		g.gate.Ended()
		switch {
		case c.Err() != nil || replaced:
		case unproven(p, err):
			g.gate.AppendPending(now, now)
		default:
			g.gate.PlannerLost(now)
		}
	})
}

// follow updates the directory if the error names the planner.
func (g *cellGate) follow(err error) {
	var moved *relay.NotPlannerError
	if errors.As(err, &moved) && moved.Known {
		g.entry.directory.UpdatePlanner(moved.Hint)
	}
}

// unproven reports whether a planner has refused to answer, although it knows of no later
// term, since it has no recent proof from the store.
func unproven(p target, err error) bool {
	var moved *relay.NotPlannerError
	if errors.As(err, &moved) {
		return moved.Known && p.term > 0 && moved.Hint.Term == p.term
	}
	return p.local != nil && p.local.Waiting() && !p.local.Ended() && errors.Is(err, lead.ErrNotPlanner)
}

// probe asks the planner for the number of pending jobs, which changes nothing and waits in
// the same line as calls.
func (g *cellGate) probe(p target) {
	c, cancel := context.WithTimeout(context.Background(), plannerProbeTimeout)
	defer cancel()
	e := g.entry
	var err error
	switch {
	case p.local != nil:
		_, err = p.local.Pending(c)
	case p.address != "":
		_, err = e.relay.Pending(c, p.address, g.cell)
	default:
		return
	}
	g.follow(err)
	if err != nil && !unproven(p, err) {
		return
	}
	g.update(func(now time.Time) {
		if p.term == g.term {
			g.gate.Answered(now)
		}
	})
}

// withRetry returns the verdict with a retry time that is spread, if it is a refusal for
// the planner's state.
func (g *cellGate) withRetry(v sched.Verdict, c outage.Call) sched.Verdict {
	if v.Code == sched.CodeLogUnavailable || v.Code == sched.CodeDeadlineTooShort {
		v.RetryAfter = g.retryAfter(c)
		g.update(func(time.Time) { g.refused++ })
	}
	return v
}

// gaveUp counts a call that ended without the planner's verdict, in the state.
func (g *cellGate) gaveUp(s outage.State, unknown bool) {
	g.entry.Meter.CallGivenUp(string(s), unknown)
	if !unknown {
		g.update(func(time.Time) { g.refused++ })
	}
}

// retryAfter returns when a caller that is refused should retry.
func (g *cellGate) retryAfter(c outage.Call) (d time.Duration) {
	g.update(func(now time.Time) { d = g.gate.RetryAfter(now, c) })
	return d
}
