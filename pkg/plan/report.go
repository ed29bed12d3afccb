package plan

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

func (i WorkerReported) apply(p *Planner) {
	n := p.workers[i.Worker]
	if n == nil || n.callSerial != i.Serial || i.Serial == 0 {
		return
	}
	n.callSerial = 0
	if p.leases.Term() == 0 {
		return
	}
	r := &i.Report
	if r.Term > p.leases.Term() {
		// Another planner commands the worker, so its term is in the log.
		p.readNow = true
	}
	if r.Boot < n.boot {
		return
	}
	p.noteAnswer(n, r)
	p.applyReport(n, r)
	if p.options.Interference != nil {
		p.options.Interference.Observe(p.now, r)
	}
	if n.callDue && p.mayAct() && p.now.Sub(n.lastCalledAt) >= minCallInterval {
		p.callWorker(n)
	}
}

// noteAnswer updates the state of a worker that answered a call, and records a
// changed boot, rack or capacity.
func (p *Planner) noteAnswer(n *workerState, r *sched.WorkerReport) {
	before := n.acceptsTasks()
	n.lastAnsweredAt, n.reportedAsOf = n.calledAt, n.calledAt
	if n.unconfirmed || n.boot == 0 {
		n.callDue = true
	}
	n.unconfirmed, n.callsPaused = false, false
	w, known := p.ledger.Worker(n.member.ID)
	if known && n.boot == 0 && w.Boot != r.Boot {
		// The worker restarted since its boot was recorded: every task that was
		// placed before this term may have run in the earlier boot.
		for _, t := range w.Tasks {
			n.mayHaveRun[attemptKey{t.Task.ID, t.Attempt}] = true
		}
	}
	n.boot = r.Boot
	if !known || w.Boot != r.Boot || w.Capacity != n.member.Capacity || w.Rack != n.member.Rack {
		p.enqueue(sched.TaskEntry{
			Kind: sched.EntryWorkerSeen, Worker: n.member.ID, Boot: r.Boot,
			Rack: n.member.Rack, Capacity: n.member.Capacity,
		})
	}
	if !before {
		p.updateFinders(n.member.ID)
	}
}

// applyReport compares a report with the replayed state and records the
// differences. Ends are recorded before starts, since they make room for them.
func (p *Planner) applyReport(n *workerState, r *sched.WorkerReport) {
	clear(n.reports)
	for _, a := range r.Attempts {
		k := attemptKey{a.Task, a.Attempt}
		n.reports[k] = a
		if !p.isCurrent(n, k) {
			p.applyNonCurrent(n, k, a)
			continue
		}
		if a.State.Ended() {
			p.enqueueEnd(n, k, a)
			continue
		}
		n.mayHaveRun[k] = true
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
			n.callDue = true
		case a.State == sched.AttemptRunning && !t.Started:
			p.enqueue(sched.TaskEntry{
				Kind: sched.EntryStarted, TaskID: k.task, Attempt: t.Attempt, Worker: n.member.ID,
			})
		case !a.State.Ended() && (t.CancelRequested || n.evicting[k]):
			n.callDue = true
		}
	}
	p.dropStaleAttempts(n)
}

// applyNonCurrent handles a reported attempt that is no longer current in the
// replayed state: an alive one needs a stop, and a late checkpoint is recorded.
func (p *Planner) applyNonCurrent(n *workerState, k attemptKey, a sched.AttemptReport) {
	if !a.State.Ended() {
		n.callDue = true
	}
	if p.lateCheckpoint(k, a) {
		p.enqueueCheckpoint(n, a)
	}
}

func (p *Planner) enqueueCheckpoint(n *workerState, a sched.AttemptReport) {
	p.enqueue(sched.TaskEntry{
		Kind: sched.EntryCheckpointed, TaskID: a.Task, Attempt: a.Attempt, Worker: n.member.ID,
		Checkpoint: a.Checkpoint, RunTime: a.Progress,
	})
}

// enqueueEnd records the end of an attempt that the worker reports, with its
// checkpoint if it has one.
func (p *Planner) enqueueEnd(n *workerState, k attemptKey, a sched.AttemptReport) {
	t, _ := p.ledger.Task(k.task)
	if a.State == sched.AttemptCheckpointed && a.Checkpoint != "" {
		p.enqueueCheckpoint(n, a)
	}
	e := sched.TaskEntry{
		Kind: sched.EntryEnded, TaskID: k.task, Attempt: k.attempt, Worker: n.member.ID,
		Result: a.State, RunTime: a.Progress, Reason: a.Reason,
	}
	if a.State == sched.AttemptStopped && n.mayHaveRun[k] && !n.evicting[k] && !t.CancelRequested {
		// The attempt was stopped because a restarted worker had lost it, not
		// for an eviction, so it doesn't count as evicted.
		e.Result, e.Reason = sched.AttemptLeaseExpired, "the worker lost the attempt"
	}
	if a.State == sched.AttemptFailed {
		e.Result, e.Final = p.classifyFailure(n.member.ID, t)
	}
	p.enqueue(e)
}

// defaultMaxAttempts applies to tasks whose kind sets no limit.
const defaultMaxAttempts = 3

// maxAttemptsFactor times the limit of failures is the limit of attempts of a
// task whose failures are attributed to workers.
const maxAttemptsFactor = 4

// classifyFailure decides whether a failure counts against the task
// (AttemptFailed) or not (AttemptLeaseExpired), and whether the task fails for good.
func (p *Planner) classifyFailure(worker sched.InstanceID, t *sched.TaskStatus) (sched.AttemptState, bool) {
	limit := defaultMaxAttempts
	if k, ok := p.taskKinds[t.Task.Kind]; ok && k.MaxAttempts > 0 {
		limit = k.MaxAttempts
	}
	counts := p.options.FailureClassifier == nil || p.options.FailureClassifier.CountsAgainstTask(p.now, worker, t.Task.ID)
	if !counts && int(t.Attempt) < maxAttemptsFactor*limit {
		return sched.AttemptLeaseExpired, false
	}
	return sched.AttemptFailed, t.Failures+1 >= limit || int(t.Attempt) >= maxAttemptsFactor*limit
}

// dropStaleAttempts drops the start commands and the history of attempts that
// are neither reported nor current, once none of their start commands can take
// effect. Evictions and shares are dropped as soon as an attempt is not current.
func (p *Planner) dropStaleAttempts(n *workerState) {
	droppable := func(k attemptKey, lastDeadline time.Time) bool {
		_, reported := n.reports[k]
		return !reported && !p.isCurrent(n, k) && p.leases.DeadlinePassed(lastDeadline, p.now)
	}
	for k, s := range n.starts {
		if droppable(k, s.lastDeadline) {
			delete(n.starts, k)
		}
	}
	for k := range n.mayHaveRun {
		if droppable(k, n.starts[k].lastDeadline) {
			delete(n.mayHaveRun, k)
		}
	}
	for k := range n.evicting {
		if !p.isCurrent(n, k) {
			delete(n.evicting, k)
		}
	}
	for k := range n.cpuShares {
		if !p.isCurrent(n, k) {
			delete(n.cpuShares, k)
		}
	}
}
