package ledger

import (
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// rule applies an entry if it is valid, and does nothing otherwise.
type rule func(l *Ledger, e *sched.TaskEntry, at sched.Offset, now time.Time)

// rules is indexed by kind.
var rules = [...]rule{
	sched.EntryWorkerSeen:   (*Ledger).workerSeen,
	sched.EntryAccepted:     (*Ledger).accepted,
	sched.EntryTerm:         (*Ledger).term,
	sched.EntryTermEnded:    (*Ledger).termEnded,
	sched.EntryPlaced:       (*Ledger).placed,
	sched.EntryStarted:      (*Ledger).started,
	sched.EntryEnded:        (*Ledger).endedAttempt,
	sched.EntryCheckpointed: (*Ledger).checkpointed,
	sched.EntryExpired:      (*Ledger).expired,
	sched.EntryCancelled:    (*Ledger).cancelTask,
	sched.EntryDrained:      (*Ledger).drained,
	sched.EntrySnapshot:     (*Ledger).snapshotSeen,
	sched.EntryDeclaredDead: (*Ledger).declaredDead,
}

func (l *Ledger) workerSeen(e *sched.TaskEntry, _ sched.Offset, _ time.Time) {
	if e.Worker == "" || !valid(e.Capacity) {
		return
	}
	w, known := l.workers[e.Worker]
	if known {
		same := w.Boot == e.Boot && w.Rack == e.Rack && w.Capacity == e.Capacity
		if e.Boot < w.Boot || same {
			return
		}
		l.dropShape(w.Capacity)
	} else {
		w = &Worker{WorkerStatus: sched.WorkerStatus{Worker: e.Worker}}
		l.workers[e.Worker] = w
	}
	w.Boot, w.Rack, w.Capacity = e.Boot, e.Rack, e.Capacity
	l.shapes[w.Capacity]++
	l.changed(e.Kind, nil, w, 0)
}

func (l *Ledger) dropShape(c sched.Resources) {
	if l.shapes[c]--; l.shapes[c] <= 0 {
		delete(l.shapes, c)
	}
}

func (l *Ledger) accepted(e *sched.TaskEntry, at sched.Offset, _ time.Time) {
	if e.Task.ID == "" || !valid(e.Task.Needs) {
		return
	}
	if _, known := l.tasks[e.Task.ID]; known {
		return
	}
	t := &sched.TaskStatus{Task: e.Task, State: sched.TaskQueued, Accepted: at}
	l.tasks[e.Task.ID] = t
	l.open++
	l.changed(e.Kind, t, nil, 0)
}

func (l *Ledger) term(e *sched.TaskEntry, at sched.Offset, _ time.Time) {
	if e.Instance == "" {
		return
	}
	// An instance sends nothing more under the terms of its earlier runs, and
	// nothing under an earlier term of the same run that was appended twice.
	l.terms = slices.DeleteFunc(l.terms, func(t sched.TermStatus) bool {
		return t.Instance == e.Instance && t.Incarnation <= e.Incarnation
	})
	l.terms = append(l.terms, sched.TermStatus{Term: at, Instance: e.Instance, Incarnation: e.Incarnation})
	l.newest = at
	l.changed(e.Kind, nil, nil, 0)
}

func (l *Ledger) termEnded(e *sched.TaskEntry, _ sched.Offset, _ time.Time) {
	n := len(l.terms)
	l.terms = slices.DeleteFunc(l.terms, func(t sched.TermStatus) bool { return t.Term == e.Term })
	if len(l.terms) == n {
		return
	}
	if l.newest == e.Term {
		l.newest = 0
	}
	l.changed(e.Kind, nil, nil, 0)
}

func (l *Ledger) placed(e *sched.TaskEntry, _ sched.Offset, _ time.Time) {
	t, w := l.tasks[e.TaskID], l.workers[e.Worker]
	if t == nil || w == nil || !l.current(e.Term) {
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
	hold := l.teams[t.Task.Team].Plus(needs)
	if !needs.Fits(room) || !withinQuota(hold, e.Quota) {
		return
	}
	t.State, t.Attempt, t.Worker, t.Term, t.Started = sched.TaskPlaced, e.Attempt, e.Worker, e.Term, false
	t.LastWorker = ""
	if e.Ahead {
		t.State = sched.TaskBound
		w.Bound = w.Bound.Plus(needs)
		w.Waiting++
	} else {
		w.Committed = w.Committed.Plus(needs)
	}
	l.teams[t.Task.Team] = hold
	w.Tasks = append(w.Tasks, t)
	l.changed(e.Kind, t, w, e.Attempt)
}

// current tells whether a term is the newest and has not ended.
func (l *Ledger) current(term sched.Offset) bool { return term != 0 && term == l.newest }

// alive returns the task of an entry if the entry names its latest attempt and
// that attempt has not ended.
func (l *Ledger) alive(e *sched.TaskEntry) *sched.TaskStatus {
	t := l.tasks[e.TaskID]
	if t == nil || e.Attempt != t.Attempt || (e.Worker != "" && e.Worker != t.Worker) {
		return nil
	}
	if t.State != sched.TaskPlaced && t.State != sched.TaskBound {
		return nil
	}
	return t
}

// started moves a bound task to the committed ones. A bound task that doesn't
// fit yet stays bound: the ends that made room at the worker are not recorded
// yet, and the report is recorded again after them.
func (l *Ledger) started(e *sched.TaskEntry, _ sched.Offset, _ time.Time) {
	t := l.alive(e)
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
		w.Waiting--
		w.Committed = w.Committed.Plus(needs)
		t.State = sched.TaskPlaced
	}
	t.Started = true
	l.changed(e.Kind, t, w, e.Attempt)
}

func (l *Ledger) endedAttempt(e *sched.TaskEntry, _ sched.Offset, now time.Time) {
	t := l.alive(e)
	if t == nil {
		l.failQueued(e)
		return
	}
	if !e.Result.Ended() || e.Result > sched.AttemptLapsed {
		return
	}
	// An attempt that the worker stopped before it ran has not used its
	// checkpoint.
	unused := e.Result == sched.AttemptStopped && !t.Started && e.RunTime < t.Progress
	w := l.release(t, unused)
	switch {
	case e.Result == sched.AttemptDone:
		t.Progress = max(e.RunTime, 0)
		l.count(t, now)
		l.finish(t, sched.TaskDone, e.Reason)
	case t.CancelRequested:
		l.finish(t, sched.TaskCancelled, e.Reason)
	default:
		l.countEnd(t, e)
		if e.Final {
			l.finish(t, sched.TaskFailed, e.Reason)
		}
	}
	t.Started = false
	l.changed(e.Kind, t, w, e.Attempt)
	l.changes[len(l.changes)-1].Result = e.Result
}

// countEnd counts failures and evictions. An attempt that the worker lost
// counts as neither.
func (l *Ledger) countEnd(t *sched.TaskStatus, e *sched.TaskEntry) {
	switch {
	case e.Result == sched.AttemptFailed:
		t.Failures++
		t.Reason = e.Reason
	case e.Result == sched.AttemptCheckpointed, e.Result == sched.AttemptStopped && t.Started:
		t.Evictions++
	}
}

// failQueued ends a task that the newest planner gives up between attempts.
func (l *Ledger) failQueued(e *sched.TaskEntry) {
	t := l.tasks[e.TaskID]
	if t == nil || t.State != sched.TaskQueued || e.Attempt != t.Attempt {
		return
	}
	if !e.Final || e.Result != sched.AttemptFailed || !l.current(e.Term) {
		return
	}
	l.finish(t, sched.TaskFailed, e.Reason)
	l.changed(e.Kind, t, nil, e.Attempt)
}

// checkpointed is valid until the next attempt is placed, so that a checkpoint
// that becomes known late is still used, and never by two attempts at a time.
func (l *Ledger) checkpointed(e *sched.TaskEntry, _ sched.Offset, _ time.Time) {
	t := l.tasks[e.TaskID]
	if t == nil || Final(t.State) || e.Attempt != t.Attempt || e.Attempt == 0 || e.Checkpoint == "" {
		return
	}
	if e.Checkpoint == t.Checkpoint || e.RunTime < 0 {
		return
	}
	t.Checkpoint, t.CheckpointOf, t.Progress = e.Checkpoint, e.Attempt, e.RunTime
	l.changed(e.Kind, t, l.workers[t.Worker], e.Attempt)
}

func (l *Ledger) expired(e *sched.TaskEntry, _ sched.Offset, _ time.Time) {
	if !l.current(e.Term) {
		return
	}
	if t := l.alive(e); t != nil {
		l.expire(t)
	}
}

func (l *Ledger) expire(t *sched.TaskStatus) {
	w := l.release(t, false)
	t.Started = false
	if t.CancelRequested {
		l.finish(t, sched.TaskCancelled, t.Reason)
	}
	l.changed(sched.EntryExpired, t, w, t.Attempt)
}

func (l *Ledger) cancelTask(e *sched.TaskEntry, _ sched.Offset, _ time.Time) {
	t := l.tasks[e.TaskID]
	if t == nil || Final(t.State) || t.CancelRequested {
		return
	}
	t.CancelRequested = true
	if t.State == sched.TaskQueued {
		l.finish(t, sched.TaskCancelled, "")
	}
	l.changed(e.Kind, t, l.workers[t.Worker], t.Attempt)
}

func (l *Ledger) drained(e *sched.TaskEntry, _ sched.Offset, _ time.Time) {
	w := l.workers[e.Worker]
	if w == nil || w.Drained == e.Drained {
		return
	}
	w.Drained = e.Drained
	l.changed(e.Kind, nil, w, 0)
}

func (l *Ledger) snapshotSeen(e *sched.TaskEntry, at sched.Offset, _ time.Time) {
	if e.Snapshot != nil {
		l.snapshot = at
		l.changed(e.Kind, nil, nil, 0)
	}
}

// declaredDead takes the instance, or the whole data centre if none is named,
// as stopped.
func (l *Ledger) declaredDead(e *sched.TaskEntry, _ sched.Offset, _ time.Time) {
	l.terms = slices.DeleteFunc(l.terms, func(t sched.TermStatus) bool {
		gone := e.Instance == "" || t.Instance == e.Instance
		if gone && t.Term == l.newest {
			l.newest = 0
		}
		return gone
	})
	for _, id := range l.workerIDs() {
		if e.Instance != "" && id != e.Instance {
			continue
		}
		w := l.workers[id]
		for _, t := range slices.Clone(w.Tasks) {
			l.expire(t)
		}
		l.dropShape(w.Capacity)
		delete(l.workers, id)
	}
	l.changed(e.Kind, nil, nil, 0)
}

// release returns what the latest attempt holds and queues the task. The
// checkpoint stays if this attempt wrote it or has not used it.
func (l *Ledger) release(t *sched.TaskStatus, unused bool) *Worker {
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
		w.Waiting--
	} else {
		w.Committed = w.Committed.Minus(needs)
	}
	hold := l.teams[t.Task.Team].Minus(needs)
	l.teams[t.Task.Team] = hold
	if hold == (sched.Resources{}) {
		delete(l.teams, t.Task.Team)
	}
	if i := slices.Index(w.Tasks, t); i >= 0 {
		w.Tasks = slices.Delete(w.Tasks, i, i+1)
	}
	t.State, t.LastWorker, t.Worker, t.Term = sched.TaskQueued, t.Worker, "", 0
	return w
}

