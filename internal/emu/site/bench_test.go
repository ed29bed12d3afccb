package site_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/book"
	"github.com/parsleybarrow/parsleybarrow/internal/process/busy"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Load of one cell of the large site. The lasting jobs are all submitted at the
// start.
const (
	cellWorkers        = 122
	quickJobsPerSecond = 2.7
	sweepJobsPerSecond = 4.0
	lastingJobs        = 34
	loadTime           = 20 * time.Second
)

// quickJob returns a job of one or two steps of ten tasks that take a second each.
func quickJob(r *rand.Rand) sched.Job {
	j := sched.Job{Queue: queue}
	for k := range 1 + r.IntN(2) {
		s := sched.Step{Tasks: 10, Needs: sched.Resources{Processors: 2800, Memory: 2 << 30}, Estimate: time.Second}
		if k > 0 {
			s.After = []int{k - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// sweepJob returns a job of one or two steps of twenty fillers.
func sweepJob(r *rand.Rand) sched.Job {
	j := quickJob(r)
	for k := range j.Steps {
		j.Steps[k] = sched.Step{
			Tasks: 20, Needs: sched.Resources{Processors: 1800, Memory: 3 << 30}, Estimate: 2700 * time.Millisecond,
			Filler: true, Checkpoints: true, Image: fmt.Sprint("filler", r.IntN(9)), After: j.Steps[k].After,
		}
	}
	return j
}

// lastingJob returns a job of 14 serving tasks.
func lastingJob(r *rand.Rand) sched.Job {
	return sched.Job{Queue: queue, Steps: []sched.Step{{
		Tasks: 14, Needs: sched.Resources{Processors: 3200, Memory: 6 << 30}, Lasting: true,
		TailGoal: 50 * time.Millisecond, Estimate: time.Minute,
		Image: fmt.Sprint("serving", r.IntN(5)),
	}}}
}

// addUsual adds a job whose tasks take about as long as declared and seldom fail.
func (t *trial) addUsual(r *rand.Rand, j sched.Job) {
	truth := book.JobTruth{Job: j, RunTimeSpread: 0.3, FailureProbability: 0.03, LoadPhase: r.Float64()}
	for _, s := range j.Steps {
		truth.MeanRunTimes = append(truth.MeanRunTimes, s.Estimate)
	}
	t.world.Jobs.Add(truth)
}

// submitCell submits the load of one cell for loadTime, with random gaps between
// the quick and sweep jobs.
func (t *trial) submitCell(c context.Context, loops *sync.WaitGroup) {
	r := rand.New(rand.NewPCG(t.seed, 9))
	made := 0
	submit := func(j sched.Job) {
		made++
		j.ID = sched.JobID(fmt.Sprintf("%016x", made))
		t.addUsual(r, j)
		loops.Go(func() { t.caller.Submit(c, j) })
	}
	for range lastingJobs {
		submit(lastingJob(r))
	}
	end := time.Now().Add(loadTime)
	for time.Now().Before(end) {
		if r.Float64() < quickJobsPerSecond/(quickJobsPerSecond+sweepJobsPerSecond) {
			submit(quickJob(r))
		} else {
			submit(sweepJob(r))
		}
		time.Sleep(time.Duration(r.ExpFloat64() / (quickJobsPerSecond + sweepJobsPerSecond) * float64(time.Second)))
	}
}

// processorTime returns the processor time of this process so far.
func processorTime(b *testing.B) time.Duration {
	d, err := busy.ProcessorTime()
	if err != nil {
		b.Fatal(err)
	}
	return d
}

// BenchmarkGrownCell runs one cell of the large site in real time, with all of its
// workers in this process. It reports the mean number of processors in use, and
// the starts of runs and the tasks done per second.
func BenchmarkGrownCell(b *testing.B) {
	for b.Loop() {
		t := newSizedTrial(1, 2, cellWorkers, 1)
		c, stop, loops := t.begin()
		time.Sleep(3 * time.Second)
		before, starts := processorTime(b), time.Now()
		t.submitCell(c, loops)
		b.ReportMetric(float64(processorTime(b)-before)/float64(time.Since(starts)), "processors")
		started, done := t.world.Audit.Counts()
		b.ReportMetric(float64(started)/loadTime.Seconds(), "starts/s")
		b.ReportMetric(float64(done)/loadTime.Seconds(), "done/s")
		stop()
		t.site.End()
		loops.Wait()
	}
}
