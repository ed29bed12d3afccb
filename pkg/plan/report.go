package plan

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

func (i WorkerReported) apply(p *Planner) {
	n := p.nodes[i.Worker]
	if n == nil || n.serial != i.Serial || i.Serial == 0 {
		return
	}
	n.serial = 0
	if p.book.Term() == 0 {
		return
	}
	r := &i.Report
	if r.Term > p.book.Term() {
		// Another planner commands the worker.
		p.urgent = true
	}
	if r.Boot < n.boot {
		return
	}
	p.reached(n, r)
	p.takeReport(n, r)
	if p.options.Interference != nil {
		p.options.Interference.Observe(p.now, r)
	}
	if n.dirty && p.acting() && p.now.Sub(n.lastCall) >= callGap {
		p.call(n)
	}
}

// reached notes that a worker answered, and whether it was restarted.
func (p *Planner) reached(n *node, r *sched.WorkerReport) {
	before := n.takesTasks()
	n.answered, n.clear = n.calledAt, n.calledAt
	if n.unsure || n.boot == 0 {
		n.dirty = true
	}
	n.unsure, n.silent = false, false
	w, known := p.ledger.Worker(n.member.ID)
	if known && n.boot == 0 && w.Boot != r.Boot {
		// Whatever was placed before this term may have run in the last boot.
		for _, t := range w.Tasks {
			n.seen[attemptKey{t.Task.ID, t.Attempt}] = true
		}
	}
	n.boot = r.Boot
	if !known || w.Boot != r.Boot || w.Capacity != n.member.Capacity || w.Rack != n.member.Rack {
		p.note(sched.TaskEntry{
			Kind: sched.EntryWorkerSeen, Worker: n.member.ID, Boot: r.Boot,
			Rack: n.member.Rack, Capacity: n.member.Capacity,
		})
	}
	if !before {
		p.refresh(n.member.ID)
	}
}

// takeReport compares a report with the replayed state and records what is
// new. Ends come before starts, since they make the room for them.
func (p *Planner) takeReport(n *node, r *sched.WorkerReport) {
	clear(n.reports)
	for _, a := range r.Attempts {
		k := attemptKey{a.Task, a.Attempt}
		n.reports[k] = a
		if !p.current(n, k) {
			p.takeLate(n, k, a)
			continue
		}
		if a.State.Ended() {
			p.noteEnd(n, k, a)
			continue
		}
		n.seen[k] = true
	}
	w, known := p.ledger.Worker(n.member.ID)
	if !known {
		return
	}
	for _, t := range w.Tasks {
		k := attemptKey{t.Task.ID, t.Attempt}
		a, reported := n.reports[k]
		switch {
		case !reported:
			n.dirty = true
		case a.State == sched.AttemptRunning && !t.Started:
			p.note(sched.TaskEntry{
				Kind: sched.EntryStarted, TaskID: k.task, Attempt: t.Attempt, Worker: n.member.ID,
			})
		case !a.State.Ended() && (t.CancelRequested || n.evict[k]):
			n.dirty = true
		}
	}
	p.forgetOld(n)
}

// takeLate handles an attempt that has ended by the replayed state.
func (p *Planner) takeLate(n *node, k attemptKey, a sched.AttemptReport) {
	if !a.State.Ended() {
		n.dirty = true
	}
	if p.lateCheckpoint(k, a) {
		p.noteCheckpoint(n, a)
	}
}

func (p *Planner) noteCheckpoint(n *node, a sched.AttemptReport) {
	p.note(sched.TaskEntry{
		Kind: sched.EntryCheckpointed, TaskID: a.Task, Attempt: a.Attempt, Worker: n.member.ID,
		Checkpoint: a.Checkpoint, RunTime: a.Progress,
	})
}

// noteEnd records the end of an attempt as the worker reports it.
func (p *Planner) noteEnd(n *node, k attemptKey, a sched.AttemptReport) {
	t, _ := p.ledger.Task(k.task)
	if a.State == sched.AttemptCheckpointed && a.Checkpoint != "" {
		p.noteCheckpoint(n, a)
	}
	e := sched.TaskEntry{
		Kind: sched.EntryEnded, TaskID: k.task, Attempt: k.attempt, Worker: n.member.ID,
		Result: a.State, RunTime: a.Progress, Reason: a.Reason,
	}
	if a.State == sched.AttemptStopped && n.seen[k] && !n.evict[k] && !t.CancelRequested {
		// Stopped because a restarted worker had lost it, not for eviction.
		e.Result, e.Reason = sched.AttemptLapsed, "the worker lost the attempt"
	}
	if a.State == sched.AttemptFailed {
		e.Result, e.Final = p.judge(n.member.ID, t)
	}
	p.note(e)
}

// defaultMaxAttempts applies to kinds that the configuration doesn't have.
const defaultMaxAttempts = 3

// attemptsFactor bounds the attempts of a task whose failures were put down to
// workers.
const attemptsFactor = 4

// judge decides whether a failure counts against the task, and whether it was
// the last one.
func (p *Planner) judge(worker sched.InstanceID, t *sched.TaskStatus) (sched.AttemptState, bool) {
	limit := defaultMaxAttempts
	if k, ok := p.kinds[t.Task.Kind]; ok && k.MaxAttempts > 0 {
		limit = k.MaxAttempts
	}
	counts := p.options.Suspects == nil || p.options.Suspects.Counts(p.now, worker, t.Task.ID)
	if !counts && int(t.Attempt) < attemptsFactor*limit {
		return sched.AttemptLapsed, false
	}
	return sched.AttemptFailed, t.Failures+1 >= limit || int(t.Attempt) >= attemptsFactor*limit
}

// forgetOld drops what is known of attempts that are neither reported nor
// current, once none of their start commands can take effect.
func (p *Planner) forgetOld(n *node) {
	over := func(k attemptKey, until time.Time) bool {
		_, reported := n.reports[k]
		return !reported && !p.current(n, k) && p.book.Void(until, p.now)
	}
	for k, s := range n.starts {
		if over(k, s.until) {
			delete(n.starts, k)
		}
	}
	for k := range n.seen {
		if over(k, n.starts[k].until) {
			delete(n.seen, k)
		}
	}
	for k := range n.evict {
		if !p.current(n, k) {
			delete(n.evict, k)
		}
	}
	for k := range n.shares {
		if !p.current(n, k) {
			delete(n.shares, k)
		}
	}
}