// finish ends a task for good and forgets the oldest ended one if there are
// too many.
func (l *Ledger) finish(t *sched.TaskStatus, s sched.TaskState, reason string) {
	t.State = s
	if reason != "" {
		t.Reason = reason
	}
	l.open--
	l.ended = append(l.ended, t.Task.ID)
	if len(l.ended) > rememberedEnded {
		delete(l.tasks, l.ended[0])
		l.ended = l.ended[1:]
	}
}

// count adds a run to what the partner pays for. It is called once per task,
// as only an attempt that is alive can end.
func (l *Ledger) count(t *sched.TaskStatus, now time.Time) {
	k := usageKey{t.Task.Partner, month(now)}
	u := l.usage[k]
	if u == nil {
		u = &sched.PartnerUsage{Partner: k.partner, Month: k.month}
		l.usage[k] = u
	}
	u.Runs++
	u.ProcessorMillis += t.Progress.Milliseconds() * t.Task.Needs.Processors / milliProcessors
}

// milliProcessors is the number of sched.Resources.Processors units per
// processor.
const milliProcessors = 1000

func withinQuota(r, quota sched.Resources) bool {
	in := func(n, q int64) bool { return q == 0 || n <= q }
	return in(r.Processors, quota.Processors) && in(r.Memory, quota.Memory) &&
		in(r.Accelerators, quota.Accelerators)
}

func valid(r sched.Resources) bool {
	return r.Processors >= 0 && r.Memory >= 0 && r.Accelerators >= 0 && r != sched.Resources{}
}
