package jobs

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Job is an accepted job. It isn't safe for concurrent use.
type Job struct {
	sched.Job
	State sched.JobState
	// Failure is why the job has failed.
	Failure sched.JobFailure
	// Ended is when the job got its final state, zero before.
	Ended time.Time
	// Occurrences holds the occurrences that have begun, by number. An occurrence
	// is removed when its last task is done, unless a run of it may still be
	// alive then.
	Occurrences map[int]*Occurrence
	// Next is the number of the first occurrence that hasn't begun.
	Next int
	// CompletedOccurrences counts the occurrences whose tasks are all done.
	CompletedOccurrences int
}

// Occurrence is the state of one occurrence of a job.
type Occurrence struct {
	// Number counts from 0.
	Number int
	// Steps has the order of the job's steps.
	Steps []Step
	// stepsDone counts the steps whose tasks are all done.
	stepsDone int
}

// Step is the state of one step of an occurrence.
type Step struct {
	Tasks []Task
	// Done counts the tasks that are done.
	Done int
	// Open is set once every step that this one depends on is done.
	Open bool
}

// Task is the state of one task of a step.
type Task struct {
	Done bool
	// LastRun is the highest number given to a run of the task, 0 if there was none.
	LastRun sched.RunNumber
	// Failures counts the runs that ended as failed.
	Failures int
	// Suspect is set once the task may have crashed a worker, and Crashes counts the
	// crashes under it for which it was a suspect. Those of a gang are kept with its
	// first member.
	Suspect bool
	Crashes int
	// UnsureCrashes counts those of Crashes where the run wasn't known to have started.
	UnsureCrashes int
	// Checkpoint is the checkpoint that the next run resumes from, empty if there is
	// none.
	Checkpoint sched.CheckpointID
	// Runs are the runs that may be alive: at most one, or two where the step
	// allows copies.
	Runs []Run
}

// Run is a run that may be alive on a worker.
type Run struct {
	Number sched.RunNumber
	Worker sched.InstanceID
	// Incarnation is that of the worker when the run was placed, 0 if unknown.
	Incarnation int64
	// PlacedAt is when the run was placed, zero if unknown.
	PlacedAt time.Time
}

// New returns the state of a job that was just accepted.
func New(j sched.Job) *Job {
	return &Job{Job: j, State: sched.JobPending, Occurrences: map[int]*Occurrence{}}
}

// Begin opens every occurrence that is due by the given time and returns the newly
// opened ones. A job without a schedule has one occurrence, which is due at once. An
// occurrence beside which more than maxTasks tasks would be open waits until earlier ones
// are done.
func (j *Job) Begin(now time.Time, maxTasks int) []*Occurrence {
	var begun []*Occurrence
	tasks := j.TaskCount()
	for !j.State.Final() && j.Next < j.Job.Occurrences() {
		if j.Schedule.Times > 0 && j.Schedule.Due(j.Next).After(now) {
			break
		}
		if n := len(j.Occurrences); n > 0 && (n+1)*tasks > maxTasks {
			break
		}
		o := j.openOccurrence(j.Next)
		j.Next++
		begun = append(begun, o)
	}
	return begun
}

// NextDue returns when the next occurrence of a job with a schedule is due. It
// returns false if there is none, or the job has no schedule.
func (j *Job) NextDue() (time.Time, bool) {
	if j.State.Final() || j.Next >= j.Job.Occurrences() || j.Schedule.Times == 0 {
		return time.Time{}, false
	}
	return j.Schedule.Due(j.Next), true
}

// openOccurrence adds occurrence k with the steps open that depend on no other.
func (j *Job) openOccurrence(k int) *Occurrence {
	o := &Occurrence{Number: k, Steps: make([]Step, len(j.Steps))}
	for s := range o.Steps {
		o.Steps[s].Tasks = make([]Task, j.Steps[s].Tasks)
		o.Steps[s].Open = len(j.Steps[s].After) == 0
	}
	j.Occurrences[k] = o
	return o
}

// RestoreOccurrence adds an occurrence when a record is decoded. The caller fills in the
// tasks of its steps and then calls RecountDone.
func (j *Job) RestoreOccurrence(k int) *Occurrence { return j.openOccurrence(k) }

