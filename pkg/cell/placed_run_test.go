package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a start order to a worker that has left service since the run was placed
// there, after which the task waits for that worker's lease while another one is free.
func TestAPlacedRunOfAWorkerThatLeftServiceStartsElsewhere(t *testing.T) {
	list := func(f func(*sched.Worker)) func(*rig) {
		return func(r *rig) {
			w := worker(1)
			f(&w)
			r.planner.Listed(r.now, w)
		}
	}
	restarted := sched.LeaseAnswer{OrderAnswer: sched.OrderAnswer{Incarnation: 2}}
	rows := []struct {
		name  string
		leave func(*rig)
		next  sched.InstanceID // the worker of the next run
	}{
		{"draining", list(func(w *sched.Worker) { w.Draining, w.DrainRemaining = true, 20*time.Second }), "w2"},
		{"silent", func(r *rig) { r.exchange("w1", sched.LeaseAnswer{}, errLost) }, "w2"},
		{"unlisted", func(r *rig) { r.planner.Unlisted(r.now, "w1") }, "w2"},
		{"label gone", list(func(w *sched.Worker) { w.Labels = []string{"b", "rack1"} }), "w2"},
		{"other service", list(func(w *sched.Worker) { w.Service = "other" }), "w2"},
		{"restarted", func(r *rig) { r.exchange("w1", restarted, nil) }, "w2"},
		{"restarted, and its runs are known", func(r *rig) {
			list(func(w *sched.Worker) { w.Incarnation = 2 })(r)
			for range 2 { // the token of the pending order is of before the restart
				r.exchange("w1", restarted, nil)
				r.pass(100 * time.Millisecond)
			}
		}, "w1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			r := newRig(t)
			r.list(worker(1), worker(2))
			r.pass(10 * time.Second) // exchanges are due
			s := step()
			s.Label = "a"
			r.submit(job("a", s))
			r.settle()
			i.True(r.flight) // placed on the first worker
			row.leave(r)
			r.commit()
			r.pass(25 * time.Millisecond) // the least time between placements is 20 ms
			r.commit()
			starts := r.starts()
			i.Equal(len(starts), 1)
			i.Equal(starts[0].Worker.ID, row.next)
			i.Equal(starts[0].Order.Run, sched.RunNumber(2))
		})
	}
}
