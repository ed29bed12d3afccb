package site_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/book"
	"github.com/parsleybarrow/parsleybarrow/internal/process/entry"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against an accepted job that never runs because all workers are in other cells.
func TestAJobOfACellWithoutWorkersEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		const cells = 2
		x := newSizedTrial(1, 3, 6, cells)
		next := 0
		idOfCell := func(cell int) string {
			for {
				next++
				if id := fmt.Sprintf("%016x", next); entry.CellOf(id, cells) == cell {
					return id
				}
			}
		}
		for n := range x.world.Workers {
			x.world.Workers[n].ID = sched.InstanceID(idOfCell(0))
		}
		c, stop, loops := x.begin()
		time.Sleep(6 * time.Second)
		j := sched.Job{ID: sched.JobID(idOfCell(1)), Queue: queue, Payload: "payload", Steps: []sched.Step{{
			Tasks: 1, Needs: sched.Resources{Processors: 1000, Memory: 1 << 30}, Estimate: time.Second,
		}}}
		x.world.Jobs.Add(book.JobTruth{Job: j, MeanRunTimes: []time.Duration{time.Second}})
		loops.Go(func() { x.caller.SubmitAndPoll(c, j) })
		time.Sleep(30 * time.Second)
		unfinished := x.world.Audit.Unfinished()
		stop()
		x.site.End()
		loops.Wait()
		time.Sleep(lateTime)
		i.Equal(len(unfinished), 0) // done, or refused at once
	})
}
