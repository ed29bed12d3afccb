package audit

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/book"
	"github.com/parsleybarrow/parsleybarrow/internal/emu/work"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Finding is a violation of a rule.
type Finding struct {
	At          time.Time
	Rule        string
	Description string
}

// String returns the time of day, the rule and the description.
func (f Finding) String() string {
	return fmt.Sprintf("%s %s: %s", f.At.Format("15:04:05.000"), f.Rule, f.Description)
}

// Rules that the audit checks.
const (
	// Twice: a second run of a task at the same time, or a run after the end as
	// done was acknowledged. Steps that allow copies are exempt.
	Twice = "twice"
	// Order: a run before the steps that it depends on were done, or before its
	// occurrence was due.
	Order = "order"
	// Unasked: a run of a task that no caller submitted, with another payload, or
	// from a checkpoint that neither the task nor its gang wrote.
	Unasked = "unasked"
	// Limit: a run beyond the capacity of a worker that doesn't enforce it. A capacity
	// that shrinks counts ContactTime after the first heartbeat that reports it.
	Limit = "limit"
	// Place: a run on a worker of another service or without the label, or more
	// tasks of a step on one worker than the step allows.
	Place = "place"
	// Evacuated: a run that starts in a data centre more than EvacuationTime after its
	// evacuation was acknowledged, and before that was withdrawn.
	Evacuated = "evacuated"
	// Budget: a run after the maximum number of failed attempts. Lasting tasks
	// and gangs are exempt.
	Budget = "budget"
	// CrashBudget: a start of a task, or of its gang, after it has crashed maxCrashes
	// workers and was then started maxLateStarts - 1 times more.
	CrashBudget = "crashBudget"
	// Alone: a member of a gang ended because the others didn't start in time.
	Alone = "alone"
	// Refused: a run of a job of which every submission was refused.
	Refused = "refused"
	// Cancelled: a run that starts more than CancelTime after the cancel of its
	// job was acknowledged.
	Cancelled = "cancelled"
	// Lost: an accepted job that is unknown, shown as failed although attempts
	// are left and fewer than suspectCrashes workers crashed under each of its
	// tasks and gangs, or shown as cancelled although no caller cancelled it.
	Lost = "lost"
	// Mixed: a job that is shown but was never submitted, or is shown as completed
	// although a task isn't done.
	Mixed = "mixed"
	// Harm: fillers kept a serving task over its latency bound for too long.
	Harm = "harm"
	// Waiting: a task of an accepted job waits although there is room for it.
	Waiting = "waiting"
	// WaitingFiller: the same of a filler, after the traffic.
	WaitingFiller = "waitingFiller"
)

// Audit collects findings. Exported fields are set before the first call. It is
// safe for concurrent use.
type Audit struct {
	Jobs *book.Jobs
	// Guards is true if workers enforce their capacity; the rule Limit is not
	// checked then.
	Guards bool
	// CancelTime is how long after the acknowledgement of a cancel runs of the
	// job may still start.
	CancelTime time.Duration
	// EvacuationTime is how long after the acknowledgement of an evacuation runs may still
	// start in the data centre.
	EvacuationTime time.Duration
	// SettlingTime is how long after the end of a fault tasks may wait although there
	// is room for them.
	SettlingTime time.Duration
	// SameCell reports whether a job may run on a worker as far as their cells are
	// concerned, nil if there is one cell. A cell doesn't use the room of another.
	SameCell func(sched.JobID, sched.InstanceID) bool
	// ContactTime is how long an instance may take to learn of a heartbeat.
	ContactTime time.Duration

	mu       sync.Mutex
	tasks    map[sched.TaskRef]*taskRecord
	calls    map[sched.JobID]*callRecord
	findings []Finding
	starts   int64
	// tasksDone counts the tasks with at least one run that ended as done.
	tasksDone int64
	// wastedTime sums the run time of runs that ended otherwise than as done.
	wastedTime time.Duration
	// activeFaults counts the faults that are active. From settledFrom on the site has
	// recovered from the earlier ones.
	activeFaults int
	settledFrom  time.Time
	// trafficEndedAt is when the last job was submitted, zero before that.
	trafficEndedAt time.Time
	// evacuatedAt holds when the evacuations in force were acknowledged, and latestEvacuated
	// how long after that the latest run has started there.
	evacuatedAt     map[sched.DataCentre]time.Time
	latestEvacuated time.Duration
	startsIn        map[sched.DataCentre]int64
	// waits holds the tasks that waited at the last call of CheckWaiting although
	// there was room for them.
	waits   map[sched.TaskRef]*wait
	crashes map[sched.TaskRef]*crashRecord // by subject
	// crashed counts the workers that runs crashed, and innocentLost the runs of
	// other tasks that were lost by that.
	crashed, innocentLost int
	// innocentFailed holds the jobs that were shown as failed because workers
	// crashed under them, though their tasks crash no worker.
	innocentFailed map[sched.JobID]bool
}

