package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// commands returns the commands that bring a worker in line with the replayed
// state, or none until the worker has reported in this term. They are in order
// of placement, so that a worker receives every start that was placed before a
// bound task ahead of that task.
func (p *Planner) commands(n *workerState, notAfter time.Time) []sched.Command {
	if n.boot == 0 {
		return nil
	}
	var all []sched.Command
	w, known := p.ledger.Worker(n.member.ID)
	if known {
		for _, t := range w.Tasks {
			if c, ok := p.commandFor(n, t, notAfter); ok {
				all = append(all, c)
			}
		}
	}
	return append(all, p.staleAttemptCommands(n)...)
}

// commandFor returns the command for the latest attempt of a task, and false if
// there is nothing to send: the attempt has ended, runs as it should, or the
// worker has not reported since a call failed.
func (p *Planner) commandFor(n *workerState, t *sched.TaskStatus, notAfter time.Time) (sched.Command, bool) {
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
	case n.unconfirmed:
		return c, false
	}
	c.Kind = sched.CommandStart
	if t.State == sched.TaskBound {
		c.Kind = sched.CommandBind
	}
	c.Checkpoint = t.Checkpoint
	s := n.starts[k]
	s.boot, s.calls = n.boot, s.calls+1
	s.lastDeadline = later(s.lastDeadline, notAfter)
	n.starts[k] = s
	return c, true
}

// mustStop reports whether an attempt that is missing from the worker's report
// has to be stopped rather than started: it ran or may have run, the worker has
// rebooted since a start was sent, the task was cancelled, the attempt is being
// evicted, or maxStartCalls calls have not started it.
func (p *Planner) mustStop(n *workerState, t *sched.TaskStatus, k attemptKey) bool {
	s, tried := n.starts[k]
	rebooted := tried && s.boot != n.boot
	return t.Started || n.mayHaveRun[k] || rebooted || t.CancelRequested || n.evicting[k] || s.calls >= maxStartCalls
}

// runningCommand returns the command for an attempt that the worker reports as
// running or bound, and false if there is nothing to change.
func (p *Planner) runningCommand(
	n *workerState, t *sched.TaskStatus, r sched.AttemptReport, c sched.Command,
) (sched.Command, bool) {
	k := attemptKey{c.Task, c.Attempt}
	share, throttled := n.cpuShares[k]
	switch {
	case t.CancelRequested, n.evicting[k] && r.State == sched.AttemptWaiting:
		c.Kind = sched.CommandStop
	case n.evicting[k]:
		c.Kind = sched.CommandCheckpoint
	case throttled:
		// The command is repeated in every call, since a call may have been lost.
		c.Kind, c.Share = sched.CommandThrottle, share
	default:
		return c, false
	}
	return c, true
}

// staleAttemptCommands returns commands for the attempts that the worker reports
// but that are no longer current: a stop for one that is alive, and a forget
// for one that has ended. An ended attempt is forgotten only when no call that
// could start it again is in flight and its checkpoint, if usable, is recorded.
func (p *Planner) staleAttemptCommands(n *workerState) []sched.Command {
	var all []sched.Command
	for k, r := range n.reports {
		if p.isCurrent(n, k) {
			continue
		}
		c := sched.Command{Kind: sched.CommandStop, Task: k.task, Attempt: k.attempt}
		if r.State.Ended() {
			if !p.leases.EarlierTermsExpired(p.now) || !p.leases.DeadlinePassed(n.starts[k].lastDeadline, p.now) || p.lateCheckpoint(k, r) {
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

// isCurrent reports whether the replayed state has an attempt as the latest of
// its task, not ended and on this worker.
func (p *Planner) isCurrent(n *workerState, k attemptKey) bool {
	t, known := p.ledger.Task(k.task)
	return known && t.Attempt == k.attempt && t.Worker == n.member.ID &&
		(t.State == sched.TaskPlaced || t.State == sched.TaskBound)
}

// lateCheckpoint reports whether an attempt that the replayed state has as ended
// left a checkpoint that is not recorded yet and that the next attempt can
// still use.
func (p *Planner) lateCheckpoint(k attemptKey, r sched.AttemptReport) bool {
	t, known := p.ledger.Task(k.task)
	return known && r.State == sched.AttemptCheckpointed && r.Checkpoint != "" &&
		t.State == sched.TaskQueued && t.Attempt == k.attempt && t.Checkpoint != r.Checkpoint
}
