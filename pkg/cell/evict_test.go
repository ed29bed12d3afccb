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
