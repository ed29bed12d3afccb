package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// halved is a worker with half of its capacity.
func halved(n int) sched.Worker {
	w := worker(n)
	w.Capacity.Processors /= 2
	w.Capacity.Memory /= 2
	return w
}

// Guards against a start that was placed before the capacity of the worker shrank.
func TestAPlacedRunIsNotStartedBeyondAShrunkCapacity(t *testing.T) {
	gang, filler, labeled := large(), large(), large()
	gang.Gang, gang.Tasks, gang.Needs.Processors, gang.Needs.Memory = true, 2, 4500, 20<<30
	filler.Filler, filler.Image = true, "x"
	labeled.Label = "a"
	rows := []struct {
		name string
		step sched.Step
	}{{"task", large()}, {"gang", gang}, {"filler", filler}, {"task with a label", labeled}}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			r := newRig(t)
			r.list(worker(1))
			r.submit(job("a", row.step))
			r.settle()
			i.True(r.flight)
			r.planner.Listed(r.now, halved(1))
			r.commit()
			for range 5 {
				r.pass(25 * time.Millisecond) // the least time between placements is 20 ms
				r.commit()
			}
			i.Equal(len(r.starts()), 0)
			r.planner.Listed(r.now, worker(1))
			r.pass(25 * time.Millisecond)
			r.commit()
			i.Equal(len(r.starts()), row.step.Tasks)
		})
	}
}

// Guards against a speculative copy that was placed before the capacity of its worker
// shrank.
func TestACopyIsNotStartedBeyondAShrunkCapacity(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1), worker(2))
	one := large()
	one.Copies = true
	r.submit(job("a", one))
	r.commit()
	s := r.starts()[0]
	r.start(s, nil)
	r.commit()
	r.pass(time.Second)
	r.exchange(s.Worker.ID, sched.LeaseAnswer{Running: []sched.RunningRun{running(s, 10)}}, nil)
	r.commit()
	r.stall(s)
	i.True(r.flight) // with the record of the copy
	for n := range 2 {
		r.planner.Listed(r.now, halved(n+1))
	}
	r.commit()
	i.Equal(len(r.starts()), 0)
	i.Equal(len(r.effects.Stops), 0) // the slow run goes on
}

// Guards against fillers that are placed by the room that a worker had before its
// capacity shrank.
func TestFillersArePlacedByTheShrunkCapacity(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	filler := step()
	filler.Filler, filler.Image, filler.Needs.Processors = true, "x", 10000
	r.submit(job("a", filler))
	r.commit()
	r.start(r.starts()[0], nil)
	r.planner.Listed(r.now, halved(1))
	r.pass(25 * time.Millisecond)
	r.submit(job("b", filler)) // at 40% of its full speed it would be too slow
	r.commit()
	i.Equal(len(r.starts()), 0)
}

// Guards against a worker that stays unused after its capacity has grown, because it
// refused a start before.
func TestAWorkerIsUsedAtOnceAfterItsCapacityHasGrown(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	r.submit(job("a", large()))
	r.commit()
	s := r.starts()[0]
	r.refuse(s, sched.RefusedNoCapacity)
	r.planner.Listed(r.now, halved(1))
	r.pass(25 * time.Millisecond)
	r.commit()
	i.Equal(len(r.starts()), 0)
	r.planner.Listed(r.now, worker(1))
	r.pass(25 * time.Millisecond)
	r.commit()
	i.Equal(len(r.starts()), 1)
}
