package batch

import (
	"fmt"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Observer counts what runs at the workers, and checks the records.
type Observer struct {
	running map[sched.TaskID]map[sched.InstanceID]bool
	resumes map[sched.CheckpointID]map[sched.Attempt]bool
	// FirstStart is the time at which a task first started.
	FirstStart map[sched.TaskID]time.Time
	// Finishes counts the runs of a task that finished.
	Finishes map[sched.TaskID]int
	// Starts and Evictions are totals. Evictions counts recorded ones.
	Starts    int
	Evictions int
	// ConcurrentStarts counts starts of a task that was running elsewhere.
	ConcurrentStarts int
	// LateStarts counts starts of tasks whose cancellation was recorded while
	// they were queued.
	LateStarts int
	cancelled  map[sched.TaskID]bool
	// Violations describes breaches of the invariants, up to a limit.
	Violations []string
	evictions  map[sched.TaskID]int
}

func newObserver() *Observer {
	return &Observer{
		running:    map[sched.TaskID]map[sched.InstanceID]bool{},
		resumes:    map[sched.CheckpointID]map[sched.Attempt]bool{},
		FirstStart: map[sched.TaskID]time.Time{},
		Finishes:   map[sched.TaskID]int{},
		evictions:  map[sched.TaskID]int{},
		cancelled:  map[sched.TaskID]bool{},
	}
}

const maxViolations = 10

func (o *Observer) addViolation(format string, args ...any) {
	if len(o.Violations) < maxViolations {
		o.Violations = append(o.Violations, fmt.Sprintf(format, args...))
	}
}

func (o *Observer) started(w *worker, k attemptKey, from sched.CheckpointID) {
	o.Starts++
	if o.cancelled[k.task] {
		o.LateStarts++
		o.addViolation("%s: task %s starts after its cancellation", w.sim.queue.Now.Sub(start), k.task)
	}
	places := o.running[k.task]
	if places == nil {
		places = map[sched.InstanceID]bool{}
		o.running[k.task] = places
		if _, seen := o.FirstStart[k.task]; !seen {
			o.FirstStart[k.task] = w.sim.queue.Now
		}
	}
	if len(places) > 0 {
		o.ConcurrentStarts++
		o.addViolation("%s: task %s attempt %d starts on %s while it runs on %v",
			w.sim.queue.Now.Sub(start), k.task, k.attempt, w.member.ID, places)
	}
	places[w.member.ID] = true
	if !w.used.Fits(w.member.Capacity) {
		o.addViolation("%s: worker %s holds %+v", w.sim.queue.Now.Sub(start), w.member.ID, w.used)
	}
	if from == "" {
		return
	}
	if o.resumes[from] == nil {
		o.resumes[from] = map[sched.Attempt]bool{}
	}
	if o.resumes[from][k.attempt] = true; len(o.resumes[from]) > 1 {
		o.addViolation("%s: checkpoint %s is used by attempts %v", w.sim.queue.Now.Sub(start), from, o.resumes[from])
	}
}

func (o *Observer) ended(k attemptKey, w sched.InstanceID) {
	delete(o.running[k.task], w)
	if len(o.running[k.task]) == 0 {
		delete(o.running, k.task)
	}
}

func (o *Observer) finished(t sched.TaskID) { o.Finishes[t]++ }

// recorded checks the state after a valid entry.
func (o *Observer) recorded(s *Sim, c ledger.Change) {
	if c.Worker != nil && !c.Worker.Committed.Fits(c.Worker.Capacity) {
		o.addViolation("%s: worker %s is overcommitted in the records", s.queue.Now.Sub(start), c.Worker.Worker)
	}
	if c.Task == nil {
		return
	}
	if n := c.Task.Evictions; n > o.evictions[c.Task.Task.ID] {
		o.Evictions++
		o.evictions[c.Task.Task.ID] = n
	}
	if c.Kind == sched.EntryCancelled && c.Task.State == sched.TaskCancelled {
		o.cancelled[c.Task.Task.ID] = true
	}
	if c.Kind != sched.EntryPlaced {
		return
	}
	for _, t := range s.config.Settings.Teams {
		if t.Name == c.Task.Task.Team && exceeds(s.reference.TeamUse(t.Name), t.Resources) {
			o.addViolation("%s: team %s holds more than its quota", s.queue.Now.Sub(start), t.Name)
		}
	}
}

// exceeds reports whether a team holds more than a quota, whose zero fields mean
// no limit.
func exceeds(r, quota sched.Resources) bool {
	over := func(n, q int64) bool { return q != 0 && n > q }
	return over(r.Processors, quota.Processors) || over(r.Memory, quota.Memory) ||
		over(r.Accelerators, quota.Accelerators)
}
