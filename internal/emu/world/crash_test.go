package world_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/book"
	"github.com/parsleybarrow/parsleybarrow/internal/emu/work"
	"github.com/parsleybarrow/parsleybarrow/internal/emu/world"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a worker that stays down after a run crashed it, or that takes orders
// which are meant for the ID that it had before.
func TestWorkerThatARunCrashedReturns(t *testing.T) {
	rows := []struct {
		name       string
		changesID  bool
		oldRefusal sched.Refusal // to an order that names the old ID
	}{
		{"same ID", false, sched.NotRefused},
		{"new ID", true, sched.RefusedIdentity},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				old := sched.Worker{ID: "w", Address: "w:1"}
				w := &world.World{
					Clock: clock.System{}, Heartbeat: time.Second, Rules: work.Rules{LeaseLimit: time.Minute},
					Workers: []sched.Worker{old}, CrashDowntime: 2 * time.Second, CrashChangesID: row.changesID,
				}
				w.Begin()
				w.Jobs.Add(book.JobTruth{
					Job: sched.Job{ID: "j", Steps: []sched.Step{{Tasks: 1}}}, CrashTasks: 1, CrashAfter: 10 * time.Millisecond,
				})
				c, stop := context.WithCancel(context.Background())
				defer stop()
				go w.Run(c)
				x := w.NewClient("entry", world.Path{}, world.Path{})
				first, err := x.Start(c, old, sched.StartOrder{
					Task: sched.TaskRef{Job: "j"}, Run: 1, Lease: sched.WorkerClock(time.Minute),
				})
				is.NoErr(err)

				time.Sleep(time.Second)
				short, cancel := context.WithTimeout(c, 100*time.Millisecond)
				_, err = x.Lease(short, old, sched.LeaseOrder{})
				cancel()
				is.True(errors.Is(err, sched.ErrUncertain)) // the worker is down

				time.Sleep(2 * time.Second)
				a, err := x.Lease(c, old, sched.LeaseOrder{})
				is.NoErr(err)
				is.Equal(a.Refusal, row.oldRefusal)
				w.Worker(old.Address, func(_ time.Time, y *work.Worker) {
					is.True(!y.Down)
					is.Equal(y.ID != old.ID, row.changesID)
					is.True(y.Incarnation > first.Incarnation)
					old = y.Worker
				})
				a, err = x.Lease(c, old, sched.LeaseOrder{})
				is.NoErr(err)
				is.Equal(a.Refusal, sched.NotRefused) // the present ID
				is.Equal(len(a.Running), 0)
			})
		})
	}
}
