package work_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/audit"
	"github.com/parsleybarrow/parsleybarrow/internal/emu/book"
	"github.com/parsleybarrow/parsleybarrow/internal/emu/work"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a crash that comes early, late, or from a task that crashes no worker.
func TestRunCrashesItsWorkerAfterTheTimeOfItsTask(t *testing.T) {
	rows := []struct {
		name         string
		step, index  int
		after        time.Duration
		down         bool
		takesWorkers int
	}{
		{"crashing task before its time", 1, 0, 980 * time.Millisecond, false, 0},
		{"crashing task", 1, 0, 1020 * time.Millisecond, true, 1},
		{"other task of the step", 1, 1, 3 * time.Second, false, 0},
		{"other step", 0, 0, 3 * time.Second, false, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			jobs, began := &book.Jobs{}, time.UnixMilli(1e6)
			jobs.Add(book.JobTruth{
				Job:          sched.Job{ID: "j", Steps: []sched.Step{{Tasks: 2}, {Tasks: 2}}},
				MeanRunTimes: []time.Duration{time.Minute, time.Minute}, CrashStep: 1, CrashTasks: 1, CrashAfter: time.Second,
			})
			a := &audit.Audit{Jobs: jobs, Guards: true}
			w := &work.Worker{
				Worker: sched.Worker{ID: "w"}, Rules: work.Rules{LeaseLimit: time.Minute}, Jobs: jobs, Gangs: &work.Gangs{}, Observer: a,
				ClockRate: 1,
			}
			w.Begin(began)
			r := sched.TaskRef{Job: "j", Step: row.step, Index: row.index}
			o := w.Start(began, sched.StartOrder{Task: r, Run: 1, Lease: sched.WorkerClock(time.Minute)})
			is.Equal(o.Refusal, sched.NotRefused)
			w.Advance(began.Add(row.after))
			is.Equal(w.Down, row.down)
			is.Equal(w.CrashedBy == work.RunKey{Task: r, Run: 1}, row.down)
			n, _ := a.Crashes()
			is.Equal(n, row.takesWorkers)
			w.Begin(began.Add(row.after))
			is.Equal(w.CrashedBy, work.RunKey{}) // a new life has no cause of a crash
		})
	}
}
