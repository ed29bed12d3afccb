package audit

import (
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/work"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// maxWait is how long a task may wait while there is room for it.
	maxWait = 3 * time.Second
	// lastingPause is the time after the end of a run of a lasting task in which its
	// wait doesn't count.
	lastingPause = 6 * time.Second
	// roomFactor is how many times a task, or all members of a gang, must fit into
	// the free capacity for there to be room.
	roomFactor = 2
	// finishTime is how long after the last submission fillers may wait. They wait for
	// processors that the other tasks leave unused, and these don't count as capacity.
	finishTime = 14 * time.Second
	// maxFitting bounds the count of tasks that fit on a worker, since some need
	// nothing.
	maxFitting = 1000
)

// wait is a task that waits although there is room for it.
type wait struct {
	since    time.Time
	reported bool
}

// SetFaults records that a fault began or ended, and how many are active now.
func (a *Audit) SetFaults(at time.Time, active int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.activeFaults, a.settledFrom = active, at.Add(a.SettlingTime)
}

// SetTrafficEnded records that no more jobs are submitted.
func (a *Audit) SetTrafficEnded(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.trafficEndedAt = at
}

// CheckWaiting reports the tasks that have waited for longer than maxWait although
// the workers have room for them. A job that ends by itself counts as waiting while
// none of its tasks runs, and is reported with one of them; a lasting task counts for
// itself. The workers are those that are
// up. Times in which a fault is active, or from which the site may not have recovered
// yet, don't count.
func (a *Audit) CheckWaiting(now time.Time, workers []*work.Worker) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.waits
	a.waits = map[sched.TaskRef]*wait{}
	if a.activeFaults > 0 || now.Before(a.settledFrom) {
		return
	}
	for id, c := range a.calls {
		truth, known := a.Jobs.Job(id)
		if !known || !c.accepted || c.cancelSent || a.attemptsExhausted(truth.Job) {
			continue
		}
		for _, r := range a.waitingTasks(now, truth.Job) {
			step := &truth.Job.Steps[r.Step]
			room := a.roomFor(r, step, truth.Job.Queue.Service, workers)
			if !halfFree(truth.Job.Queue.Service, workers) || room < roomFactor*members(step) {
				continue
			}
			w := before[r]
			if w == nil || a.ranSince(w.since, r, truth.Job) {
				w = &wait{since: now}
			}
			a.waits[r] = w
			if now.Sub(w.since) >= maxWait && !w.reported {
				w.reported = true
				a.report(now, waitingRule(step), "%v could run since %s and doesn't, with room for %d: %+v",
					r, w.since.Format("05.000"), room, *step)
			}
			if !step.Lasting {
				break
			}
		}
	}
}

// ranSince reports whether a run of the job has ended after the given time, or one of the
// task itself if it lasts. A run may begin and end between two calls of CheckWaiting.
func (a *Audit) ranSince(since time.Time, r sched.TaskRef, j sched.Job) bool {
	if j.Steps[r.Step].Lasting {
		return a.taskOf(r).lastRunAt.After(since)
	}
	for o := range j.Occurrences() {
		for s := range j.Steps {
			for i := range j.Steps[s].Tasks {
				if a.taskOf(sched.TaskRef{Job: j.ID, Occurrence: o, Step: s, Index: i}).lastRunAt.After(since) {
					return true
				}
			}
		}
	}
	return false
}

// waitingRule returns the rule that a waiting task of a step breaks.
func waitingRule(s *sched.Step) string {
	if s.Filler {
		return WaitingFiller
	}
	return Waiting
}

// members returns how many tasks of a step must start together.
func members(s *sched.Step) int {
	if s.Gang {
		return s.Tasks
	}
	return 1
}

// waitingTasks returns the tasks of a job whose turn has come and that don't run,
// none while a task of a job that isn't lasting runs. A gang is listed by its first
// member.
func (a *Audit) waitingTasks(now time.Time, j sched.Job) []sched.TaskRef {
	var out []sched.TaskRef
	running := false
	for o := range j.Occurrences() {
		if j.Schedule.Times > 0 && now.Before(j.Schedule.Due(o)) {
			break
		}
		for s := range j.Steps {
			step := &j.Steps[s]
			ready := a.stepReady(j, o, s)
			for i := range step.Tasks {
				r := sched.TaskRef{Job: j.ID, Occurrence: o, Step: s, Index: i}
				t := a.taskOf(r)
				running = running || len(t.running) > 0 && !step.Lasting
				done := t.doneRuns > 0 || step.Gang && (i > 0 || a.gangDone(r, step.Tasks))
				paused := step.Lasting && now.Sub(t.lastRunAt) < lastingPause
				early := step.Filler && (a.trafficEndedAt.IsZero() || now.Sub(a.trafficEndedAt) < finishTime)
				if ready && !done && !paused && !early && len(t.running) == 0 {
					out = append(out, r)
				}
			}
		}
	}
	if running {
		return nil
	}
	return out
}

// stepReady reports whether all tasks of the steps are done that a step depends on.
func (a *Audit) stepReady(j sched.Job, occurrence, s int) bool {
	for _, after := range j.Steps[s].After {
		for i := range j.Steps[after].Tasks {
			r := sched.TaskRef{Job: j.ID, Occurrence: occurrence, Step: after, Index: i}
			if a.taskOf(r).doneRuns == 0 && (!j.Steps[after].Gang || !a.gangDone(r, j.Steps[after].Tasks)) {
				return false
			}
		}
	}
	return true
}

// roomFor returns how many tasks of a step fit into what is free on the workers.
func (a *Audit) roomFor(r sched.TaskRef, step *sched.Step, service string, workers []*work.Worker) int {
	sum := 0
	for _, w := range workers {
		if _, evacuated := a.evacuatedAt[w.DataCentre]; evacuated {
			continue
		}
		if w.Service != service || w.Draining || a.SameCell != nil && !a.SameCell(r.Job, w.ID) || step.Label != "" && !slices.Contains(w.Labels, step.Label) {
			continue
		}
		n := fitting(step.Counted(), w.Free())
		if step.PerWorker > 0 {
			n = min(n, step.PerWorker-a.tasksOn(w.ID, r, step))
		}
		sum += max(0, n)
	}
	return sum
}

// tasksOn returns how many tasks of a step run on a worker.
func (a *Audit) tasksOn(id sched.InstanceID, r sched.TaskRef, step *sched.Step) int {
	n := 0
	for i := range step.Tasks {
		r.Index = i
		for _, l := range a.taskOf(r).running {
			if l.worker == id {
				n++
			}
		}
	}
	return n
}

// fitting returns how many tasks with the needs fit into what is free, at most
// maxFitting.
func fitting(needs, free sched.Resources) int {
	n := 0
	for n < maxFitting && needs.Fits(free) {
		free = free.Minus(needs)
		n++
	}
	return n
}

// halfFree reports whether less than half of the capacity of a service is in use.
func halfFree(service string, workers []*work.Worker) bool {
	var used, all sched.Resources
	for _, w := range workers {
		if w.Service == service {
			used, all = used.Plus(w.Capacity.Minus(w.Free())), all.Plus(w.Capacity)
		}
	}
	return 2*used.Processors < all.Processors && 2*used.Memory < all.Memory
}
