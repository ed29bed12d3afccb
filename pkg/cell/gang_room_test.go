package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against tasks that are left waiting behind a step that no worker has room for,
// though that step needs something that they don't.
func TestATaskStartsBehindAStepThatNeedsMore(t *testing.T) {
	with := func(f func(*sched.Step)) sched.Step {
		s := step()
		s.Needs.Processors = 6000
		f(&s)
		return s
	}
	rows := []struct {
		name          string
		first, second sched.Step
		starts        int // of the second step
	}{
		{
			"a task behind a gang",
			with(func(s *sched.Step) { s.Gang, s.Tasks = true, 5 }), with(func(*sched.Step) {}), 1,
		},
		{
			"a smaller gang behind a larger one",
			with(func(s *sched.Step) { s.Gang, s.Tasks = true, 5 }), with(func(s *sched.Step) { s.Gang, s.Tasks = true, 4 }), 4,
		},
		{
			"a gang behind one that needs more workers",
			with(func(s *sched.Step) { s.Gang, s.Tasks, s.PerWorker = true, 3, 1 }),
			with(func(s *sched.Step) { s.Gang, s.Tasks = true, 3 }), 3,
		},
		{
			"a gang of fillers behind a filler that would be too slow",
			with(func(s *sched.Step) { s.Filler, s.Needs.Processors = true, 40000 }),
			with(func(s *sched.Step) { s.Filler, s.Gang, s.Tasks, s.Needs.Processors = true, true, 2, 40000 }), 2,
		},
		{
			"a serving task on idle processors behind a filler that would be too slow",
			with(func(s *sched.Step) { s.Filler, s.Needs.Processors = true, 40000 }),
			with(func(s *sched.Step) { s.Filler, s.TailGoal, s.Needs.Processors = true, time.Second, 40000 }), 1,
		},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			r := newRig(t)
			r.list(worker(1), worker(2)) // each has room for two tasks
			r.submit(job("a", row.first))
			r.now = r.now.Add(time.Millisecond)
			r.submit(job("b", row.second))
			r.commit()
			for range 5 {
				r.pass(50 * time.Millisecond)
				r.commit()
			}
			n := 0
			for _, s := range r.starts() {
				i.Equal(s.Order.Task.Job, sched.JobID("b"))
				n++
			}
			i.Equal(n, row.starts)
		})
	}
}