// RecountDone counts the tasks and steps of a restored occurrence that are done, and
// opens the steps whose dependencies are.
func (j *Job) RecountDone(o *Occurrence) {
	o.stepsDone = 0
	for s := range o.Steps {
		n := 0
		for _, t := range o.Steps[s].Tasks {
			if t.Done {
				n++
			}
		}
		o.Steps[s].Done = n
		if n == len(o.Steps[s].Tasks) {
			o.stepsDone++
		}
	}
	j.openSteps(o)
}

// openSteps opens the steps whose dependencies are done, and returns the indices of
// the newly opened ones.
func (j *Job) openSteps(o *Occurrence) []int {
	var opened []int
	for s := range o.Steps {
		if o.Steps[s].Open {
			continue
		}
		ready := true
		for _, a := range j.Steps[s].After {
			ready = ready && o.Complete(a)
		}
		if ready {
			o.Steps[s].Open = true
			opened = append(opened, s)
		}
	}
	return opened
}

// Complete reports whether all tasks of the step with the index are done.
func (o *Occurrence) Complete(step int) bool { return o.Steps[step].Done == len(o.Steps[step].Tasks) }

// Task returns the state of a task, nil if its occurrence isn't under way or has no
// such task.
func (j *Job) Task(r sched.TaskRef) *Task {
	o := j.Occurrences[r.Occurrence]
	if o == nil || r.Step < 0 || r.Step >= len(o.Steps) || r.Index < 0 || r.Index >= len(o.Steps[r.Step].Tasks) {
		return nil
	}
	return &o.Steps[r.Step].Tasks[r.Index]
}

// AddRun adds a run with the given number, placed on a worker in its present
// incarnation. All members of a gang share one number.
func (t *Task) AddRun(n sched.RunNumber, w sched.InstanceID, incarnation int64, placedAt time.Time) Run {
	t.LastRun = n
	r := Run{Number: n, Worker: w, Incarnation: incarnation, PlacedAt: placedAt}
	t.Runs = append(t.Runs, r)
	return r
}

// RemoveRun removes a run that is over and reports whether the task had it.
func (t *Task) RemoveRun(n sched.RunNumber, w sched.InstanceID) bool {
	for k, r := range t.Runs {
		if r.Number == n && r.Worker == w {
			t.Runs = append(t.Runs[:k:k], t.Runs[k+1:]...)
			return true
		}
	}
	return false
}

// Finish marks a task as done and returns the indices of the steps that open
// because of it. The job's state becomes JobCompleted with its last task.
func (j *Job) Finish(now time.Time, r sched.TaskRef) []int {
	o, t := j.Occurrences[r.Occurrence], j.Task(r)
	if t == nil || t.Done {
		return nil
	}
	t.Done, t.Checkpoint = true, ""
	s := &o.Steps[r.Step]
	s.Done++
	if s.Done < len(s.Tasks) {
		return nil
	}
	o.stepsDone++
	if o.stepsDone == len(o.Steps) {
		j.closeOccurrence(now, o)
		return nil
	}
	return j.openSteps(o)
}

// closeOccurrence counts an occurrence whose tasks are all done, and removes it
// unless a run of a copy may still be alive.
func (j *Job) closeOccurrence(now time.Time, o *Occurrence) {
	j.CompletedOccurrences++
	if !o.hasRuns() {
		delete(j.Occurrences, o.Number)
	}
	if j.CompletedOccurrences == j.Job.Occurrences() && !j.State.Final() {
		j.End(now, sched.JobCompleted)
	}
}

// hasRuns reports whether a run of the occurrence may be alive.
func (o *Occurrence) hasRuns() bool {
	for s := range o.Steps {
		for t := range o.Steps[s].Tasks {
			if len(o.Steps[s].Tasks[t].Runs) > 0 {
				return true
			}
		}
	}
	return false
}

// End gives the job the final state s at the given time.
func (j *Job) End(now time.Time, s sched.JobState) {
	j.State, j.Ended = s, now
}

// HasRuns reports whether a run of the job may be alive.
func (j *Job) HasRuns() bool {
	for _, o := range j.Occurrences {
		if o.hasRuns() {
			return true
		}
	}
	return false
}
