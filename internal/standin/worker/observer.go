package worker

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// attemptLostInCrash is how a run ends whose worker crashed. No report shows it.
const attemptLostInCrash sched.AttemptState = -1

// Observer counts the runs on all workers of a Pool. Times are true
// times. It is safe for use by many goroutines.
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
	end      time.Time // zero while it runs
	endState sched.AttemptState
}

// Peak is the largest commitment of a worker per resource, and its capacity.
type Peak struct {
	Committed sched.Resources
	Capacity  sched.Resources
}

// Counts holds the totals of an Observer.
type Counts struct {
	Tasks  int `json:"tasks"`
	Starts int `json:"starts"`
	// DuplicateStarts counts starts of an attempt that had started before.
	DuplicateStarts int `json:"duplicateStarts"`
	// DoubleRuns counts runs that began while the same task ran elsewhere.
	DoubleRuns int `json:"doubleRuns"`
	// DoubleResumes counts resumes of a checkpoint after its first.
	DoubleResumes int `json:"doubleResumes"`
	// Overcommitted counts workers that ever held more than their capacity.
	Overcommitted int `json:"overcommitted"`
	// Finished counts runs that finished, DoubleFinishes those of a task that
	// had finished before.
	Finished       int `json:"finished"`
	DoubleFinishes int `json:"doubleFinishes"`
	Running        int `json:"running"`
	Failed         int `json:"failed"`
	Stopped        int `json:"stopped"`
	Checkpointed   int `json:"checkpointed"`
	Lapsed         int `json:"lapsed"`
	LostInCrash    int `json:"lostInCrash"`
	// Violations describes up to violationsKept breaches of an invariant.
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

// Starts returns how often an attempt was started.
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

// Tasks returns how many tasks ever started.
func (o *Observer) Tasks() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.runs)
}

// Finished returns how many runs of a task finished.
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

// FirstStart returns when a task first started, and false if it never did.
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

// Peak returns the largest commitment of a worker.
func (o *Observer) Peak(w sched.InstanceID) Peak {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.peaks[w]
}

// Counts returns the totals. Call it through Pool.Observer, which first brings the
// workers up to the current time.
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
	var busyUntil time.Time // of the runs so far
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

// counterOf returns the counter of runs that ended in the given way; 0 means
// that the run goes on.
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
