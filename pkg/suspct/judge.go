package suspct

import (
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Limits of the judgement.
const (
	// successesToClear is the number of successes since the start of a pause
	// that end a suspicion once the pause is over.
	successesToClear = 2
	// sweepsPerRetention is the number of sweeps for old evidence within
	// Pauses.Forget.
	sweepsPerRetention = 12
)

// Timing holds the durations that a Detector uses.
type Timing struct {
	// InitialPause and MaxPause are the shortest and the longest pause of a suspected
	// worker.
	InitialPause, MaxPause time.Duration
	// After the pause, a suspected worker may get tasks for the length of
	// ProbeWindow, or until Placed is called. The next window opens after a success,
	// or after ProbeTimeout if there is no result.
	ProbeWindow, ProbeTimeout time.Duration
	// EarlyProbe is the part of a pause after which a task that has no other worker
	// may be the probe.
	EarlyProbe time.Duration
	// Retention is the time after which the end of an attempt no longer counts,
	// and after which tasks and workers without a newer end are dropped.
	Retention time.Duration
}

// defaultPauses suits tasks that run for minutes.
var defaultPauses = Timing{
	InitialPause: time.Minute, MaxPause: time.Hour, ProbeWindow: 2 * time.Second, ProbeTimeout: time.Minute, Retention: time.Hour,
	EarlyProbe: 30 * time.Second,
}

// Detector collects how attempts end and decides which workers are suspected. It
// is not safe for concurrent use.
type Detector struct {
	workers   map[sched.InstanceID]*worker
	tasks     map[sched.TaskID]*task
	kinds     map[string]*kind
	lastSweep time.Time
	pauses    Timing
}

type worker struct {
	// ends holds the newest end per task, oldest first.
	ends      []attemptEnd
	lastEndAt time.Time
	suspected bool
	// pausedUntil is the end of the pause, after which the worker is probed.
	pausedUntil time.Time
	pause       time.Duration
	// windowStart is the start of the current probe window, zero if there is
	// none.
	windowStart  time.Time
	windowClosed bool
	successes    int // since the start of the pause
}

// task holds what is known of one task.
type task struct {
	// failedOn is the set of workers on which the task failed.
	failedOn map[sched.InstanceID]bool
	done     bool
	lastSeen time.Time
	// excusedWorker is the worker whose failure Counts did not count against
	// the task and for which Ended has not been called yet.
	excusedWorker sched.InstanceID
}

// New returns a judge without evidence, with pauses that suit tasks that run
// for minutes.
func New() *Detector { return NewWithTiming(defaultPauses) }

// NewWithTiming returns a judge without evidence that uses the given pauses.
func NewWithTiming(p Timing) *Detector {
	return &Detector{
		workers: map[sched.InstanceID]*worker{}, tasks: map[sched.TaskID]*task{}, kinds: map[string]*kind{}, pauses: p,
	}
}

// AttemptEnded records how an attempt ended. AttemptDone and AttemptFailed are
// evidence about the worker. AttemptLeaseExpired is taken as a failure if CountsAgainstTask
// returned false for the attempt before, because the planner records such a
// failure as lapsed. Other results are ignored.
func (j *Detector) AttemptEnded(now time.Time, w sched.InstanceID, t sched.TaskID, kind string, result sched.AttemptState) {
	j.sweep(now)
	known := j.tasks[t]
	failed := result == sched.AttemptFailed
	if result == sched.AttemptLeaseExpired && known != nil && known.excusedWorker == w {
		failed = true
	}
	if known != nil {
		known.excusedWorker = ""
	}
	if !failed && result != sched.AttemptDone {
		return
	}
	known = j.task(t, now)
	if failed {
		known.failedOn[w] = true
	} else {
		known.done = true
	}
	state := j.worker(w, now)
	state.addEnd(attemptEnd{task: t, kind: kind, failed: failed, at: now})
	j.kind(kind).addEnd(w, failed, now)
	j.noteProbeResult(state, failed, now)
	j.review(w, state, now)
}

// Avoid reports whether a worker should get no new tasks now. The answer can
// change without new evidence, when a pause ends or a probe window opens or
// closes.
func (j *Detector) Avoid(now time.Time, id sched.InstanceID) bool {
	w := j.workers[id]
	if w == nil || !w.suspected {
		return false
	}
	j.review(id, w, now)
	if !w.suspected {
		return false
	}
	if now.Before(w.pausedUntil) {
		return true
	}
	if w.windowStart.IsZero() || now.Sub(w.windowStart) >= j.pauses.ProbeTimeout {
		w.windowStart, w.windowClosed = now, false
	}
	return w.windowClosed || now.Sub(w.windowStart) >= j.pauses.ProbeWindow
}

// Placed records that a task was placed on a worker. If the worker is
// suspected, this closes the probe window. Calling Placed is optional; without
// it a worker may get several tasks per probe window.
func (j *Detector) Placed(_ time.Time, id sched.InstanceID) {
	if w := j.workers[id]; w != nil && w.suspected {
		w.windowClosed = true
	}
}

// EarlyProbe reports whether a suspected worker may get a task that has no other worker
// before its pause is over, and returns the evidence against the worker. There is one
// such task at a time.
func (j *Detector) EarlyProbe(now time.Time, id sched.InstanceID) (float64, bool) {
	w := j.workers[id]
	if w == nil || !w.suspected {
		return 0, false
	}
	early := now.Before(w.pausedUntil.Add(j.pauses.EarlyProbe - w.pause))
	inFlight := w.windowClosed && now.Sub(w.windowStart) < j.pauses.ProbeTimeout
	return j.evidence(id, w, now), !early && !inFlight
}

// SuspectedByOthers reports whether a worker would be suspected without the ends of the
// given tasks. Tasks that fail by themselves make the worker suspected on which they fail.
func (j *Detector) SuspectedByOthers(now time.Time, id sched.InstanceID, own func(sched.TaskID) bool) bool {
	w := j.workers[id]
	if w == nil || !w.suspected {
		return false
	}
	others := worker{ends: slices.DeleteFunc(slices.Clone(w.ends), func(e attemptEnd) bool { return own(e.task) })}
	return j.evidence(id, &others, now) > suspectThreshold
}

// PlacedEarly records that a task was placed on a suspected worker before its pause was
// over. The task is the worker's probe, so its result ends or prolongs the pause.
func (j *Detector) PlacedEarly(now time.Time, id sched.InstanceID) {
	if w := j.workers[id]; w != nil && w.suspected {
		w.pausedUntil = minTime(w.pausedUntil, now)
		w.windowStart, w.windowClosed = now, true
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// CountsAgainstTask reports whether a task's failure on a worker counts against the task.
// It doesn't count if the task has failed on this worker before, because
// failures must come from different workers. It doesn't count either if the
// worker is suspected, unless the task has also failed on another worker that
// isn't suspected.
func (j *Detector) CountsAgainstTask(now time.Time, w sched.InstanceID, t sched.TaskID) bool {
	known := j.tasks[t]
	repeated, elsewhere := false, false
	if known != nil {
		repeated = known.failedOn[w]
		for other := range known.failedOn {
			if o := j.workers[other]; other != w && (o == nil || !o.suspected) {
				elsewhere = true
			}
		}
	}
	counts := !repeated && (elsewhere || !j.Suspected(w))
	if !counts {
		j.task(t, now).excusedWorker = w
	}
	return counts
}

// FailedOn reports whether a task has failed on a worker.
func (j *Detector) FailedOn(w sched.InstanceID, t sched.TaskID) bool {
	known := j.tasks[t]
	return known != nil && known.failedOn[w]
}

// Suspected reports whether a worker is in a pause or being probed.
func (j *Detector) Suspected(id sched.InstanceID) bool {
	w := j.workers[id]
	return w != nil && w.suspected
}

// noteProbeResult updates a suspected worker with the result of a task: a
// failure after the pause starts a longer pause, and enough successes end the
// suspicion.
func (j *Detector) noteProbeResult(w *worker, failed bool, now time.Time) {
	if !w.suspected {
		return
	}
	if failed {
		if !now.Before(w.pausedUntil) {
			w.startPause(now, j.pauses)
		}
		return
	}
	w.successes++
	w.windowStart = time.Time{} // the next probe window may open at once
	if w.successes >= successesToClear && !now.Before(w.pausedUntil) {
		w.suspected = false
		w.ends = nil
	}
}

// review reassesses the worker's ends with the current failure rates of their
// kinds and tasks, which may have changed since the ends were recorded.
func (j *Detector) review(id sched.InstanceID, w *worker, now time.Time) {
	evidence := j.evidence(id, w, now)
	switch {
	case !w.suspected && evidence > suspectThreshold:
		w.suspected = true
		w.startPause(now, j.pauses)
	case w.suspected && evidence < clearThreshold && w.successes == 0 && len(w.ends) > 0:
		// The tasks that failed on this worker have failed elsewhere too.
		w.suspected = false
		w.pause /= 2
	}
}

// startPause starts a pause twice as long as the previous one, within the bounds.
func (w *worker) startPause(now time.Time, p Timing) {
	w.pause = min(max(2*w.pause, p.InitialPause), p.MaxPause)
	w.pausedUntil = now.Add(w.pause)
	w.windowStart, w.windowClosed, w.successes = time.Time{}, false, 0
}

func (j *Detector) worker(id sched.InstanceID, now time.Time) *worker {
	w := j.workers[id]
	if w == nil {
		w = &worker{}
		j.workers[id] = w
	}
	w.lastEndAt = now
	return w
}

func (j *Detector) task(id sched.TaskID, now time.Time) *task {
	t := j.tasks[id]
	if t == nil {
		t = &task{failedOn: map[sched.InstanceID]bool{}}
		j.tasks[id] = t
	}
	t.lastSeen = now
	return t
}

func (j *Detector) kind(name string) *kind {
	k := j.kinds[name]
	if k == nil {
		k = &kind{workers: map[sched.InstanceID]*endCounts{}}
		j.kinds[name] = k
	}
	return k
}

// sweep drops old evidence, so that memory depends on the rate of attempts and
// not on their total number.
func (j *Detector) sweep(now time.Time) {
	if now.Sub(j.lastSweep) < j.pauses.Retention/sweepsPerRetention {
		return
	}
	j.lastSweep = now
	old := now.Add(-j.pauses.Retention)
	for id, t := range j.tasks {
		if t.lastSeen.Before(old) {
			delete(j.tasks, id)
		}
	}
	for id, w := range j.workers {
		// A suspected worker is kept until Retention after the end of its pause.
		kept := w.suspected && now.Before(w.pausedUntil.Add(j.pauses.Retention))
		if w.lastEndAt.Before(old) && !kept {
			delete(j.workers, id)
		}
	}
	for name, k := range j.kinds {
		if k.expire(old) {
			delete(j.kinds, name)
		}
	}
}