// taskRecord holds what was observed of a task.
type taskRecord struct {
	running map[work.RunKey]*activeRun
	// doneRuns counts the runs that ended as done. doneAcknowledged is set once
	// the end of one was acknowledged and its worker's lease had not expired in
	// between; only then must the task not start again.
	doneRuns         int
	doneAcknowledged bool
	failures         int
	// acknowledgedFailures counts the failures whose end was acknowledged.
	acknowledgedFailures int
	checkpoints          map[sched.CheckpointID]bool
	// firstStart is when the first run started, and lastRunAt when a run last ended.
	firstStart, lastRunAt time.Time
}

type activeRun struct {
	worker sched.InstanceID
	began  time.Time
}

// callRecord holds the calls about a job and their answers.
type callRecord struct {
	// accepted is set once a submission was accepted, outcomeUnknown once the
	// outcome of one stayed unknown.
	accepted, outcomeUnknown bool
	refusals                 int
	// pending is the number of submissions without an answer yet.
	pending int
	// cancelSent is set once a cancel was sent, and cancelledAt is the time of
	// its first acknowledgement.
	cancelSent  bool
	cancelledAt time.Time
	shownFailed bool
}

func (a *Audit) report(at time.Time, rule, format string, args ...any) {
	a.findings = append(a.findings, Finding{at, rule, fmt.Sprintf(format, args...)})
}

// Findings returns a copy of the findings so far, in the order in which they were
// reported.
func (a *Audit) Findings() []Finding {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.findings)
}

// Counts returns the number of runs that started and of tasks that are done.
func (a *Audit) Counts() (starts, done int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.starts, a.tasksDone
}

// FirstStart returns when the first run of a task started, and whether one has.
func (a *Audit) FirstStart(r sched.TaskRef) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.taskOf(r)
	return t.firstStart, !t.firstStart.IsZero()
}

func (a *Audit) taskOf(r sched.TaskRef) *taskRecord {
	if a.tasks == nil {
		a.tasks, a.calls = map[sched.TaskRef]*taskRecord{}, map[sched.JobID]*callRecord{}
	}
	t := a.tasks[r]
	if t == nil {
		t = &taskRecord{running: map[work.RunKey]*activeRun{}, checkpoints: map[sched.CheckpointID]bool{}}
		a.tasks[r] = t
	}
	return t
}

func (a *Audit) callsOf(id sched.JobID) *callRecord {
	if a.calls == nil {
		a.tasks, a.calls = map[sched.TaskRef]*taskRecord{}, map[sched.JobID]*callRecord{}
	}
	c := a.calls[id]
	if c == nil {
		c = &callRecord{}
		a.calls[id] = c
	}
	return c
}

// Began implements work.Observer. It checks the start against all rules that apply
// to starts.
func (a *Audit) Began(at time.Time, w *work.Worker, k work.RunKey, payload string, resumed sched.CheckpointID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.starts++
	t := a.taskOf(k.Task)
	if t.firstStart.IsZero() {
		t.firstStart = at
	}
	truth, step, known := a.Jobs.Step(k.Task)
	if !known {
		a.report(at, Unasked, "%v run %d on %s: no such task was submitted", k.Task, k.Run, w.ID)
		return
	}
	a.checkDuplicate(at, w, k, t, step)
	a.checkSubmitted(at, w, k, truth, payload, resumed)
	a.checkOrder(at, w, k, truth)
	a.checkPlace(at, w, k, truth, step)
	a.checkEvacuated(at, w, k)
	if !step.Lasting && !step.Gang && t.acknowledgedFailures >= truth.Job.Queue.MaxAttempts {
		a.report(at, Budget, "%v run %d on %s after %d failures", k.Task, k.Run, w.ID, t.acknowledgedFailures)
	}
	a.checkCrashes(at, w, k, step)
	t.running[k] = &activeRun{w.ID, at}
}

func (a *Audit) checkDuplicate(at time.Time, w *work.Worker, k work.RunKey, t *taskRecord, step *sched.Step) {
	if step.Copies {
		return
	}
	for o, l := range t.running {
		a.report(at, Twice, "%v run %d on %s while run %d on %s is running since %s",
			k.Task, k.Run, w.ID, o.Run, l.worker, l.began.Format("05.000"))
	}
	if t.doneAcknowledged {
		a.report(at, Twice, "%v run %d on %s after the task was done", k.Task, k.Run, w.ID)
	}
}

func (a *Audit) checkSubmitted(
	at time.Time, w *work.Worker, k work.RunKey, truth book.JobTruth, payload string, resumed sched.CheckpointID,
) {
	c := a.callsOf(k.Task.Job)
	switch {
	case payload != truth.Job.Payload:
		a.report(at, Unasked, "%v on %s with a payload other than its job's", k.Task, w.ID)
	case resumed != "" && !a.wroteCheckpoint(k, resumed):
		a.report(at, Unasked, "%v resumes from checkpoint %s, which neither it nor its gang wrote", k.Task, resumed)
	case c.refusals > 0 && !c.accepted && !c.outcomeUnknown && c.pending == 0:
		a.report(at, Refused, "%v run %d on %s, but all %d submissions of its job were refused",
			k.Task, k.Run, w.ID, c.refusals)
	case !c.cancelledAt.IsZero() && at.Sub(c.cancelledAt) > a.CancelTime:
		a.report(at, Cancelled, "%v run %d on %s, %s after the cancel was acknowledged",
			k.Task, k.Run, w.ID, at.Sub(c.cancelledAt))
	}
}

