package cell_test

import (
	"fmt"
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
		{"lasting tasks", withTasks(lasting, 3), 1, 3},
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
			w.run(2200 * time.Millisecond)
			i.Equal(w.starts["bad"], bad) // it has failed there, so it waits longer
			w.run(700 * time.Millisecond)
			i.Equal(w.starts["a"], row.starts)
			i.True(w.starts["bad"] <= bad+1)
			w.ticket++
			w.planner.Cancel(w.now, w.ticket, "bad")
			w.run(10 * time.Second) // to the end of the longest pause
			i.True(w.starts["a"] > 0)
		})
	}
}

// Guards against a task that waits for long to start again on the only worker with room.
func TestATaskThatHasFailedOnTheOnlyWorkerStartsThereAgain(t *testing.T) {
	i := is.New(t)
	w := newFailingWorkers(t, worker(1))
	w.suspectAll()
	w.fails["a"] = true
	j := job("a", step())
	j.Queue.MaxAttempts = 3
	w.submit(j)
	w.run(2900 * time.Millisecond)
	i.Equal(w.starts["a"], 1)
	w.run(2900 * time.Millisecond)
	i.Equal(w.starts["a"], 2)
	w.run(9 * time.Second)
	i.Equal(w.starts["a"], 2) // another failure would fail the job
	w.run(2 * time.Second)
	i.Equal(w.starts["a"], 3)
}

// Guards against a last attempt that waits because of the failures of its own job.
func TestAJobDoesNotWaitOutASuspicionThatItHasCaused(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang=%t", gang), func(t *testing.T) {
			i := is.New(t)
			w := newFailingWorkers(t, worker(1))
			w.fails["a"] = true
			s := step()
			s.Tasks, s.Gang = 6, gang
			j := job("a", s)
			j.Queue.MaxAttempts = 3
			w.submit(j)
			for w.starts["a"] < 2*s.Tasks {
				w.run(100 * time.Millisecond)
			}
			w.fails["a"] = false
			w.run(2900 * time.Millisecond)
			i.True(w.starts["a"] > 2*s.Tasks)
		})
	}
}

// Guards against a probe that doesn't count: one that succeeds must open the worker to
// others, and until a result is due there must be no second one.
func TestATaskOfLastResortIsTheProbeOfItsWorker(t *testing.T) {
	i := is.New(t)
	w := newFailingWorkers(t, worker(1))
	w.suspectAll()
	w.submit(job("a", step()))
	w.submit(job("b", step()))
	w.run(2200 * time.Millisecond)
	i.Equal(w.starts["a"]+w.starts["b"], 1)
	x := w.runs["w1"][0]
	w.runs["w1"], w.ends["w1"] = nil, append(w.ends["w1"], sched.EndedRun{
		Number: int64(len(w.ends["w1"]) + 1), Task: x.Task, Run: x.Run, End: sched.EndDone,
	})
	w.run(200 * time.Millisecond)
	i.Equal(w.starts["a"]+w.starts["b"], 2)
}

// Guards against tasks that wait for seconds for the end of another one that takes long.
func TestTasksDoNotWaitForTheEndOfALongProbe(t *testing.T) {
	lasting := step()
	lasting.Lasting, lasting.Tasks = true, 3
	gang := step()
	gang.Gang, gang.Tasks = true, 2
	rows := []struct {
		name   string
		step   sched.Step
		starts int
	}{
		{"a task", step(), 1},
		{"a gang", gang, 2},
		{"lasting tasks", lasting, 3},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			w := newFailingWorkers(t, worker(1))
			w.suspectAll()
			probe := step()
			probe.Lasting = true
			w.submit(job("probe", probe))
			w.run(100 * time.Millisecond)
			w.submit(job("a", row.step))
			w.submit(job("b", row.step))
			w.run(2400 * time.Millisecond)
			i.Equal(w.starts["probe"], 1)
			i.Equal(w.starts["a"]+w.starts["b"], 0)
			w.run(500 * time.Millisecond)
			i.Equal(w.starts["a"], row.starts)
			i.Equal(w.starts["b"], row.starts)
		})
	}
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
