package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// commands returns what the worker has to do to match the replayed state. The
// order is that of the placements, so that a worker knows every start that was
// placed before a bound task.
func (p *Planner) commands(n *node, notAfter time.Time) []sched.Command {
	if n.boot == 0 {
		return nil
	}
	var all []sched.Command
	w, known := p.ledger.Worker(n.member.ID)
	if known {
		for _, t := range w.Tasks {
			if c, ok := p.command(n, t, notAfter); ok {
				all = append(all, c)
			}
		}
	}
	return append(all, p.leftovers(n)...)
}

// command returns the command for the latest attempt of a task.
func (p *Planner) command(n *node, t *sched.TaskStatus, notAfter time.Time) (sched.Command, bool) {
	k := attemptKey{t.Task.ID, t.Attempt}
	c := sched.Command{Task: k.task, Attempt: k.attempt, TaskKind: t.Task.Kind, Needs: t.Task.Needs}
	r, reported := n.reports[k]
	switch {
	case reported && r.State.Ended():
		return c, false
	case reported:
		return p.runningCommand(n, t, r, c)
	case p.mustStop(n, t, k):
		c.Kind = sched.CommandStop
		return c, true
	case n.unsure:
		return c, false
	}
	c.Kind = sched.CommandStart
	if t.State == sched.TaskBound {
		c.Kind = sched.CommandBind
	}
	c.Checkpoint = t.Checkpoint
	s := n.starts[k]
	s.boot, s.tries = n.boot, s.tries+1
	s.until = later(s.until, notAfter)
	n.starts[k] = s
	return c, true
}

// mustStop tells whether an attempt that the worker doesn't report has to be
// stopped rather than started: it ran or may have run in an earlier boot, is
// not wanted any more, or the worker doesn't take it.
func (p *Planner) mustStop(n *node, t *sched.TaskStatus, k attemptKey) bool {
	s, tried := n.starts[k]
	rebooted := tried && s.boot != n.boot
	return t.Started || n.seen[k] || rebooted || t.CancelRequested || n.evict[k] || s.tries >= startTries
}

// runningCommand returns the command for an attempt that the worker runs or
// holds bound.
func (p *Planner) runningCommand(
	n *node, t *sched.TaskStatus, r sched.AttemptReport, c sched.Command,
) (sched.Command, bool) {
	k := attemptKey{c.Task, c.Attempt}
	share, throttled := n.shares[k]
	switch {
	case t.CancelRequested, n.evict[k] && r.State == sched.AttemptWaiting:
		c.Kind = sched.CommandStop
	case n.evict[k]:
		c.Kind = sched.CommandCheckpoint
	case throttled:
		// Repeated in every call, since a call may have been lost.
		c.Kind, c.Share = sched.CommandThrottle, share
	default:
		return c, false
	}
	return c, true
}

// leftovers stops attempts that are reported but not the latest of their task
// on this worker, and lets the worker forget ended ones. Memory of an ended
// attempt is kept until no call that could start it again is under way.
func (p *Planner) leftovers(n *node) []sched.Command {
	var all []sched.Command
	for k, r := range n.reports {
		if p.current(n, k) {
			continue
		}
		c := sched.Command{Kind: sched.CommandStop, Task: k.task, Attempt: k.attempt}
		if r.State.Ended() {
			if !p.book.Settled(p.now) || !p.book.Void(n.starts[k].until, p.now) || p.lateCheckpoint(k, r) {
				continue
			}
			c.Kind = sched.CommandForget
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b sched.Command) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	return all
}

// current tells whether an attempt is the latest of its task, alive by the
// replayed state, and on this worker.
func (p *Planner) current(n *node, k attemptKey) bool {
	t, known := p.ledger.Task(k.task)
	return known && t.Attempt == k.attempt && t.Worker == n.member.ID &&
		(t.State == sched.TaskPlaced || t.State == sched.TaskBound)
}

// lateCheckpoint tells whether an ended attempt left a checkpoint that the
// next attempt can still use.
func (p *Planner) lateCheckpoint(k attemptKey, r sched.AttemptReport) bool {
	t, known := p.ledger.Task(k.task)
	return known && r.State == sched.AttemptCheckpointed && r.Checkpoint != "" &&
		t.State == sched.TaskQueued && t.Attempt == k.attempt && t.Checkpoint != r.Checkpoint
}
