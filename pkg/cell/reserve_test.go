package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// busyRig drives a planner whose workers are kept full by small tasks of about a second,
// of which more are submitted all the time than there is room for.
type busyRig struct {
	*rig
	workers   map[sched.InstanceID]*modelWorker
	endsAt    map[sched.TaskRef]time.Time
	submitted int
	// startedAt holds when each task of the other jobs has started last.
	startedAt map[sched.TaskRef]time.Time
	// gone holds the workers that don't answer any more.
	gone map[sched.InstanceID]bool
}

func newBusyRig(t *testing.T, workers int) *busyRig {
	r := &busyRig{
		rig: newRig(t), workers: map[sched.InstanceID]*modelWorker{}, endsAt: map[sched.TaskRef]time.Time{},
		startedAt: map[sched.TaskRef]time.Time{}, gone: map[sched.InstanceID]bool{},
	}
	for n := range workers {
		r.workers[worker(n).ID] = &modelWorker{last: map[sched.TaskRef]sched.RunNumber{}}
		r.list(worker(n))
	}
	return r
}

// wait lets the time pass in steps of 20 ms. Each step submits up to four small tasks while
// 40 of them wait or run for each worker.
func (r *busyRig) wait(d time.Duration) {
	for until := r.now.Add(d); r.now.Before(until); {
		for k := 0; k < 4 && len(r.endsAt) < 40*len(r.workers); k++ {
			r.submitted++
			j := job(fmt.Sprint("small", r.submitted), step())
			r.submit(j)
			r.endsAt[sched.TaskRef{Job: j.ID}] = time.Time{}
		}
		r.pass(20 * time.Millisecond)
		r.exchangeAll()
		r.commit()
		for _, s := range r.starts() {
			r.carryOut(s)
		}
	}
}

// exchangeAll ends the small tasks that are over and answers all pending exchanges.
func (r *busyRig) exchangeAll() {
	for _, l := range r.effects.Leases {
		w := r.workers[l.Worker.ID]
		if r.gone[l.Worker.ID] {
			r.exchange(l.Worker.ID, sched.LeaseAnswer{}, errLost)
			continue
		}
		for k := len(w.running) - 1; k >= 0; k-- {
			if at := r.endsAt[w.running[k].Order.Task]; !at.IsZero() && r.now.After(at) {
				delete(r.endsAt, w.running[k].Order.Task)
				w.end(k, sched.EndDone)
			}
		}
		a := sched.LeaseAnswer{Ended: w.ended[l.Order.RecordedEnd:]}
		for _, x := range w.running {
			a.Running = append(a.Running, running(x, 10))
		}
		r.exchange(l.Worker.ID, a, nil)
	}
}

// carryOut starts a run on its worker. Small tasks take 0.9 to 1.5 s, so that they
// don't all end at the same time.
func (r *busyRig) carryOut(s cell.StartCall) {
	if r.gone[s.Worker.ID] {
		r.start(s, errLost)
		return
	}
	r.workers[s.Worker.ID].accept(s)
	r.start(s, nil)
	if _, small := r.endsAt[s.Order.Task]; !small {
		r.startedAt[s.Order.Task] = r.now
		return
	}
	r.endsAt[s.Order.Task] = r.now.Add(900*time.Millisecond + time.Duration(len(s.Order.Task.Job)*7+r.submitted*97%600)*time.Millisecond)
}

// Guards against a lasting task that waits for as long as smaller tasks take each bit of
// room that becomes free.
func TestALastingTaskStartsOnFullWorkers(t *testing.T) {
	i := is.New(t)
	r := newBusyRig(t, 4)
	r.wait(4 * time.Second)
	s := step()
	s.Lasting, s.Needs.Processors, s.Tasks = true, 4000, 3
	submitted := r.now
	r.submit(job("last", s))
	r.wait(12 * time.Second)
	i.Equal(len(r.startedAt), 3)
	for _, at := range r.startedAt {
		i.True(at.Sub(submitted) < 6*time.Second)
	}
}
