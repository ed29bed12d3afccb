package sched

import (
	"fmt"
	"time"
)

// MaxTasks is the largest number of tasks in one occurrence of a job.
const MaxTasks = 10_000

// Limits on the size of one job. Real jobs have at most a few hundred tasks; these
// limits, and MaxTasks, prevent one caller from exhausting a planner's memory.
const (
	maxSteps       = 200
	maxOccurrences = 10_000
	// The resources of one task have limits beyond the size of any machine.
	maxProcessors   = 1 << 30 // thousandths
	maxMemory       = 1 << 50 // bytes
	maxAccelerators = 1 << 20
)

// JobError reports that a job is invalid.
type JobError struct {
	// Step is the index of the invalid step, -1 if the error concerns the whole
	// job.
	Step int
	// Reason is returned to the caller.
	Reason string
}

// Error implements error.
func (e *JobError) Error() string {
	if e.Step < 0 {
		return e.Reason
	}
	return fmt.Sprintf("step %d: %s", e.Step, e.Reason)
}

// Check returns a *JobError if the job is invalid. A step may depend only on
// earlier steps, which rules out cycles.
func (j Job) Check() error {
	switch s := j.Schedule; {
	case len(j.Steps) == 0:
		return &JobError{-1, "a job needs at least one step"}
	case len(j.Steps) > maxSteps:
		return &JobError{-1, fmt.Sprintf("%d steps, at most %d are taken", len(j.Steps), maxSteps)}
	case s.Times < 0 || s.Times > maxOccurrences:
		return &JobError{-1, fmt.Sprintf("%d occurrences, 0 to %d are taken", s.Times, maxOccurrences)}
	case s.Every < 0:
		return &JobError{-1, "the interval must not be negative"}
	}
	for k, s := range j.Steps {
		if err := s.check(k); err != nil {
			return err
		}
	}
	if tasks := j.TaskCount(); tasks > MaxTasks {
		return &JobError{-1, fmt.Sprintf("%d tasks, at most %d are taken", tasks, MaxTasks)}
	}
	return nil
}

// check validates the step with index k.
func (s Step) check(k int) error {
	const longestRun = 1000 * time.Hour
	switch n := s.Needs; {
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return &JobError{k, fmt.Sprintf("%d tasks, 1 to %d are taken", s.Tasks, MaxTasks)}
	case n.Processors < 0 || n.Memory < 0 || n.Accelerators < 0:
		return &JobError{k, "resources must not be negative"}
	case n.Processors > maxProcessors || n.Memory > maxMemory || n.Accelerators > maxAccelerators:
		return &JobError{k, "resources are out of range"}
	case s.Estimate < 0 || s.Estimate > longestRun:
		return &JobError{k, "the estimate is out of range"}
	case s.PerWorker < 0 || s.MayMiss < 0 || s.TailGoal < 0:
		return &JobError{k, "counts and times must not be negative"}
	}
	for _, a := range s.After {
		if a < 0 || a >= k {
			return &JobError{k, fmt.Sprintf("depends on step %d, which isn't an earlier one", a)}
		}
	}
	return nil
}
