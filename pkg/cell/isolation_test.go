package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against tasks that are kept apart with each of their runs, and keep others off
// their worker, since they were once on one that crashed.
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