// wroteCheckpoint reports whether the task, or a member of its gang, has written
// the checkpoint.
func (a *Audit) wroteCheckpoint(k work.RunKey, c sched.CheckpointID) bool {
	_, step, _ := a.Jobs.Step(k.Task)
	if !step.Gang {
		return a.taskOf(k.Task).checkpoints[c]
	}
	for i := range step.Tasks {
		r := k.Task
		r.Index = i
		if a.taskOf(r).checkpoints[c] {
			return true
		}
	}
	return false
}

// earlyStart is how long before it is due an occurrence may begin.
const earlyStart = 250 * time.Millisecond

func (a *Audit) checkOrder(at time.Time, w *work.Worker, k work.RunKey, truth book.JobTruth) {
	j := truth.Job
	for _, s := range j.Steps[k.Task.Step].After {
		for i := range j.Steps[s].Tasks {
			r := sched.TaskRef{Job: k.Task.Job, Occurrence: k.Task.Occurrence, Step: s, Index: i}
			gang := j.Steps[s].Gang && a.gangDone(r, j.Steps[s].Tasks)
			if a.taskOf(r).doneRuns == 0 && !gang {
				a.report(at, Order, "%v on %s before %v is done", k.Task, w.ID, r)
				return
			}
		}
	}
	if j.Schedule.Times > 0 && at.Before(j.Schedule.Due(k.Task.Occurrence).Add(-earlyStart)) {
		a.report(at, Order, "%v on %s, %s before its occurrence is due",
			k.Task, w.ID, j.Schedule.Due(k.Task.Occurrence).Sub(at))
	}
}

func (a *Audit) checkPlace(at time.Time, w *work.Worker, k work.RunKey, truth book.JobTruth, step *sched.Step) {
	switch {
	case w.Service != truth.Job.Queue.Service:
		a.report(at, Place, "%v on %s, a worker of service %s", k.Task, w.ID, w.Service)
	case step.Label != "" && !slices.Contains(w.Labels, step.Label):
		a.report(at, Place, "%v on %s, which lacks the label %s", k.Task, w.ID, step.Label)
	case !a.Guards && !step.Counted().Fits(w.FreeBy(at, a.ContactTime)):
		a.report(at, Limit, "%v on %s, where only %v is free", k.Task, w.ID, w.FreeBy(at, a.ContactTime))
	}
	if step.PerWorker == 0 {
		return
	}
	n := 1
	for i := range step.Tasks {
		r := k.Task
		r.Index = i
		for _, l := range a.taskOf(r).running {
			if l.worker == w.ID {
				n++
			}
		}
	}
	if n > step.PerWorker {
		a.report(at, Place, "%v on %s, which now has %d tasks of the step, limit %d", k.Task, w.ID, n, step.PerWorker)
	}
}

// Ended implements work.Observer. It records how the run ended.
func (a *Audit) Ended(at time.Time, _ *work.Worker, k work.RunKey, how sched.RunEnd) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.taskOf(k.Task)
	if l := t.running[k]; l != nil && how != sched.EndDone {
		a.wastedTime += at.Sub(l.began)
	}
	delete(t.running, k)
	t.lastRunAt = at
	switch how {
	case sched.EndDone:
		if t.doneRuns == 0 {
			a.tasksDone++
		}
		t.doneRuns++
	case sched.EndFailed:
		t.failures++
	case sched.EndGangIncomplete:
		a.report(at, Alone, "%v run %d ended because the rest of its gang didn't start", k.Task, k.Run)
	default: // tasks of stopped, lapsed and broken runs may start again
	}
}

// Saved implements work.Observer. It records the checkpoint as one that the task may
// resume from.
func (a *Audit) Saved(r sched.TaskRef, c sched.CheckpointID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c != "" {
		a.taskOf(r).checkpoints[c] = true
	}
}

// Acknowledged implements work.Observer. An end as done counts only if the lease had not
// lapsed in between.
func (a *Audit) Acknowledged(_ time.Time, _ *work.Worker, k work.RunKey, how sched.RunEnd, lapsed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case how == sched.EndDone && !lapsed:
		a.taskOf(k.Task).doneAcknowledged = true
	case how == sched.EndFailed:
		a.taskOf(k.Task).acknowledgedFailures++
	}
}

// Harmed reports that fillers have kept a serving task over its latency bound since
// the given time.
func (a *Audit) Harmed(at time.Time, w *work.Worker, k work.RunKey, since time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.report(at, Harm, "%v on %s is over its latency bound since %s because of fillers",
		k.Task, w.ID, since.Format("05.000"))
}
