package book

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// JobTruth is a job together with the real behavior of its tasks.
type JobTruth struct {
	Job sched.Job
	// MeanRunTimes is the mean real run time of a task, by step, on a healthy worker that
	// provides all processors that the task needs. The run time of a single task
	// is up to the fraction RunTimeSpread longer or shorter.
	MeanRunTimes  []time.Duration
	RunTimeSpread float64
	// FailureProbability is the probability that a run fails on a healthy worker. It is 1 for
	// a job that can never complete.
	FailureProbability float64
	// LoadPhase shifts the periodic load of serving tasks, as a fraction of the
	// period.
	LoadPhase float64
	// CrashTasks is the number of tasks of the step CrashStep that crash every
	// worker that runs them, beginning with the first. CrashAfter is the time from
	// the start of a run until the crash.
	CrashTasks, CrashStep int
	CrashAfter            time.Duration
}

// Jobs holds the ground truth of all jobs, by job ID. It is safe for concurrent
// use.
type Jobs struct {
	// Seed selects the run times of single tasks and the failures of single runs.
	Seed uint64

	mu   sync.Mutex
	jobs map[sched.JobID]JobTruth
}

// Add stores the ground truth of a job. Call it before the job is submitted,
// because workers look tasks up when they start them.
func (b *Jobs) Add(t JobTruth) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.jobs == nil {
		b.jobs = map[sched.JobID]JobTruth{}
	}
	b.jobs[t.Job.ID] = t
}

// Job returns the ground truth of a job, and false if the job was never added.
func (b *Jobs) Job(id sched.JobID) (JobTruth, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, known := b.jobs[id]
	return t, known
}

// Step returns the ground truth of a task's job and the task's step. It returns
// false if no added job has this task.
func (b *Jobs) Step(r sched.TaskRef) (JobTruth, *sched.Step, bool) {
	t, known := b.Job(r.Job)
	if !known || r.Step < 0 || r.Step >= len(t.Job.Steps) || r.Occurrence < 0 || r.Occurrence >= t.Job.Occurrences() {
		return JobTruth{}, nil, false
	}
	s := &t.Job.Steps[r.Step]
	return t, s, r.Index >= 0 && r.Index < s.Tasks
}

// hashFraction returns a number from 0 up to but not including 1 that depends
// only on the words and the seed.
func (b *Jobs) hashFraction(words ...any) float64 {
	return float64(xxhash.Sum64String(fmt.Sprint(append(words, b.Seed)...))>>11) / (1 << 53)
}

// RunTime returns the real run time of a task on a healthy worker, or 1 s for an
// unknown task.
func (b *Jobs) RunTime(r sched.TaskRef) time.Duration {
	t, _, known := b.Step(r)
	if !known || r.Step >= len(t.MeanRunTimes) {
		return time.Second
	}
	spread := 1 + t.RunTimeSpread*(2*b.hashFraction("work", r.String())-1)
	return time.Duration(spread * float64(t.MeanRunTimes[r.Step]))
}

// CrashTime returns the time from the start of a task's run until the run crashes its
// worker, and false if it doesn't.
func (b *Jobs) CrashTime(r sched.TaskRef) (time.Duration, bool) {
	t, _, known := b.Step(r)
	return t.CrashAfter, known && r.Step == t.CrashStep && r.Index < t.CrashTasks
}

// FailureFraction returns the fraction of its work at which a run fails on a healthy
// worker. A result above 1 means that it doesn't fail.
func (b *Jobs) FailureFraction(r sched.TaskRef, n sched.RunNumber) float64 {
	t, _, known := b.Step(r)
	if !known || b.hashFraction("fails", r.String(), n) >= t.FailureProbability {
		return 2
	}
	return b.hashFraction("at", r.String(), n)
}
