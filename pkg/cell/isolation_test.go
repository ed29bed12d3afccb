package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// waitLimit is how long a task may wait while there is room for it and most of the
// service is unused.
const waitLimit = 3 * time.Second

// Guards against tasks that are kept apart forever since they were on a worker that crashed.
func TestASuspectWhoseRunsEndIsNotIsolatedForever(t *testing.T) {
	i := is.New(t)
	f := newCrashingFleet(t, 1)
	f.crashes = func(sched.TaskRef) (time.Duration, bool) { return time.Second, len(f.crashed) == 0 }
	f.ends = func(r sched.TaskRef) (time.Duration, sched.RunEnd) {
		if r.Job == "lasting" {
			return 1200 * time.Millisecond, sched.EndDone
		}
		return runTime, sched.EndDone
	}
	f.advance(time.Second)
	lasting := step()
	lasting.Lasting, lasting.Tasks = true, 4
	f.submit(job("lasting", lasting))
	f.advance(15 * time.Second)
	i.Equal(len(f.crashed), 1)
	clear(f.started)
	f.advance(15 * time.Second)
	for k := range lasting.Tasks {
		i.True(f.started[sched.TaskRef{Job: "lasting", Index: k}] >= 10) // of at most 12
	}
}

// Guards against a suspect that keeps others off the only worker for seconds.
func TestTasksDoNotWaitOutTheIsolationOfAllWorkers(t *testing.T) {
	i := is.New(t)
	f := newCrashingFleet(t, 1)
	f.crashes = func(r sched.TaskRef) (time.Duration, bool) {
		return 2 * time.Second, r.Job == "suspect" && f.crashed[r] < 2
	}
	f.ends = func(r sched.TaskRef) (time.Duration, sched.RunEnd) {
		if r.Job == "suspect" {
			return time.Hour, sched.EndDone
		}
		return runTime, sched.EndDone
	}
	f.advance(time.Second)
	f.submit(job("suspect", step()))
	suspect := sched.TaskRef{Job: "suspect"}
	for f.started[suspect] < 3 {
		f.advance(50 * time.Millisecond)
	}
	i.Equal(f.crashed[suspect], 2)
	f.advance(200 * time.Millisecond)
	f.submit(job("later", step()))
	f.advance(waitLimit)
	i.Equal(f.started[sched.TaskRef{Job: "later"}], 1)
}

// Guards against a suspect of a crash that waits for long, though it may be innocent.
func TestASuspectStartsOnAWorkerThatSuitsItLess(t *testing.T) { checkSuspectStarts(t, waitLimit) }

// Guards against a suspect of a crash that never starts, though it may be innocent.
func TestASuspectStartsInTheEndOnAWorkerThatSuitsItLess(t *testing.T) {
	checkSuspectStarts(t, 15*time.Second)
}

// checkSuspectStarts expects a suspect to start within the given time once its worker is
// back, though no worker suits it.
func checkSuspectStarts(t *testing.T, within time.Duration) {
	t.Helper()
	rows := []struct {
		name   string
		beside sched.Step
		step   sched.Step
	}{
		{"tasks fail on all workers", withTasks(step(), 8), step()},
		{"serving tasks mind it", servingStep(), fillerStep()},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			f := newCrashingFleet(t, 1)
			i.NoErr(f.planner.Learn(heavyFillers(20)))
			f.sameID = true
			f.crashes = func(r sched.TaskRef) (time.Duration, bool) { return 0, r.Job == "suspect" && f.crashed[r] == 0 }
			f.ends = func(r sched.TaskRef) (time.Duration, sched.RunEnd) {
				if r.Job == "beside" && row.beside.TailGoal == 0 {
					return 100 * time.Millisecond, sched.EndFailed
				}
				return time.Hour, sched.EndDone
			}
			f.advance(time.Second)
			beside := job("beside", row.beside)
			beside.Queue.MaxAttempts = 1000
			f.submit(beside)
			f.advance(10 * time.Second)
			j := job("suspect", row.step)
			j.Queue.Priority = 1 // the others come first
			f.submit(j)
			suspect := sched.TaskRef{Job: "suspect"}
			for f.crashed[suspect] == 0 {
				f.advance(50 * time.Millisecond)
			}
			f.advance(downTime + within)
			i.Equal(f.started[suspect], 2)
		})
	}
}
