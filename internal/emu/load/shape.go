package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/book"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// JobGenerator generates random jobs. Exported fields are set before the first call.
// It isn't safe for concurrent use.
type JobGenerator struct {
	Random *rand.Rand
	Queue  sched.Queue
	// Racks and Labels are those of the workers. Without any, no step gets a data
	// rack or a label.
	Racks, Labels []string
	// MaxMeanRunTime bounds the mean real run time of the tasks of a step. A single
	// task may take longer by the fraction RunTimeSpread of its job.
	MaxMeanRunTime time.Duration
	// CrashShare is the share of jobs with tasks that crash the workers that start
	// them.
	CrashShare float64

	jobCount int
}

// chance returns true with probability p.
func (s *JobGenerator) chance(p float64) bool { return s.Random.Float64() < p }

// between returns a random number from low to high, both included.
func (s *JobGenerator) between(low, high int) int { return low + s.Random.IntN(high-low+1) }

// pick returns a random word, or an empty string if there are none.
func (s *JobGenerator) pick(words []string) string {
	if len(words) == 0 {
		return ""
	}
	return words[s.Random.IntN(len(words))]
}

// Numbers of distinct images of serving tasks and of fillers.
const (
	servingImages = 3
	fillerImages  = 5
)

// Next returns a job of a random shape and the real behavior of its tasks.
func (s *JobGenerator) Next(now time.Time) book.JobTruth {
	s.jobCount++
	id := sched.JobID(fmt.Sprintf("%08x%08x", s.jobCount, s.Random.Uint32()))
	j := sched.Job{ID: id, Queue: s.Queue, Payload: "payload of " + string(id)}
	t := book.JobTruth{RunTimeSpread: 0.3, LoadPhase: s.Random.Float64()}
	if s.chance(0.1) {
		t.FailureProbability = []float64{0.2, 0.5, 1}[s.Random.IntN(3)]
	} else {
		t.FailureProbability = 0.03
	}
	switch {
	case s.chance(0.15):
		s.addServingStep(&j)
	case s.chance(0.3):
		s.addFillerSteps(&j)
	default:
		s.addBatchSteps(&j)
	}
	if !isLasting(j) && s.chance(0.1) {
		j.Schedule = sched.Schedule{
			Times: s.between(2, 4), First: now.Add(time.Duration(s.between(0, 3000)) * time.Millisecond),
			Every: time.Duration(s.between(300, 3000)) * time.Millisecond,
		}
	}
	for k := range j.Steps {
		work := time.Duration(0.05*float64(s.MaxMeanRunTime) + s.Random.Float64()*0.95*float64(s.MaxMeanRunTime))
		t.MeanRunTimes = append(t.MeanRunTimes, work)
		j.Steps[k].Estimate = time.Duration(float64(work) * (0.3 + 1.4*s.Random.Float64()))
	}
	t.Job = j
	if s.CrashShare > 0 && s.chance(s.CrashShare) {
		s.addCrash(&t)
	}
	return t
}

// quickCrash is the usual time from the start of a run until it crashes its worker.
const quickCrash = 10 * time.Millisecond

// addCrash makes one task, or all tasks, of one step crash their workers.
func (s *JobGenerator) addCrash(t *book.JobTruth) {
	t.CrashStep, t.CrashTasks, t.CrashAfter = s.Random.IntN(len(t.Job.Steps)), 1, quickCrash
	if s.chance(0.3) {
		t.CrashTasks = t.Job.Steps[t.CrashStep].Tasks
	}
	if s.chance(0.2) {
		t.CrashAfter = time.Duration(s.between(1000, 3000)) * time.Millisecond
	}
}

func isLasting(j sched.Job) bool { return j.Steps[0].Lasting }

func (s *JobGenerator) randomNeeds() sched.Resources {
	return sched.Resources{Processors: int64(s.between(1, 40)) * 100, Memory: int64(s.between(1, 6)) << 30}
}

func (s *JobGenerator) addServingStep(j *sched.Job) {
	step := sched.Step{
		Tasks: s.between(1, 5), Needs: s.randomNeeds(), Lasting: true, TailGoal: 50 * time.Millisecond,
		Image: fmt.Sprint("serving", s.Random.IntN(servingImages)),
	}
	if s.chance(0.5) {
		step.PerWorker = s.between(1, 3)
	}
	if s.chance(0.3) {
		step.MayMiss, step.MayMissSet = s.between(0, 1), true
	}
	j.Steps = append(j.Steps, step)
}

func (s *JobGenerator) addFillerSteps(j *sched.Job) {
	for k := range s.between(1, 3) {
		step := sched.Step{
			Tasks: s.between(1, 8), Needs: s.randomNeeds(), Filler: true, Checkpoints: s.chance(0.8),
			Image: fmt.Sprint("filler", s.Random.IntN(fillerImages)),
		}
		if k > 0 {
			step.After = []int{k - 1}
		}
		j.Steps = append(j.Steps, step)
	}
}

func (s *JobGenerator) addBatchSteps(j *sched.Job) {
	for k := range s.between(1, 3) {
		step := sched.Step{Tasks: s.between(1, 6), Needs: s.randomNeeds(), Checkpoints: s.chance(0.5)}
		switch {
		case s.chance(0.15):
			step.Gang, step.SameRack = true, s.chance(0.5)
		case s.chance(0.2):
			step.Copies = true
		}
		if s.chance(0.15) && !step.Gang {
			step.PerWorker = s.between(1, 2)
		}
		if s.chance(0.1) {
			step.DataRack = s.pick(s.Racks)
		}
		if s.chance(0.1) && !step.Gang {
			step.Label = s.pick(s.Labels)
		}
		for a := range k {
			if s.chance(0.6) {
				step.After = append(step.After, a)
			}
		}
		j.Steps = append(j.Steps, step)
	}
}
