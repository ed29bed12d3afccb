package cell_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// inDataCentre returns worker n in a data centre.
func inDataCentre(n int, d sched.DataCentre) sched.Worker {
	w := worker(n)
	w.DataCentre = d
	return w
}

// evacuate tells the planner the whole set of data centres that are being evacuated.
func (r *rig) evacuate(all ...sched.DataCentre) {
	r.planner.Evacuate(r.now, all)
	r.commit()
}

// workersOf returns the workers of the start orders.
func workersOf(starts []cell.StartCall) []sched.InstanceID {
	var out []sched.InstanceID
	for _, s := range starts {
		out = append(out, s.Worker.ID)
	}
	return out
}

// Guards against a task that starts in an evacuated data centre because it was placed before
// the evacuation was known, and against one that isn't placed elsewhere instead.
func TestAPlacementWithoutAnOrderIsWithdrawn(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(inDataCentre(1, "a"))
	r.submit(job("j", step()))
	r.settle() // placed, and the record is on its way
	i.True(r.flight)
	r.list(inDataCentre(2, "b"))
	r.planner.Evacuate(r.now, []sched.DataCentre{"a"})
	r.commit()
	r.pass(50 * time.Millisecond)
	r.commit()
	i.Equal(workersOf(r.starts()), []sched.InstanceID{"w2"})
}

// Guards against a start order after the evacuation has become known together with the
// answer of the store, and against members of a gang that start without the others.
func TestAGangNeedsAllItsCapacityElsewhere(t *testing.T) {
	for n, evacuated := range []sched.DataCentre{"a", "b"} { // of the first or the last member
		t.Run(string(evacuated), func(t *testing.T) {
			i := is.New(t)
			r := newRig(t)
			r.list(inDataCentre(1, "a"), inDataCentre(2, "b"))
			s := step()
			s.Gang, s.Tasks, s.PerWorker = true, 2, 1
			r.submit(job("j", s))
			r.settle()
			i.True(r.flight)
			r.planner.Evacuate(r.now, []sched.DataCentre{evacuated})
			r.commit()
			for range 20 {
				r.pass(50 * time.Millisecond)
				r.commit()
			}
			i.Equal(len(r.starts()), 0)
			r.list(inDataCentre(3, "c"))
			r.pass(50 * time.Millisecond)
			r.commit()
			started := workersOf(r.starts())
			slices.Sort(started)
			i.Equal(started, []sched.InstanceID{worker(2 - n).ID, "w3"})
		})
	}
}

// Guards against a worker in an evacuated data centre that stays reserved for a task: the
// task would start there, or wait for it while other workers have room.
func TestAReservationMovesElsewhere(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(inDataCentre(1, "a"), inDataCentre(2, "b"))
	r.submit(job("small", withTasks(step(), 32)))
	r.commit()
	var running []cell.StartCall
	for _, s := range r.starts() {
		r.start(s, nil)
		running = append(running, s)
	}
	last := step()
	last.Lasting, last.Needs.Processors = true, 12000
	r.submit(job("last", last))
	for range 60 { // long enough for a reservation of w1, the first of equals
		r.pass(50 * time.Millisecond)
		r.commit()
	}
	r.evacuate("a")
	endAllOn(r, running, "w1")
	endAllOn(r, running, "w2")
	for range 10 {
		r.pass(50 * time.Millisecond)
		r.commit()
	}
	i.Equal(workersOf(r.starts()), []sched.InstanceID{"w2"})
}

// endAllOn has a worker report that all runs on it are done.
func endAllOn(r *rig, running []cell.StartCall, id sched.InstanceID) {
	r.t.Helper()
	var ended []sched.EndedRun
	for _, s := range running {
		if s.Worker.ID == id {
			ended = append(ended, sched.EndedRun{Number: int64(len(ended) + 1), Task: s.Order.Task, Run: s.Order.Run, End: sched.EndDone})
		}
	}
	for range 30 {
		for _, l := range r.effects.Leases {
			if l.Worker.ID == id {
				r.exchange(id, sched.LeaseAnswer{Ended: ended}, nil)
				r.commit()
				return
			}
		}
		r.pass(50 * time.Millisecond)
	}
	r.t.Fatalf("no exchange with %s", id)
}

// Guards against jobs that are refused or lost while all data centres are evacuated, and
// against starts there.
func TestJobsWaitWhileAllDataCentresAreEvacuated(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(inDataCentre(1, "a"), inDataCentre(2, "b"))
	r.planner.ListComplete(r.now)
	r.pass(5 * time.Second) // from now on jobs that no worker could run are refused
	r.evacuate("a", "b")
	ticket := r.submit(job("j", step()))
	for range 100 {
		r.pass(50 * time.Millisecond)
		r.commit()
	}
	i.Equal(r.replies[ticket].Code, sched.CodeAccepted)
	i.Equal(len(r.starts()), 0)
	r.evacuate("a") // b is withdrawn
	r.pass(50 * time.Millisecond)
	r.commit()
	i.Equal(workersOf(r.starts()), []sched.InstanceID{"w2"})
}

