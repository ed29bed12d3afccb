package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// answerAs answers exchanges as the given incarnation until its runs are known.
func (r *rig) answerAs(incarnation int64) {
	for range 3 { // the first order may have the token of before the restart
		r.pass(9 * time.Second) // exchanges are due
		r.exchange("w1", sched.LeaseAnswer{OrderAnswer: sched.OrderAnswer{Incarnation: incarnation}}, nil)
	}
}

// startsSoon returns the starts of the next two passes.
func (r *rig) startsSoon() []cell.StartCall {
	for range 2 {
		r.pass(25 * time.Millisecond) // the least time between placements is 20 ms
		r.commit()
	}
	return r.starts()
}

// Guards against a task on a restarted worker without room, label or service for it, since
// the list shows the worker as it was before.
func TestARestartedWorkerIsNotUsedByTheEntryOfBefore(t *testing.T) {
	gang, filler := large(), large()
	gang.Gang, gang.Tasks, gang.Needs.Processors, gang.Needs.Memory = true, 2, 4500, 20<<30
	filler.Filler, filler.Image = true, "x"
	rows := []struct {
		name   string
		change func(*sched.Worker)
		starts bool
	}{
		{"alike", func(*sched.Worker) {}, true},
		{"less capacity", func(w *sched.Worker) { w.Capacity = halved(1).Capacity }, false},
		{"other labels", func(w *sched.Worker) { w.Labels = []string{"b", "rack1"} }, false},
		{"other service", func(w *sched.Worker) { w.Service = "other" }, false},
	}
	steps := []struct {
		name string
		step sched.Step
	}{{"task", large()}, {"gang", gang}, {"filler", filler}}
	for _, row := range rows {
		for _, s := range steps {
			t.Run(row.name+", "+s.name, func(t *testing.T) {
				i := is.New(t)
				r := newRig(t)
				r.list(worker(1))
				r.answerAs(2)
				s.step.Label = "a"
				r.submit(job("a", s.step))
				i.Equal(len(r.startsSoon()), 0)
				w := worker(1)
				w.Incarnation = 2
				row.change(&w)
				r.planner.Listed(r.now, w)
				n := 0
				if row.starts {
					n = s.step.Tasks
				}
				i.Equal(len(r.startsSoon()), n) // without a further exchange
			})
		}
	}
}

// Guards against workers that are never used since their entries don't say of which
// incarnation they are.
func TestAWorkerWhoseEntryHasNoIncarnationIsUsed(t *testing.T) {
	for _, answered := range []int64{0, 7} {
		i := is.New(t)
		r := newRig(t)
		w := worker(1)
		w.Incarnation = 0
		r.list(w)
		r.answerAs(answered)
		r.submit(job("a", step()))
		i.Equal(len(r.startsSoon()), 1)
	}
}
