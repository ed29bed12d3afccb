package sched

import (
	"strconv"
	"time"
)

// JobID identifies a job. Callers choose it; submitting the same id again is
// idempotent.
type JobID string

// QueueName identifies a queue of jobs, unique within a catalog.
type QueueName string

// RunNumber numbers the runs of one task, from 1. A later run always has a
// higher number.
type RunNumber int32

// Step is a group of tasks of a job that share one specification.
type Step struct {
	// Tasks is the number of tasks in the step, at least 1.
	Tasks int
	// Needs is the resources that one task requires.
	Needs Resources
	// Estimate is the run time of one task as declared by the caller. It may be
	// far off.
	Estimate time.Duration
	// After lists the indexes of earlier steps. All tasks of those steps must
	// be done before a task of this step starts.
	After []int
	// Checkpoints is set if the tasks write checkpoints from which a later run
	// can resume.
	Checkpoints bool
	// Gang is set if the tasks need gang scheduling: they run only together,
	// all under one run number.
	Gang bool
	// SameRack is set if the tasks run more slowly when they are spread over
	// several racks. It is a preference, not a requirement.
	SameRack bool
	// Copies is set if speculative copies of a task may run at the same time.
	// The first copy that is done gives the result.
	Copies bool
	// Lasting is set if the tasks run until the job is cancelled. They are
	// restarted however a run ends.
	Lasting bool
	// Filler is set if the tasks use only processors that other tasks leave
	// idle. Their processors don't count against the worker's capacity.
	Filler bool
	// Label, if not empty, is a label that the worker must have.
	Label string
	// DataRack, if not empty, is the rack that holds the tasks' data, on which
	// they run fastest. It is a preference, not a requirement.
	DataRack string
	// PerWorker limits how many tasks of the step, within one occurrence, run on
	// the same worker; 0 means no limit.
	PerWorker int
	// Image is the program image that the tasks run. What the scheduler learns
	// about one task, such as its slowdown beside other tasks, is applied to
	// all tasks of the same image.
	Image string
	// TailGoal is the highest tail latency that a task which serves users should
	// have, 0 for tasks that serve none.
	TailGoal time.Duration
	// MayMiss is the number of lasting tasks that the scheduler may have stopped
	// at the same time, for example by an eviction. It is valid if MayMissSet.
	MayMiss    int
	MayMissSet bool
}

// Counted returns the resources that one task takes from the capacity of its
// worker: Needs, without the processors for filler tasks.
func (s Step) Counted() Resources {
	n := s.Needs
	if s.Filler {
		n.Processors = 0
	}
	return n
}

// Schedule defines when the occurrences of a job are due.
type Schedule struct {
	// Times is the number of occurrences, 0 for a job without a schedule, which
	// runs once, as soon as it can.
	Times int
	// First is when the first occurrence is due, Every the interval between
	// occurrences.
	First time.Time
	Every time.Duration
}

// Due returns the time at which occurrence k is due, counted from 0.
func (s Schedule) Due(k int) time.Time { return s.First.Add(time.Duration(k) * s.Every) }

// Job is a job as its caller submitted it, with a copy of its queue's rules at
// the time of submission.
type Job struct {
	ID    JobID
	Queue Queue
	// Payload is passed to every task without being interpreted.
	Payload  string
	Steps    []Step
	Schedule Schedule
	// SubmittedAt is the time at which the job reached its planner.
	SubmittedAt time.Time
}

// Occurrences returns the number of times that the steps run, at least 1.
func (j Job) Occurrences() int { return max(1, j.Schedule.Times) }

// TaskCount returns the number of tasks in one occurrence of the job.
func (j Job) TaskCount() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Tasks
	}
	return n
}

// WithSubmittedAt returns a copy of the job with the given submission time.
func (j Job) WithSubmittedAt(t time.Time) Job {
	j.SubmittedAt = t
	return j
}

// WithQueue returns a copy of the job with the given queue rules.
func (j Job) WithQueue(q Queue) Job {
	j.Queue = q
	return j
}

// TaskRef identifies one task of one occurrence of a job. Occurrence, Step and
// Index count from 0.
type TaskRef struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String formats the reference for logs, as "job.occurrence.step.index".
func (r TaskRef) String() string {
	b := make([]byte, 0, len(r.Job)+12)
	b = append(b, r.Job...)
	for _, n := range []int{r.Occurrence, r.Step, r.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// JobState is the state of a job as reported to callers.
type JobState int

// Job states. JobCompleted, JobFailed and JobCancelled are final.
const (
	JobPending JobState = iota + 1
	JobActive
	JobCompleted
	JobFailed
	JobCancelled
)

// Final reports whether a job in this state can't change its state any more.
func (s JobState) Final() bool { return s >= JobCompleted }

// JobFailure is the reason for which a job has failed.
type JobFailure int

// Reasons for failures. FailureUnknown is that of a job that hasn't failed, or was
// recorded by a version without reasons.
const (
	FailureUnknown JobFailure = iota
	// FailureAttempts: a task, or a gang, has failed as often as its queue allows.
	FailureAttempts
	// FailureCrashes: a task, or a gang, has crashed the workers that started it.
	FailureCrashes
)

// String returns the reason for callers, empty if it is unknown.
func (f JobFailure) String() string {
	switch f {
	case FailureAttempts:
		return "a task has failed as often as its queue allows"
	case FailureCrashes:
		return "a task has crashed the workers that started it"
	default:
		return ""
	}
}

// Queue is a queue of jobs with the rules that apply to all jobs in it.
type Queue struct {
	Name QueueName
	// Service is the service whose workers run the tasks.
	Service string
	// Priority ranks the queue against others; 0 is the highest priority.
	Priority int
	// MaxAttempts is the number of failed runs after which a task, and with it
	// the job, has failed.
	MaxAttempts int
	// Stretch and Goal define by when an occurrence should be done after it
	// came due: Stretch times the duration of its longest chain of dependent
	// steps, plus Goal.
	Stretch float64
	Goal    time.Duration
	// Advice is nil unless the queue's tasks need a ticket from the advice
	// service to start on a worker.
	Advice *AdviceSettings
}

// AdviceSettings describes the response times of the advice service and the
// lifetime of its tickets.
type AdviceSettings struct {
	// Decision is the fixed part of the time for one call.
	Decision time.Duration
	// PerWorker is the additional time for each worker in the call.
	PerWorker time.Duration
	// Validity is how long a ticket is valid.
	Validity time.Duration
}
