package worker

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// attemptLostInCrash is the end state of a run whose worker crashed. It is internal
// to the observer; workers never report it.
const attemptLostInCrash sched.AttemptState = -1

// Observer records the runs on all workers of a Pool at their true times. It is safe
// for concurrent use.
type Observer struct {
	mu       sync.Mutex
	runs     map[sched.TaskID][]*run
	openRuns map[workerAttempt]*run
	resumes  map[sched.CheckpointID][]attemptKey
	peaks    map[sched.InstanceID]Peak
}

type workerAttempt struct {
	worker sched.InstanceID
	key    attemptKey
}

type run struct {
	worker   sched.InstanceID
	attempt  sched.Attempt
	start    time.Time
	end      time.Time // zero while the run is in progress
	endState sched.AttemptState
}

// Peak holds a worker's capacity and, for each resource, the largest amount that
// running attempts held at once.
type Peak struct {
	Committed sched.Resources
	Capacity  sched.Resources
}

// Counts holds the totals of an Observer over all tasks and workers.
type Counts struct {
	Tasks  int `json:"tasks"`
	Starts int `json:"starts"`
	// DuplicateStarts counts starts of an attempt that had already been started,
	// on any worker.
	DuplicateStarts int `json:"duplicateStarts"`
	// DoubleRuns counts runs that began while another run of the same task was
	// in progress, on any worker.
	DoubleRuns int `json:"doubleRuns"`
	// DoubleResumes counts the resumes from a checkpoint beyond the first one.
	DoubleResumes int `json:"doubleResumes"`
	// Overcommitted counts workers whose running attempts ever exceeded the
	// worker's capacity.
	Overcommitted int `json:"overcommitted"`
	// Finished counts runs that ended in success; DoubleFinishes counts those of
	// them whose task had already finished.
	Finished       int `json:"finished"`
	DoubleFinishes int `json:"doubleFinishes"`
	Running        int `json:"running"`
	Failed         int `json:"failed"`
	Stopped        int `json:"stopped"`
	Checkpointed   int `json:"checkpointed"`
	Lapsed         int `json:"lapsed"`
	LostInCrash    int `json:"lostInCrash"`
	// Violations describes up to maxViolations violations of an invariant.
	Violations []string `json:"violations"`
}

const maxViolations = 20

func newObserver() *Observer {
	return &Observer{
		runs: map[sched.TaskID][]*run{}, openRuns: map[workerAttempt]*run{},
		resumes: map[sched.CheckpointID][]attemptKey{}, peaks: map[sched.InstanceID]Peak{},
	}
}

func (o *Observer) recordStart(w sched.Member, k attemptKey, from sched.CheckpointID, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := &run{worker: w.ID, attempt: k.attempt, start: at}
	o.runs[k.task] = append(o.runs[k.task], r)
	o.openRuns[workerAttempt{w.ID, k}] = r
	if from != "" {
		o.resumes[from] = append(o.resumes[from], k)
	}
}

func (o *Observer) recordEnd(w sched.InstanceID, k attemptKey, how sched.AttemptState, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r, ok := o.openRuns[workerAttempt{w, k}]; ok {
		r.end, r.endState = at, how
		delete(o.openRuns, workerAttempt{w, k})
	}
}

func (o *Observer) recordCommitted(w sched.Member, used sched.Resources) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.peaks[w.ID]
	p.Capacity = w.Capacity
	p.Committed.Processors = max(p.Committed.Processors, used.Processors)
	p.Committed.Memory = max(p.Committed.Memory, used.Memory)
	p.Committed.Accelerators = max(p.Committed.Accelerators, used.Accelerators)
	o.peaks[w.ID] = p
}

// Starts returns how many times an attempt was started on all workers together.
func (o *Observer) Starts(task sched.TaskID, a sched.Attempt) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, r := range o.runs[task] {
		if r.attempt == a {
			n++
		}
	}
	return n
}

// Tasks returns the number of tasks that were started at least once.
func (o *Observer) Tasks() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.runs)
}

// Finished returns the number of runs of a task that ended in success.
func (o *Observer) Finished(task sched.TaskID) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, r := range o.runs[task] {
		if r.endState == sched.AttemptDone {
			n++
		}
	}
	return n
}

// FirstStart returns the start time of a task's first run, and false if the task
// was never started.
func (o *Observer) FirstStart(task sched.TaskID) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var first time.Time
	for _, r := range o.runs[task] {
		if first.IsZero() || r.start.Before(first) {
			first = r.start
		}
	}
	return first, len(o.runs[task]) > 0
}

// Peak returns the peak of a worker, which is zero before the worker's first run.
func (o *Observer) Peak(w sched.InstanceID) Peak {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.peaks[w]
}

// Counts returns the totals. Callers should get the observer from Pool.Observer,
// which first processes the workers' events up to the current time.
func (o *Observer) Counts() Counts {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := Counts{Tasks: len(o.runs)}
	for task, runs := range o.runs {
		o.countTask(&c, task, runs)
	}
	for id, keys := range o.resumes {
		if len(keys) > 1 {
			c.DoubleResumes += len(keys) - 1
			c.addViolation("checkpoint %s was resumed %d times", id, len(keys))
		}
	}
	for id, p := range o.peaks {
		if !p.Committed.Fits(p.Capacity) {
			c.Overcommitted++
			c.addViolation("worker %s held %+v of %+v", id, p.Committed, p.Capacity)
		}
	}
	slices.Sort(c.Violations)
	return c
}

func (o *Observer) countTask(c *Counts, task sched.TaskID, runs []*run) {
	ordered := slices.Clone(runs)
	slices.SortStableFunc(ordered, func(a, b *run) int {
		return cmp.Or(a.start.Compare(b.start), cmp.Compare(a.attempt, b.attempt))
	})
	attempts := map[sched.Attempt]bool{}
	finished := 0
	var busyUntil time.Time // latest end of the runs before r
	stillRunning := false
	for _, r := range ordered {
		c.Starts++
		if attempts[r.attempt] {
			c.DuplicateStarts++
			c.addViolation("task %s: attempt %d started again on %s", task, r.attempt, r.worker)
		}
		attempts[r.attempt] = true
		if stillRunning || r.start.Before(busyUntil) {
			c.DoubleRuns++
			c.addViolation("task %s: attempt %d began on %s while another run was alive", task, r.attempt, r.worker)
		}
		stillRunning = stillRunning || r.end.IsZero()
		if r.end.After(busyUntil) {
			busyUntil = r.end
		}
		*c.counterOf(r.endState)++
		if r.endState == sched.AttemptDone {
			finished++
		}
	}
	if finished > 1 {
		c.DoubleFinishes += finished - 1
		c.addViolation("task %s finished %d times", task, finished)
	}
}

// counterOf returns the counter for runs with the given end state; 0 stands for a
// run in progress.
func (c *Counts) counterOf(s sched.AttemptState) *int {
	counters := map[sched.AttemptState]*int{
		0: &c.Running, sched.AttemptDone: &c.Finished, sched.AttemptFailed: &c.Failed,
		sched.AttemptStopped: &c.Stopped, sched.AttemptCheckpointed: &c.Checkpointed,
		sched.AttemptLeaseExpired: &c.Lapsed, attemptLostInCrash: &c.LostInCrash,
	}
	return counters[s]
}

func (c *Counts) addViolation(format string, args ...any) {
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, fmt.Sprintf(format, args...))
	}
}
