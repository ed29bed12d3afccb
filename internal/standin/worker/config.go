package worker

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Config holds what all workers of a Pool share.
type Config struct {
	Clock sched.Clock
	Seed  uint64
	// CheckTokens makes workers ignore calls of a lower term than the highest
	// that they have seen (the fencing token), and calls for another boot.
	CheckTokens bool
	// ReportLag is how old the measurements in a report are.
	ReportLag time.Duration
	// SampleInterval is the time between two measurements, 1 s if not set.
	SampleInterval time.Duration
	// Truth returns the actual behavior of a task's attempts. If it is nil,
	// every task runs for a minute and succeeds.
	Truth func(task sched.TaskID, kind string) Work
	// Impacts is the interference between services and task kinds.
	Impacts []Impact
	// LatencyNoise is the standard deviation of the natural logarithm of a measured
	// latency over the true one.
	LatencyNoise float64
}

// Work is the actual behavior of a task, which the scheduler doesn't know.
type Work struct {
	// RunTime is the time that the task needs at full share.
	RunTime time.Duration
	// Fails makes every attempt fail, on any worker.
	Fails bool
	// Usage is the actual use of resources; zero means the declared needs.
	Usage sched.Resources
}

// Impact is the effect of one running task of a kind on a service of the same
// worker: the rise of the service's latency, relative to running alone, at
// full load of the service and full share of the task.
type Impact struct {
	Service     string
	Kind        string
	LatencyRise float64
}

// Faults configures the failures of one worker. The probabilities are per call.
type Faults struct {
	// FailAll makes every attempt fail that the worker starts.
	FailAll bool
	// Silent loses every call; the worker keeps running.
	Silent bool
	// LostCall loses a call before it takes effect.
	LostCall float64
	// LostAnswer loses the answer of a call that took effect.
	LostAnswer float64
	// Delayed loses the answer of a call that takes effect DelayBy later.
	Delayed float64
	// Duplicated applies a call a second time, DelayBy later.
	Duplicated float64
	DelayBy    time.Duration
}

// failingRunTime is the run time of an attempt that fails, unless it is shorter.
const failingRunTime = 200 * time.Millisecond

// RunTimeModel describes the true run times of one task kind.
type RunTimeModel struct {
	Kind string
	// Median and Sigma describe a log-normal distribution; Sigma is the
	// standard deviation of the natural logarithm.
	Median time.Duration
	Sigma  float64
	// Failing is the share of tasks that fail on every worker.
	Failing float64
}

// TruthOf returns a Truth that depends only on the seed, the task id and the
// task kind, so that an attempt behaves the same on every worker.
func TruthOf(seed uint64, kinds []RunTimeModel) func(sched.TaskID, string) Work {
	byKind := make(map[string]RunTimeModel, len(kinds))
	for _, k := range kinds {
		byKind[k.Kind] = k
	}
	return func(task sched.TaskID, kind string) Work {
		k, ok := byKind[kind]
		if !ok {
			return defaultWork(task, kind)
		}
		r := rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(task))))
		run := time.Duration(float64(k.Median) * math.Exp(k.Sigma*r.NormFloat64()))
		return Work{RunTime: run, Fails: r.Float64() < k.Failing}
	}
}

func defaultWork(sched.TaskID, string) Work { return Work{RunTime: time.Minute} }

func (c Config) withDefaults() Config {
	if c.SampleInterval <= 0 {
		c.SampleInterval = time.Second
	}
	if c.Truth == nil {
		c.Truth = defaultWork
	}
	return c
}
