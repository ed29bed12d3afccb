package site_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/book"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against jobs whose records the store doesn't take, so that their planner can't
// record anything else.
func TestLargeJobsDoNotStopTheOthers(t *testing.T) {
	rows := []struct {
		name     string
		jobs     int
		tasks    int
		runTime  time.Duration
		schedule sched.Schedule
	}{
		{"many jobs at the same time", 40, 60, 4 * time.Second, sched.Schedule{}},
		{"many tasks", 1, 1200, 4 * time.Second, sched.Schedule{}},
		{"many occurrences at the same time", 1, 3, 200 * time.Millisecond, sched.Schedule{Times: 600}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				x := newSizedTrial(1, 3, 6, 1)
				x.setStoreLimits(8<<10, 16<<10)
				c, stop, loops := x.begin()
				time.Sleep(6 * time.Second)
				row.schedule.First = time.Now().Add(time.Second)
				for k := range row.jobs {
					loops.Go(func() { x.submitSized(c, sched.JobID(fmt.Sprintf("%016x", k+1)), row.tasks, row.runTime, row.schedule) })
				}
				time.Sleep(3 * time.Second)
				const last = "ffffffffffffffff"
				accepted := x.submitSized(c, last, 1, row.runTime, sched.Schedule{})
				time.Sleep(20 * time.Second)
				state := x.caller.PollState(c, last, time.Now())
				unfinished := x.world.Audit.Unfinished()
				stop()
				x.site.End()
				loops.Wait()
				time.Sleep(lateTime)
				i.True(accepted)                          // a job submitted after the others
				i.Equal(state, sched.JobCompleted)        // and done in time
				i.Equal(len(unfinished), 0)               // jobs that were accepted
				i.Equal(len(x.world.Audit.Findings()), 0) // broken rules
			})
		})
	}
}

// setStoreLimits sets the size of the largest record and of the largest append, in bytes.
func (t *trial) setStoreLimits(record, batch int) {
	t.world.RecordLimit, t.world.AppendLimit = record, batch
	t.site.Options.RecordLimit, t.site.Options.BatchLimit = record, batch
}

// submitSized submits a job with one step of small tasks and reports whether it was
// accepted.
func (t *trial) submitSized(c context.Context, id sched.JobID, tasks int, runTime time.Duration, s sched.Schedule) bool {
	j := sched.Job{ID: id, Queue: queue, Payload: "payload", Schedule: s, Steps: []sched.Step{{
		Tasks: tasks, Needs: sched.Resources{Processors: 10, Memory: 1 << 20}, Estimate: runTime,
	}}}
	t.world.Jobs.Add(book.JobTruth{Job: j, MeanRunTimes: []time.Duration{runTime}})
	return t.caller.Submit(c, j)
}
