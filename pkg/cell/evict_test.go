package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// progress reports one task on each worker at the given rates, in percent a
// second, and returns the indices of the tasks that were stopped.
func (r *rig) progress(starts []cell.StartCall, rates []float64, span time.Duration) map[int]bool {
	began := r.now
	for r.now.Sub(began) < span {
		r.pass(250 * time.Millisecond)
		for k, s := range starts {
			done := int(rates[k] * r.now.Sub(began).Seconds())
			for _, l := range r.effects.Leases {
				if l.Worker.ID == s.Worker.ID {
					r.exchange(l.Worker.ID, sched.LeaseAnswer{Running: []sched.RunningRun{running(s, done)}}, nil)
					break
				}
			}
		}
	}
	out := map[int]bool{}
	for _, s := range r.effects.Stops {
		out[s.Order.Task.Index] = true
	}
	return out
}

// stall has the worker of a run report it without progress until a batch is in flight, for
// at most 2 s.
func (r *rig) stall(s cell.StartCall) {
	for range 20 {
		if r.pass(100 * time.Millisecond); r.flight {
			return
		}
		for _, l := range r.effects.Leases {
			if l.Worker.ID == s.Worker.ID {
				r.exchange(l.Worker.ID, sched.LeaseAnswer{Running: []sched.RunningRun{running(s, 10)}}, nil)
				break
			}
		}
	}
}

// Guards against moving every task of a step because its declared time is far too
// short: all 20 tasks of a step declared with 128 ms that took 5 s were stopped.
// Guards also against a slow worker that isn't noticed beside fast ones.
func TestOnlyTasksSlowerThanTheirSiblingsMove(t *testing.T) {
	cases := []struct {
		name  string
		rates []float64
		want  map[int]bool
	}{
		{"all as slow", []float64{18, 20, 17, 19}, map[int]bool{}},
		{"one on a slow worker", []float64{18, 20, 2, 19}, map[int]bool{2: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			r := newRig(t)
			r.list(worker(1), worker(2), worker(3), worker(4), worker(5))
			s := step()
			s.Tasks, s.PerWorker, s.Estimate = 4, 1, 128*time.Millisecond
			r.submit(job("a", s))
			r.commit()
			starts := r.starts()
			i.Equal(len(starts), 4)
			rates := make([]float64, len(starts))
			for k, x := range starts {
				rates[k] = c.rates[x.Order.Task.Index]
				r.start(x, nil)
			}
			r.commit()
			i.Equal(r.progress(starts, rates, 4*time.Second), c.want)
		})
	}
}

// Guards against work that is stopped on a sound worker because its reports are late,
// since the planner or the path to the worker is slow.
func TestARunIsNotMovedBecauseReportsAreLate(t *testing.T) {
	rows := []struct {
		name string
		// late is the time without a report, and percent the progress in the one after it.
		late    time.Duration
		percent int
		moved   bool
	}{
		{"no report", 2500 * time.Millisecond, 60, false},
		{"a report without progress", 2500 * time.Millisecond, 20, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			r := newRig(t)
			r.list(worker(1), worker(2))
			s := step()
			s.Estimate = 5 * time.Second
			r.submit(job("a", s))
			r.commit()
			x := r.starts()[0]
			r.start(x, nil)
			r.progress([]cell.StartCall{x}, []float64{20}, time.Second)
			for range int(row.late / (100 * time.Millisecond)) {
				r.pass(100 * time.Millisecond)
			}
			i.Equal(len(r.effects.Stops), 0) // nothing says that the run is slow
			r.exchange(x.Worker.ID, sched.LeaseAnswer{Running: []sched.RunningRun{running(x, row.percent)}}, nil)
			r.pass(300 * time.Millisecond)
			i.Equal(len(r.effects.Stops) > 0, row.moved)
		})
	}
}
