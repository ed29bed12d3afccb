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

// newTrialWithEmptyCells returns a trial with workers in cell 0 only, and a function that
// returns a new id of a cell with each call.
func newTrialWithEmptyCells(cells int) (*trial, func(cell int) string) {
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
	return x, idOfCell
}

// addJob adds a job with one short task to the world.
func (t *trial) addJob(id string) sched.Job {
	j := sched.Job{ID: sched.JobID(id), Queue: queue, Payload: "payload", Steps: []sched.Step{{
		Tasks: 1, Needs: sched.Resources{Processors: 1000, Memory: 1 << 30}, Estimate: time.Second,
	}}}
	t.world.Jobs.Add(book.JobTruth{Job: j, MeanRunTimes: []time.Duration{time.Second}})
	return j
}

// Guards against an accepted job that never runs because all workers are in other cells.
func TestAJobOfACellWithoutWorkersEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		x, idOfCell := newTrialWithEmptyCells(2)
		c, stop, loops := x.begin()
		time.Sleep(6 * time.Second)
		j := x.addJob(idOfCell(1))
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

// Guards against an instance that takes over a further cell and never refuses what its workers can't run.
func TestAJobOfACellWithoutWorkersIsRefusedAfterATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		const cells = 3
		x, idOfCell := newTrialWithEmptyCells(cells)
		c, stop, loops := x.begin()
		time.Sleep(3 * time.Second)
		last := x.site.Planner(0)
		for n := range x.instances {
			if instance(n) != last {
				x.site.Kill(instance(n))
			}
		}
		time.Sleep(10 * time.Second)
		var planners []sched.InstanceID
		var codes []sched.Code
		for cell := range cells {
			planners = append(planners, x.site.Planner(cell))
			codes = append(codes, x.site.Desk(last).Submit(c, route, x.addJob(idOfCell(cell))).Code)
		}
		stop()
		x.site.End()
		loops.Wait()
		time.Sleep(lateTime)
		i.Equal(planners, []sched.InstanceID{last, last, last})
		i.Equal(codes, []sched.Code{sched.CodeAccepted, sched.CodeNoWorker, sched.CodeNoWorker})
	})
}
