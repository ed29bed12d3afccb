package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// failingWorkers drives a planner whose workers fail each task of the jobs in fails, and
// run the others on. It counts the starts of each job.
type failingWorkers struct {
	*rig
	fails  map[sched.JobID]bool
	ends   map[sched.InstanceID][]sched.EndedRun
	runs   map[sched.InstanceID][]sched.RunningRun
	starts map[sched.JobID]int
}

func newFailingWorkers(t *testing.T, workers ...sched.Worker) *failingWorkers {
	w := &failingWorkers{
		newRig(t),
		map[sched.JobID]bool{},
		map[sched.InstanceID][]sched.EndedRun{},
		map[sched.InstanceID][]sched.RunningRun{},
		map[sched.JobID]int{},
	}
	w.list(workers...)
	return w
}

// run lets the workers carry out their orders for the given time.
func (w *failingWorkers) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.pass(100 * time.Millisecond)
		w.commit()
		for _, s := range w.rig.starts() {
			id := s.Worker.ID
			w.starts[s.Order.Task.Job]++
			w.start(s, nil)
			if w.fails[s.Order.Task.Job] {
				e := ended(s, sched.EndFailed)
				e.Number = int64(len(w.ends[id]) + 1)
				w.ends[id] = append(w.ends[id], e)
				continue
			}
			w.runs[id] = append(w.runs[id], running(s, 50))
		}
		for _, l := range append([]cell.LeaseCall{}, w.effects.Leases...) {
			w.exchange(l.Worker.ID, sched.LeaseAnswer{Running: w.runs[l.Worker.ID], Ended: w.ends[l.Worker.ID]}, nil)
		}
		w.commit()
	}
}

// suspectAll lets tasks fail until each worker is in a long pause.
func (w *failingWorkers) suspectAll() {
	bad := step()
	bad.Tasks = 8
	j := job("bad", bad)
	j.Queue.MaxAttempts = 100
	w.fails["bad"] = true
	w.submit(j)
	w.run(10 * time.Second)
	for n := w.starts["bad"]; w.starts["bad"] == n; {
		w.run(100 * time.Millisecond) // the pause begins with a probe that fails
	}
	w.run(200 * time.Millisecond)
}

// Guards against tasks that wait for seconds, with free workers, since all of these are
// suspected; and against jobs that fail since their last attempt went to one.
func TestTasksDoNotWaitOutTheSuspicionOfAllWorkers(t *testing.T) {
	lasting := step()
	lasting.Lasting = true
	gang := step()
	gang.Gang, gang.Tasks = true, 2
	rows := []struct {
		name     string
		step     sched.Step
		attempts int
		starts   int
	}{
		{"a task", step(), 2, 1},
		{"a gang", gang, 2, 2},
		{"a lasting task", lasting, 1, 1},
		{"a task with one attempt left", step(), 1, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			w := newFailingWorkers(t, worker(1))
			w.suspectAll()
			j := job("a", row.step)
			j.Queue.MaxAttempts = row.attempts
			bad := w.starts["bad"]
			w.submit(j)
			w.run(2900 * time.Millisecond)
			i.Equal(w.starts["a"], row.starts)
			i.Equal(w.starts["bad"], bad) // it has failed there, so it waits for the end of the pause
			w.ticket++
			w.planner.Cancel(w.now, w.ticket, "bad")
			w.run(10 * time.Second) // to the end of the longest pause
			i.True(w.starts["a"] > 0)
		})
	}
}

// Guards against a probe that doesn't count: one that succeeds must open the worker to
// others, and while it runs there must be no second one.
func TestATaskOfLastResortIsTheProbeOfItsWorker(t *testing.T) {
	i := is.New(t)
	w := newFailingWorkers(t, worker(1))
	w.suspectAll()
	w.submit(job("a", step()))
	w.submit(job("b", step()))
	w.run(2900 * time.Millisecond)
	i.Equal(w.starts["a"]+w.starts["b"], 1)
	x := w.runs["w1"][0]
	w.runs["w1"], w.ends["w1"] = nil, append(w.ends["w1"], sched.EndedRun{
		Number: int64(len(w.ends["w1"]) + 1), Task: x.Task, Run: x.Run, End: sched.EndDone,
	})
	w.run(400 * time.Millisecond)
	i.Equal(w.starts["a"]+w.starts["b"], 2)
}

// Guards against tasks on suspected workers of a busy service, where those that run would
// pay for a task that fails.
func TestTasksOfABusyServiceWaitOutTheSuspicion(t *testing.T) {
	rows := []struct {
		name    string
		running int // tasks that take a sixteenth of the service each
		starts  int
	}{{"56% in use", 9, 1}, {"63% in use", 10, 0}}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			w := newFailingWorkers(t, worker(1))
			s := step()
			s.Tasks = row.running
			w.submit(job("running", s))
			w.run(time.Second)
			i.Equal(w.starts["running"], row.running)
			w.suspectAll()
			w.submit(job("a", step()))
			w.run(2900 * time.Millisecond)
			i.Equal(w.starts["a"], row.starts)
		})
	}
}
