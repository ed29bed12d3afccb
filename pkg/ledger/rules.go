package ledger

import (
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// applyFunc applies an entry if it is valid, and does nothing otherwise.
type applyFunc func(l *Ledger, e *sched.TaskEntry, at sched.Offset, now time.Time)

// applyFuncs is indexed by the kind of entry.
var applyFuncs = [...]applyFunc{
	sched.EntryWorkerSeen:   (*Ledger).updateWorker,
	sched.EntryAccepted:     (*Ledger).acceptTask,
	sched.EntryTerm:         (*Ledger).beginTerm,
	sched.EntryTermEnded:    (*Ledger).endTerm,
	sched.EntryPlaced:       (*Ledger).placeTask,
	sched.EntryStarted:      (*Ledger).startAttempt,
	sched.EntryEnded:        (*Ledger).endAttempt,
	sched.EntryCheckpointed: (*Ledger).recordCheckpoint,
	sched.EntryExpired:      (*Ledger).expireAttempt,
	sched.EntryCancelled:    (*Ledger).cancelTask,
	sched.EntryDrained:      (*Ledger).setDrained,
	sched.EntrySnapshot:     (*Ledger).recordSnapshot,
	sched.EntryDeclaredDead: (*Ledger).declareDead,
}

// updateWorker adds a worker or changes its boot, rack and capacity. An entry of
// an earlier boot is invalid.
func (l *Ledger) updateWorker(e *sched.TaskEntry, _ sched.Offset, _ time.Time) {
	if e.Worker == "" || !validResources(e.Capacity) {
		return
	}
	w, known := l.workers[e.Worker]
	if known {
		same := w.Boot == e.Boot && w.Rack == e.Rack && w.Capacity == e.Capacity
		if e.Boot < w.Boot || same {
			return
		}
		l.dropCapacity(w.Capacity)
	} else {
		w = &Worker{WorkerStatus: sched.WorkerStatus{Worker: e.Worker}}
		l.workers[e.Worker] = w
	}
	w.Boot, w.Rack, w.Capacity = e.Boot, e.Rack, e.Capacity
	l.capacities[w.Capacity]++
	l.addChange(e.Kind, nil, w, 0)
}

func (l *Ledger) dropCapacity(c sched.Resources) {
	if l.capacities[c]--; l.capacities[c] <= 0 {
		delete(l.capacities, c)
	}
}

func (l *Ledger) acceptTask(e *sched.TaskEntry, at sched.Offset, _ time.Time) {
	if e.Task.ID == "" || !validResources(e.Task.Needs) {
		return
	}
	if _, known := l.tasks[e.Task.ID]; known {
		return
	}
	t := &sched.TaskStatus{Task: e.Task, State: sched.TaskQueued, Accepted: at}
	l.tasks[e.Task.ID] = t
	l.openTasks++
	l.addChange(e.Kind, t, nil, 0)
}

func (l *Ledger) beginTerm(e *sched.TaskEntry, at sched.Offset, _ time.Time) {
	if e.Instance == "" {
		return
	}
	// An instance sends nothing more under the terms of its earlier incarnations,
	// nor under an earlier term of the same incarnation, for instance one whose
	// record was appended twice.
	l.openTerms = slices.DeleteFunc(l.openTerms, func(t sched.TermStatus) bool {
		return t.Instance == e.Instance && t.Incarnation <= e.Incarnation
	})
	l.openTerms = append(l.openTerms, sched.TermStatus{Term: at, Instance: e.Instance, Incarnation: e.Incarnation})
	l.newestTerm = at
	l.addChange(e.Kind, nil, nil, 0)
}

func (l *Ledger) endTerm(e *sched.TaskEntry, _ sched.Offset, _ time.Time) {
	n := len(l.openTerms)
	l.openTerms = slices.DeleteFunc(l.openTerms, func(t sched.TermStatus) bool { return t.Term == e.Term })
	if len(l.openTerms) == n {
		return
	}
	if l.newestTerm == e.Term {
		l.newestTerm = 0
	}
	l.addChange(e.Kind, nil, nil, 0)
}

// placeTask places a queued task on a worker, or binds it there if the entry says
// Ahead. A bound task has to fit the capacity of the worker, any other its free
// room. The entry must be of the newest term and name the next attempt.
func (l *Ledger) placeTask(e *sched.TaskEntry, _ sched.Offset, _ time.Time) {
	t, w := l.tasks[e.TaskID], l.workers[e.Worker]
	if t == nil || w == nil || !l.isCurrentTerm(e.Term) {
		return
	}
	if t.State != sched.TaskQueued || t.CancelRequested || e.Attempt != t.Attempt+1 || w.Drained {
		return
	}
	needs := t.Task.Needs
	room := w.Free()
	if e.Ahead {
		room = w.Capacity
	}
	used := l.teamUse[t.Task.Team].Plus(needs)
	if !needs.Fits(room) || !withinQuota(used, e.Quota) {
		return
	}
	t.State, t.Attempt, t.Worker, t.Term, t.Started = sched.TaskPlaced, e.Attempt, e.Worker, e.Term, false
	t.LastWorker = ""
	if e.Ahead {
		t.State = sched.TaskBound
		w.Bound = w.Bound.Plus(needs)
		w.BoundTasks++
	} else {
		w.Committed = w.Committed.Plus(needs)
	}
	l.teamUse[t.Task.Team] = used
	w.Tasks = append(w.Tasks, t)
	l.addChange(e.Kind, t, w, e.Attempt)
}

// isCurrentTerm reports whether a term is the newest and has not ended.
func (l *Ledger) isCurrentTerm(term sched.Offset) bool { return term != 0 && term == l.newestTerm }

// latestAlive returns the task of an entry if the entry names the latest attempt of
// the task and that attempt has not ended, and nil otherwise.
func (l *Ledger) latestAlive(e *sched.TaskEntry) *sched.TaskStatus {
	t := l.tasks[e.TaskID]
	if t == nil || e.Attempt != t.Attempt || (e.Worker != "" && e.Worker != t.Worker) {
		return nil
	}
	if t.State != sched.TaskPlaced && t.State != sched.TaskBound {
		return nil
	}
	return t
}

// startAttempt marks an attempt as started and turns a bound task into a placed
// one. A bound task that doesn't fit yet stays bound: the ends of the attempts that
// made room on the worker are not recorded yet, and the planner records the start
// again after them.
func (l *Ledger) startAttempt(e *sched.TaskEntry, _ sched.Offset, _ time.Time) {
	t := l.latestAlive(e)
	if t == nil || t.Started {
		return
	}
	w := l.workers[t.Worker]
	if t.State == sched.TaskBound {
		needs := t.Task.Needs
		if !w.Committed.Plus(needs).Fits(w.Capacity) {
			return
		}
		w.Bound = w.Bound.Minus(needs)
		w.BoundTasks--
		w.Committed = w.Committed.Plus(needs)
		t.State = sched.TaskPlaced
	}
	t.Started = true
	l.addChange(e.Kind, t, w, e.Attempt)
}

// endAttempt ends the latest attempt of a task and then ends the task or queues it
// again.
func (l *Ledger) endAttempt(e *sched.TaskEntry, _ sched.Offset, now time.Time) {
	t := l.latestAlive(e)
	if t == nil {
		l.failQueued(e)
		return
	}
	if !e.Result.Ended() || e.Result > sched.AttemptLeaseExpired {
		return
	}
	// An attempt that the worker stopped before it ran has not used the
	// checkpoint that it was placed with.
	unused := e.Result == sched.AttemptStopped && !t.Started && e.RunTime < t.Progress
	w := l.releaseAttempt(t, unused)
	switch {
	case e.Result == sched.AttemptDone:
		t.Progress = max(e.RunTime, 0)
		l.countRun(t, now)
		l.finishTask(t, sched.TaskDone, e.Reason)
	case t.CancelRequested:
		l.finishTask(t, sched.TaskCancelled, e.Reason)
	default:
		l.countFailureOrEviction(t, e)
		if e.Final {
			l.finishTask(t, sched.TaskFailed, e.Reason)
		}
	}
	t.Started = false
	l.addChange(e.Kind, t, w, e.Attempt)
	l.changes[len(l.changes)-1].Result = e.Result
}

// countFailureOrEviction counts a failure, or an eviction if the attempt was
// checkpointed or was stopped after its start. An attempt that the worker lost
// (AttemptLeaseExpired) or that was stopped before its start counts as neither.
func (l *Ledger) countFailureOrEviction(t *sched.TaskStatus, e *sched.TaskEntry) {
	switch {
	case e.Result == sched.AttemptFailed:
		t.Failures++
		t.Reason = e.Reason
	case e.Result == sched.AttemptCheckpointed, e.Result == sched.AttemptStopped && t.Started:
		t.Evictions++
	}
}

// failQueued ends a queued task that the planner of the newest term gives up.
func (l *Ledger) failQueued(e *sched.TaskEntry) {
	t := l.tasks[e.TaskID]
	if t == nil || t.State != sched.TaskQueued || e.Attempt != t.Attempt {
		return
	}
	if !e.Final || e.Result != sched.AttemptFailed || !l.isCurrentTerm(e.Term) {
		return
	}
	l.finishTask(t, sched.TaskFailed, e.Reason)
	l.addChange(e.Kind, t, nil, e.Attempt)
}

// recordCheckpoint records the checkpoint of the latest attempt. The entry is valid
// until the next attempt is placed, so that a checkpoint that is reported late is
// still used, but never by two attempts at a time.
func (l *Ledger) recordCheckpoint(e *sched.TaskEntry, _ sched.Offset, _ time.Time) {
	t := l.tasks[e.TaskID]
	if t == nil || Final(t.State) || e.Attempt != t.Attempt || e.Attempt == 0 || e.Checkpoint == "" {
		return
	}
	if e.Checkpoint == t.Checkpoint || e.RunTime < 0 {
		return
	}
	t.Checkpoint, t.CheckpointOf, t.Progress = e.Checkpoint, e.Attempt, e.RunTime
	l.addChange(e.Kind, t, l.workers[t.Worker], e.Attempt)
}

func (l *Ledger) expireAttempt(e *sched.TaskEntry, _ sched.Offset, _ time.Time) {
	if !l.isCurrentTerm(e.Term) {
		return
	}
	if t := l.latestAlive(e); t != nil {
		l.expireTask(t)
	}
}

func (l *Ledger) expireTask(t *sched.TaskStatus) {
	w := l.releaseAttempt(t, false)
	t.Started = false
	if t.CancelRequested {
		l.finishTask(t, sched.TaskCancelled, t.Reason)
	}
	l.addChange(sched.EntryExpired, t, w, t.Attempt)
}

func (l *Ledger) cancelTask(e *sched.TaskEntry, _ sched.Offset, _ time.Time) {
	t := l.tasks[e.TaskID]
	if t == nil || Final(t.State) || t.CancelRequested {
		return
	}
	t.CancelRequested = true
	if t.State == sched.TaskQueued {
		l.finishTask(t, sched.TaskCancelled, "")
	}
	l.addChange(e.Kind, t, l.workers[t.Worker], t.Attempt)
}

func (l *Ledger) setDrained(e *sched.TaskEntry, _ sched.Offset, _ time.Time) {
	w := l.workers[e.Worker]
	if w == nil || w.Drained == e.Drained {
		return
	}
	w.Drained = e.Drained
	l.addChange(e.Kind, nil, w, 0)
}

func (l *Ledger) recordSnapshot(e *sched.TaskEntry, at sched.Offset, _ time.Time) {
	if e.Snapshot != nil {
		l.lastSnapshot = at
		l.addChange(e.Kind, nil, nil, 0)
	}
}

// declareDead treats an instance, or the whole data centre if none is named, as
// stopped: it ends the terms, expires the attempts and removes the workers.
func (l *Ledger) declareDead(e *sched.TaskEntry, _ sched.Offset, _ time.Time) {
	l.openTerms = slices.DeleteFunc(l.openTerms, func(t sched.TermStatus) bool {
		gone := e.Instance == "" || t.Instance == e.Instance
		if gone && t.Term == l.newestTerm {
			l.newestTerm = 0
		}
		return gone
	})
	for _, id := range l.workerIDs() {
		if e.Instance != "" && id != e.Instance {
			continue
		}
		w := l.workers[id]
		for _, t := range slices.Clone(w.Tasks) {
			l.expireTask(t)
		}
		l.dropCapacity(w.Capacity)
		delete(l.workers, id)
	}
	l.addChange(e.Kind, nil, nil, 0)
}

// releaseAttempt frees the resources of the latest attempt of a task and queues the
// task. The checkpoint is kept if this attempt wrote it or has not used it.
func (l *Ledger) releaseAttempt(t *sched.TaskStatus, unused bool) *Worker {
	if unused && t.Checkpoint != "" {
		t.CheckpointOf = t.Attempt
	}
	if t.CheckpointOf != t.Attempt {
		t.Checkpoint, t.CheckpointOf, t.Progress = "", 0, 0
	}
	w := l.workers[t.Worker]
	needs := t.Task.Needs
	if t.State == sched.TaskBound {
		w.Bound = w.Bound.Minus(needs)
		w.BoundTasks--
	} else {
		w.Committed = w.Committed.Minus(needs)
	}
	used := l.teamUse[t.Task.Team].Minus(needs)
	l.teamUse[t.Task.Team] = used
	if used == (sched.Resources{}) {
		delete(l.teamUse, t.Task.Team)
	}
	if i := slices.Index(w.Tasks, t); i >= 0 {
		w.Tasks = slices.Delete(w.Tasks, i, i+1)
	}
	t.State, t.LastWorker, t.Worker, t.Term = sched.TaskQueued, t.Worker, "", 0
	return w
}

// finishTask ends a task for good, and drops the task that ended first if more than
// maxEndedTasks are kept.
func (l *Ledger) finishTask(t *sched.TaskStatus, s sched.TaskState, reason string) {
	t.State = s
	if reason != "" {
		t.Reason = reason
	}
	l.openTasks--
	l.endedTasks = append(l.endedTasks, t.Task.ID)
	if len(l.endedTasks) > maxEndedTasks {
		delete(l.tasks, l.endedTasks[0])
		l.endedTasks = l.endedTasks[1:]
	}
}

// countRun adds a completed run to the usage that the partner is billed for. It is
// called at most once per task, as only an attempt that is alive can be completed.
func (l *Ledger) countRun(t *sched.TaskStatus, now time.Time) {
	k := usageKey{t.Task.Partner, yearMonth(now)}
	u := l.usage[k]
	if u == nil {
		u = &sched.PartnerUsage{Partner: k.partner, Month: k.yearMonth}
		l.usage[k] = u
	}
	u.Runs++
	u.ProcessorMillis += t.Progress.Milliseconds() * t.Task.Needs.Processors / milliProcessors
}

// milliProcessors is the number of sched.Resources.Processors units per
// processor.
const milliProcessors = 1000

// withinQuota reports whether r exceeds no part of the quota. A part of 0 limits
// nothing.
func withinQuota(r, quota sched.Resources) bool {
	within := func(n, limit int64) bool { return limit == 0 || n <= limit }
	return within(r.Processors, quota.Processors) && within(r.Memory, quota.Memory) &&
		within(r.Accelerators, quota.Accelerators)
}

// validResources reports whether r has no negative part and is not zero.
func validResources(r sched.Resources) bool {
	return r.Processors >= 0 && r.Memory >= 0 && r.Accelerators >= 0 && r != sched.Resources{}
}
