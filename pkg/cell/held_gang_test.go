package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against tasks that are left waiting behind a gang that may not use suspected
// workers, though they may.
func TestATaskMayProbeBehindAGangThatMayNot(t *testing.T) {
	gang := func(n int) sched.Step {
		s := step()
		s.Gang, s.Tasks = true, n
		return s
	}
	rows := []struct {
		name          string
		first, second sched.Step
		attempts      int // of the first
		fails         bool
		again         int // starts of the first meanwhile
	}{
		{"a gang behind one with its last attempt", gang(2), gang(2), 1, false, 0},
		{"a task behind a gang with its last attempt", gang(1), step(), 1, false, 0},
		{"a task behind a gang that has failed", gang(1), step(), 100, true, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			w := newFailingWorkers(t, worker(1))
			first := job("a", row.first)
			first.Queue.MaxAttempts = row.attempts
			if row.fails {
				w.fails["a"] = true
				w.submit(first)
				w.run(2900 * time.Millisecond)
				i.True(w.starts["a"] > 0)
			}
			w.suspectAll()
			if !row.fails {
				w.submit(first)
			}
			w.run(50 * time.Millisecond)
			before := w.starts["a"]
			second := job("b", row.second)
			second.Queue.Priority = 1 // after the first
			w.submit(second)
			w.run(2900 * time.Millisecond)
			i.Equal(w.starts["b"], row.second.Tasks)
			i.Equal(w.starts["a"]-before, row.again)
		})
	}
}