// Guards against a run that is stopped because of an evacuation, and against one that fails
// there and starts there again.
func TestRunsInAnEvacuatedDataCentreGoOn(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(inDataCentre(1, "a"))
	s := step()
	s.Lasting = true
	r.submit(job("j", s))
	r.commit()
	first := r.starts()
	i.Equal(len(first), 1)
	r.start(first[0], nil)
	r.list(inDataCentre(2, "b"))
	r.evacuate("a", "unknown")
	i.Equal(r.planner.EvacuatedRuns(), 1)
	for range 40 {
		r.pass(50 * time.Millisecond)
		if len(r.effects.Leases) > 0 {
			r.exchange("w1", sched.LeaseAnswer{Running: []sched.RunningRun{running(first[0], 100)}}, nil)
		}
		r.commit()
	}
	i.Equal(len(r.effects.Stops), 0)
	i.Equal(len(r.starts()), 0)
	for len(r.effects.Leases) == 0 {
		r.pass(50 * time.Millisecond)
	}
	r.exchange("w1", sched.LeaseAnswer{Ended: []sched.EndedRun{{
		Number: 1, Task: first[0].Order.Task, Run: first[0].Order.Run, End: sched.EndFailed,
	}}}, nil)
	r.pass(50 * time.Millisecond)
	r.commit()
	i.Equal(workersOf(r.starts()), []sched.InstanceID{"w2"})
	i.Equal(r.planner.EvacuatedRuns(), 0)
}

// Guards against a start order without an answer, such as one that an agent gave up, that
// is sent to the evacuated data centre again.
func TestAStartWithoutAnAnswerMovesElsewhere(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(inDataCentre(1, "a"))
	r.submit(job("j", step()))
	r.commit()
	first := r.starts()
	i.Equal(len(first), 1)
	r.list(inDataCentre(2, "b"))
	r.evacuate("a")
	r.start(first[0], errors.New("not sent"))
	r.pass(time.Millisecond)
	r.exchange("w1", sched.LeaseAnswer{}, nil)
	r.pass(50 * time.Millisecond)
	r.commit()
	i.Equal(workersOf(r.starts()), []sched.InstanceID{"w2"})
}

// Guards against a new planner that places tasks before it knows which data centres are
// being evacuated, and against one that goes on while that may have changed.
func TestNothingStartsWhileEvacuationsAreNotKnown(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	o := options(1)
	o.EvacuationLimit = 5 * time.Second
	r.planner = cell.New(r.now, nil, o)
	r.list(inDataCentre(1, "a"))
	r.submit(job("j", step()))
	r.commit()
	r.pass(50 * time.Millisecond)
	r.commit()
	i.Equal(len(r.starts()), 0)
	r.planner.Evacuate(r.now, nil)
	r.settle()
	i.True(r.flight)
	r.planner.HoldStarts(true) // before the store has answered
	r.commit()
	r.pass(50 * time.Millisecond)
	r.commit()
	i.Equal(len(r.starts()), 0)
	r.planner.HoldStarts(false)
	r.pass(50 * time.Millisecond)
	r.commit()
	i.Equal(workersOf(r.starts()), []sched.InstanceID{"w1"})
}

// Guards against cold workers that get all their load at once when an evacuation ends, and
// against warm ones that wait.
func TestColdWorkersGetAGrowingShare(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(inDataCentre(1, "a"), inDataCentre(2, "b"))
	r.evacuate("a", "b")
	cold := inDataCentre(1, "a")
	cold.WarmupRemaining = 10 * time.Second
	r.planner.Listed(r.now, cold)
	r.evacuate()
	for n := range 40 { // lasting, so that nothing ends
		s := step()
		s.Lasting = true
		r.submit(job(fmt.Sprint("j", n), s))
	}
	running := map[sched.InstanceID]int{}
	at := func(d time.Duration) {
		for until := epoch.Add(d); r.now.Before(until); {
			r.pass(50 * time.Millisecond)
			r.commit()
			for _, s := range r.starts() {
				running[s.Worker.ID]++
				r.start(s, nil)
			}
		}
	}
	at(500 * time.Millisecond)
	i.Equal(running["w2"], 16) // warm
	i.True(running["w1"] >= 1 && running["w1"] <= 2)
	at(5 * time.Second)
	i.True(running["w1"] >= 7 && running["w1"] <= 8)
	at(11 * time.Second)
	i.Equal(running["w1"], 16)
}
