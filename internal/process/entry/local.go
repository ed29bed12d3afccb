package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/process/lead"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/internal/process/relay"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// localPlanners implements relay.Local for the cells that this instance plans.
type localPlanners struct{ *Entry }

var _ relay.Local = localPlanners{}

var acceptedVerdict = sched.Verdict{Code: sched.CodeAccepted}

// Submit implements relay.Local.
func (p localPlanners) Submit(c context.Context, cell int, j sched.Job) (sched.Verdict, error) {
	l := p.lead(cell)
	if l == nil {
		return sched.Verdict{}, lead.ErrNotPlanner
	}
	return l.Submit(c, j)
}

// State implements relay.Local.
func (p localPlanners) State(c context.Context, cell int, id sched.JobID) (sched.JobState, sched.Verdict, error) {
	l := p.lead(cell)
	if l == nil {
		return 0, sched.Verdict{}, lead.ErrNotPlanner
	}
	s, failure, err := l.State(c, id)
	if err != nil {
		return 0, sched.Verdict{}, err
	}
	if s == 0 {
		p.Log.Info("jobUnknown", zap.String("job", string(id)), zap.Int("cell", cell), zap.Int64("term", int64(l.Number())),
			zap.Duration("proofAge", l.ProofAge()))
		return 0, sched.Verdict{Code: sched.CodeUnknownTask, Reason: "no such job"}, nil
	}
	v := acceptedVerdict
	v.Reason = failure.String()
	return s, v, nil
}

// Cancel implements relay.Local.
func (p localPlanners) Cancel(c context.Context, cell int, id sched.JobID) (sched.Verdict, error) {
	l := p.lead(cell)
	if l == nil {
		return sched.Verdict{}, lead.ErrNotPlanner
	}
	return l.Cancel(c, id)
}

// Pending implements relay.Local.
func (p localPlanners) Pending(c context.Context, cell int) (map[sched.QueueName]int, error) {
	l := p.lead(cell)
	if l == nil {
		return nil, lead.ErrNotPlanner
	}
	return l.Pending(c)
}

// Explain implements relay.Local.
func (p localPlanners) Explain(c context.Context, q relay.Question) (relay.Answer, error) {
	out := relay.Answer{Instance: p.Self.ID}
	n := p.directory.Cells()
	if n == 0 {
		return out, lead.ErrNotPlanner
	}
	out.Cell = CellOf(string(q.ID), n)
	if q.Job != nil {
		r, found, known := p.Match(q.Host, q.Path)
		if !found || !known {
			return out, nil
		}
		j := q.Job.WithQueue(r.Queue)
		q.Job = &j
	}
	l := p.lead(out.Cell)
	if l == nil {
		return out, lead.ErrNotPlanner
	}
	var err error
	out.Explanation, out.Known, err = l.Explain(c, q.ID, q.Job)
	return out, err
}

// Ping implements relay.Local.
func (p localPlanners) Ping(c context.Context, q relay.Ping) relay.Pong {
	out := relay.Pong{ID: p.Self.ID, Incarnation: p.Self.Incarnation, Load: p.currentLoad()}
	if controllers := p.controllers.Load(); controllers != nil {
		for _, s := range *controllers {
			l := s.lead.Load()
			if l == nil {
				continue
			}
			out.Planners = append(out.Planners, s.ownPlanner(l.Number()))
			if s.number == q.Cell {
				out.ProofAge = l.ProofAge()
				s.heard(q)
				out.Silent = s.silent()
			}
		}
	}
	if s := p.controller(q.Cell); s != nil {
		out.Beginning, out.Loaded = s.beginning.Load(), s.loaded.Load()
	}
	if q.ProbePlanner {
		out.PlannerReached = p.reaches(c, q.Cell)
	}
	if s := p.controller(q.Cell); q.TakeOverAfter > 0 && s != nil && !out.Load.Leaving {
		out.TakeOverAccepted = s.canTakeOver(c, q.TakeOverAfter) && (q.QueryOnly || s.acceptRequest(q))
	}
	return out
}

// reaches reports whether this instance plans the cell itself or reaches its
// planner with a ping.
func (p localPlanners) reaches(c context.Context, cell int) bool {
	if p.lead(cell) != nil {
		return true
	}
	planner, known := p.directory.Planner(cell)
	if !known {
		return false
	}
	x, cancel := context.WithTimeout(c, pingTimeout)
	defer cancel()
	pong, err := p.relay.Ping(x, planner.Address, relay.Ping{From: p.Self.ID, Cell: cell})
	return err == nil && pong.Plans(cell)
}

// Hint implements relay.Local. This instance isn't named once its term has ended.
func (p localPlanners) Hint(cell int) (peers.Planner, bool) {
	planner, known := p.directory.Planner(cell)
	if l := p.lead(cell); planner.ID == p.Self.ID && (l == nil || l.Ended()) {
		return peers.Planner{}, false
	}
	return planner, known
}

// Catalog implements relay.Local.
func (p localPlanners) Catalog(newerThan int64) (int64, []byte) {
	c := p.catalog.Load()
	if c == nil || c.Version <= newerThan {
		return 0, nil
	}
	return c.Version, c.record
}
