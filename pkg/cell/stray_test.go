package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// large needs more than half of a worker, in memory too, so that it counts for fillers.
func large() sched.Step {
	s := step()
	s.Needs = sched.Resources{Processors: 9000, Memory: 40 << 30}
	return s
}

// startLarge starts a run of a large task of job "a" on the only worker.
func (r *rig) startLarge() cell.StartCall {
	r.list(worker(1))
	r.submit(job("a", large()))
	r.commit()
	s := r.starts()[0]
	r.start(s, nil)
	r.commit()
	return s
}

// takeOver begins a term with the recorded jobs or, if dropped is set, without any.
func (r *rig) takeOver(dropped bool) {
	restored := r.restore()
	if dropped {
		restored = nil
	}
	r.succeed(restored, 9)
	r.planner.Listed(r.now, worker(1))
	r.pass(time.Millisecond)
}

// Guards against starts beyond the capacity of a worker on which a run that the planner
// doesn't have is still being stopped.
func TestNothingIsPlacedBesideAnUnknownRun(t *testing.T) {
	unknown := []struct {
		name string
		make func(*rig) cell.StartCall
	}{
		{"job ended before the hand-over", func(r *rig) cell.StartCall {
			s := r.startLarge()
			r.ticket++
			r.planner.Cancel(r.now, r.ticket, "a")
			r.commit()
			r.takeOver(false)
			return s
		}},
		{"job dropped", func(r *rig) cell.StartCall {
			s := r.startLarge()
			r.takeOver(true)
			return s
		}},
		{"run given up with its lease", func(r *rig) cell.StartCall {
			s := r.startLarge()
			for range 100 {
				r.pass(100 * time.Millisecond)
				if len(r.effects.Leases) > 0 {
					r.exchange("w1", sched.LeaseAnswer{}, errLost)
				}
			}
			r.ticket++
			r.planner.Cancel(r.now, r.ticket, "a")
			r.commit()
			r.pass(time.Second)
			return s
		}},
	}
	gang := large()
	gang.Gang, gang.Tasks, gang.Needs.Processors, gang.Needs.Memory = true, 2, 4000, 16<<30
	filler := large()
	filler.Filler, filler.Image = true, "x"
	steps := []struct {
		name string
		step sched.Step
	}{{"task", large()}, {"gang", gang}, {"filler", filler}}
	for _, u := range unknown {
		for _, s := range steps {
			t.Run(u.name+", "+s.name, func(t *testing.T) {
				i := is.New(t)
				r := newRig(t)
				stray := u.make(r)
				r.effects.Stops = nil
				r.submit(job("b", s.step))
				report := sched.LeaseAnswer{Running: []sched.RunningRun{running(stray, 50)}}
				for range 3 {
					r.exchange("w1", report, nil)
					r.commit()
					i.Equal(len(r.effects.Stops), 1) // the order is repeated with each exchange
					r.effects.Stops = nil
					r.pass(100 * time.Millisecond)
					r.commit()
					i.Equal(len(r.starts()), 0)
				}
				r.exchange("w1", sched.LeaseAnswer{Ended: []sched.EndedRun{ended(stray, sched.EndStopped)}}, nil)
				r.pass(25 * time.Millisecond) // the least time between placements is 20 ms
				r.commit()
				i.Equal(len(r.starts()), s.step.Tasks)
			})
		}
	}
}

// Guards against a start on a worker that has reported an unknown run since the task
// was placed there.
func TestAPlacedRunIsNotStartedBesideAnUnknownRun(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	r.pass(10 * time.Second)
	r.submit(job("b", large()))
	r.settle()
	i.True(r.flight)
	other := sched.RunningRun{Task: sched.TaskRef{Job: "other"}, Run: 1}
	r.exchange("w1", sched.LeaseAnswer{Running: []sched.RunningRun{other}}, nil)
	r.commit()
	i.Equal(len(r.starts()), 0)
	r.pass(100 * time.Millisecond)
	r.exchange("w1", sched.LeaseAnswer{}, nil)
	r.pass(25 * time.Millisecond)
	r.commit()
	i.Equal(len(r.starts()), 1)
}

// Guards against a task that is placed beside an unknown run over and over, with a record
// each time, and given up before its start.
func TestATaskIsNotPlacedBesideAnUnknownRun(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	r.pass(10 * time.Second)
	other := sched.RunningRun{Task: sched.TaskRef{Job: "other"}, Run: 1}
	r.exchange("w1", sched.LeaseAnswer{Running: []sched.RunningRun{other}}, nil)
	r.submit(job("b", large()))
	for range 5 {
		r.commit()
		r.pass(25 * time.Millisecond)
	}
	i.Equal(len(r.starts()), 0)
	i.Equal(r.planner.Stats().Lost, int64(0))
}

// Guards against a worker with nothing but unknown runs that is asked about them only
// seconds later, or whose lease is renewed for them.
func TestAWorkerWithUnknownRunsIsWatchedWithoutALease(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	s := r.startLarge()
	r.takeOver(true)
	r.exchange("w1", sched.LeaseAnswer{Running: []sched.RunningRun{running(s, 50)}}, nil)
	r.pass(100 * time.Millisecond)
	o := r.exchange("w1", sched.LeaseAnswer{Running: []sched.RunningRun{running(s, 50)}}, nil)
	i.True(o.Wait > 0)
	i.Equal(o.Lease, sched.WorkerClock(0))
}
