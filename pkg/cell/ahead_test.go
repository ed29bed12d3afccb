package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// lookAhead switches the look-ahead placement on. It replaces the planner of a rig without
// workers.
func (r *rig) lookAhead() {
	o := options(1)
	o.LookAhead = true
	r.planner = cell.New(r.now, nil, o)
}

// newAheadRig returns a rig with full workers, and with the look-ahead placement if on is
// set.
func newAheadRig(t *testing.T, workers int, on bool) *busyRig {
	r := newBusyRig(t, 0)
	if on {
		r.lookAhead()
	}
	for n := range workers {
		r.workers[worker(n).ID] = &modelWorker{last: map[sched.TaskRef]sched.RunNumber{}}
		r.list(worker(n))
	}
	r.wait(4 * time.Second)
	return r
}

// largeStep returns a step whose tasks need a quarter of a worker each.
func largeStep(tasks int) sched.Step {
	s := withTasks(step(), tasks)
	s.Needs.Processors = 4000
	return s
}

// Guards against a task that waits for as long as smaller tasks take each bit of room that
// becomes free. The first rows show that this happens without look-ahead placement.
func TestSmallTasksDoNotStarveALargeOne(t *testing.T) {
	gang := largeStep(5)
	gang.Gang = true
	rows := []struct {
		name    string
		ahead   bool
		step    sched.Step
		started int
	}{
		{"large, off", false, largeStep(1), 0},
		{"gang, off", false, gang, 0},
		{"large, on", true, largeStep(1), 1},
		{"gang, on", true, gang, 5},
	}
	for _, x := range rows {
		t.Run(x.name, func(t *testing.T) {
			i := is.New(t)
			r := newAheadRig(t, 4, x.ahead)
			submitted := r.now
			r.submit(job("large", x.step))
			r.wait(12 * time.Second)
			i.Equal(len(r.startedAt), x.started)
			for _, at := range r.startedAt {
				i.True(at.Sub(submitted) < 4*time.Second)
			}
		})
	}
}

// Guards against lasting tasks that start one after the other, each after seconds, since
// only a few workers are reserved at a time.
func TestLastingTasksStartTogetherOnFullWorkers(t *testing.T) {
	i := is.New(t)
	r := newAheadRig(t, 6, true)
	s := largeStep(9)
	s.Lasting = true
	submitted := r.now
	r.submit(job("last", s))
	r.wait(8 * time.Second)
	i.Equal(len(r.startedAt), 9)
	for _, at := range r.startedAt {
		i.True(at.Sub(submitted) < 3*time.Second)
	}
}

// Guards against room that is held for good on a worker that can't be used any more, or
// for a job that has been cancelled.
func TestHoldsEndWithTheirWorkerAndTheirJob(t *testing.T) {
	i := is.New(t)
	r := newAheadRig(t, 4, true)
	s := largeStep(2)
	s.Needs.Processors = 15000
	r.submit(job("gone", s))
	r.wait(400 * time.Millisecond)
	i.Equal(r.planner.Stats().Planned, int64(1)) // one worker in four may be held for tasks that end
	for n := range 4 {
		w := worker(n)
		w.Draining, w.DrainRemaining = n != 0, time.Minute
		r.planner.Listed(r.now, w)
	}
	r.wait(4 * time.Second)
	i.Equal(len(r.startedAt), 1)
	for n := range 4 {
		r.planner.Listed(r.now, worker(n))
	}
	r.planner.Cancel(r.now, 9999, "gone")
	r.wait(3 * time.Second)
	before := r.planner.Stats()
	r.wait(2 * time.Second)
	after := r.planner.Stats()
	i.Equal(after.HeldFree, before.HeldFree)
	i.True(after.Starts-before.Starts > 80) // three or four workers with 16 tasks of some 1.2 s
}

// Guards against lasting tasks of workers that are lost, which wait for long on the full
// workers that are left though small tasks end there all the time.
func TestLastingTasksOfLostWorkersStartInTime(t *testing.T) {
	for _, ahead := range []bool{false, true} {
		r := newAheadRig(t, 12, ahead)
		s := largeStep(24)
		s.Lasting = true
		r.submit(job("last", s))
		r.wait(20 * time.Second)
		lost, moved := 0, map[sched.TaskRef]bool{}
		for n := range 3 {
			w := r.workers[worker(n).ID]
			for _, x := range w.running {
				if _, small := r.endsAt[x.Order.Task]; !small {
					moved[x.Order.Task] = true
				}
			}
			r.gone[worker(n).ID] = true
		}
		leaseEnd := r.now.Add(6200 * time.Millisecond) // by the slowest clock
		r.wait(20 * time.Second)
		var longest time.Duration
		for x := range moved {
			lost++
			longest = max(longest, r.startedAt[x].Sub(leaseEnd))
		}
		t.Logf("look-ahead %v: %d lasting tasks waited for %v at most", ahead, lost, longest)
		if lost == 0 || ahead && longest > 3*time.Second {
			t.Errorf("%d lasting tasks of the lost workers waited for %v at most", lost, longest)
		}
	}
}

// Guards against a task that goes on waiting for its held worker after that has become
// silent or begun to leave.
func TestAHeldTaskStartsElsewhereOnceItsWorkerIsLost(t *testing.T) {
	for _, silent := range []bool{false, true} {
		i := is.New(t)
		r := newAheadRig(t, 4, true)
		s := largeStep(1)
		s.Lasting, s.Needs.Processors = true, 15000
		r.submit(job("last", s))
		var held sched.InstanceID
		for n := 0; n < 20 && held == ""; n++ {
			r.wait(120 * time.Millisecond)
			e, _ := r.planner.Explain(r.now, "last", nil)
			for _, x := range e.Steps[0].Workers {
				held = x.ID
				i.Equal(x.Role, "held")
			}
		}
		i.True(held != "")
		if silent {
			r.gone[held] = true
		} else {
			w := worker(0)
			w.ID, w.Draining, w.DrainRemaining = held, true, time.Minute
			r.planner.Listed(r.now, w)
		}
		slips := r.planner.Stats().Slipped
		r.wait(8 * time.Second)
		i.True(r.planner.Stats().Slipped > slips)
		e, _ := r.planner.Explain(r.now, "last", nil)
		i.Equal(e.Steps[0].Running, 1)
		i.True(e.Steps[0].Workers[0].ID != held)
	}
}
