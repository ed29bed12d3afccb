package order

import (
	"math"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// RunTimes estimates how long tasks take, by the mean ratio of measured to declared
// times. It isn't safe for concurrent use.
type RunTimes struct {
	// ratios has the keys of ratioKey.
	ratios map[string]ratio
}

// ratio is a mean over count runs, with the mean deviation from it. A run counts in the
// deviation with at most the mean, since a few runs take many times as long as the others.
type ratio struct {
	mean, deviation float64
	count           int
}

const (
	// maxCount bounds the count of runs in a mean. From then on the mean is an
	// exponentially weighted one, and old runs count less.
	maxCount = 30
	// minRatio and maxRatio bound the ratio of one run.
	minRatio, maxRatio = 0.05, 20
	// firstDeviation is the deviation, as a share of the mean, before any is measured.
	// Declared times are off by about half.
	firstDeviation = 0.25
	// lateDeviations is the number of mean deviations above the mean within which about
	// 95% of evenly or normally distributed run times lie.
	lateDeviations = 2
)

// NewRunTimes returns an estimator without measurements, which expects the declared
// times.
func NewRunTimes() *RunTimes { return &RunTimes{ratios: map[string]ratio{}} }

// ratioKey returns the key under which the ratios of a step's tasks are kept: their
// image, or else their queue.
func ratioKey(q sched.QueueName, s *sched.Step) string {
	if s.Image != "" {
		return s.Image
	}
	return string(q)
}

// Ratio is the mean ratio of measured to declared times of the tasks with a key.
type Ratio struct {
	// Key is an image or, for tasks without one, the name of a queue.
	Key  string
	Mean float64
	// Count is the number of runs in the mean, at most 30.
	Count int
}

// Ratios returns all ratios, in no particular order.
func (t *RunTimes) Ratios() []Ratio {
	out := make([]Ratio, 0, len(t.ratios))
	for k, r := range t.ratios {
		out = append(out, Ratio{k, r.mean, r.count})
	}
	return out
}

// SetRatio adopts a ratio of another estimator. A ratio that is out of range is
// ignored.
func (t *RunTimes) SetRatio(r Ratio) {
	if r.Mean >= minRatio && r.Mean <= maxRatio && r.Count > 0 {
		t.ratios[r.Key] = ratio{r.Mean, firstDeviation * r.Mean, min(r.Count, maxCount)}
	}
}

// Observe adds the time that a whole run of a task took. Runs of steps without a
// declared time are ignored.
func (t *RunTimes) Observe(q sched.QueueName, s *sched.Step, took time.Duration) {
	if s.Estimate <= 0 || took <= 0 {
		return
	}
	k := ratioKey(q, s)
	r := t.ratios[k]
	r.count = min(r.count+1, maxCount)
	x := min(max(float64(took)/float64(s.Estimate), minRatio), maxRatio)
	if r.count == 1 {
		r.deviation = firstDeviation * x
	}
	r.mean += (x - r.mean) / float64(r.count)
	r.deviation += (min(math.Abs(x-r.mean), r.mean) - r.deviation) / float64(r.count+1)
	t.ratios[k] = r
}

// Expect returns how long a task of the step is expected to take.
func (t *RunTimes) Expect(q sched.QueueName, s *sched.Step) time.Duration {
	r := t.ratios[ratioKey(q, s)]
	if r.count == 0 {
		return s.Estimate
	}
	return time.Duration(r.mean * float64(s.Estimate))
}

// Late returns the time within which most tasks of the step end.
func (t *RunTimes) Late(q sched.QueueName, s *sched.Step) time.Duration {
	r := t.ratios[ratioKey(q, s)]
	if r.count == 0 {
		r = ratio{mean: 1, deviation: firstDeviation}
	}
	return time.Duration((r.mean + lateDeviations*r.deviation) * float64(s.Estimate))
}

// Chain returns, for each step of a job, the expected time from the start of
// its tasks to the end of the job along the longest path. Each step takes the given time
// besides its tasks.
func (t *RunTimes) Chain(j *sched.Job, besides time.Duration) []time.Duration {
	tail := make([]time.Duration, len(j.Steps))
	for k := len(j.Steps) - 1; k >= 0; k-- {
		tail[k] += besides + t.Expect(j.Queue.Name, &j.Steps[k])
		for _, a := range j.Steps[k].After {
			tail[a] = max(tail[a], tail[k])
		}
	}
	return tail
}
