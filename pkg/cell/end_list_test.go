package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/jobs"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// listedEnds is the number of ends that a worker lists at a time.
	listedEnds = 500
	// manyTasks have more ends than fit into two lists.
	manyTasks = 1200
)

// endingWorker is a worker that lists the oldest ends only, and forgets those that are
// acknowledged.
type endingWorker struct {
	*rig
	life int64
	// carriedOut counts the start orders that had an effect, by task.
	carriedOut map[sched.TaskRef]int
	running    []cell.StartCall
	ends       []sched.EndedRun
	// lastEnd is the number of the newest end, and listedEnd that of the newest one that was
	// ever listed.
	lastEnd, listedEnd int64
}

func newEndingWorker(t *testing.T) *endingWorker {
	w := &endingWorker{rig: newRig(t), life: 1, carriedOut: map[sched.TaskRef]int{}}
	w.list(worker(1))
	return w
}

// tinyTasks is a step of which all tasks fit on one worker.
func tinyTasks(n int) sched.Step {
	s := withTasks(step(), n)
	s.Needs = sched.Resources{Processors: 10, Memory: 10 << 20}
	return s
}

// carryOut carries out the pending start orders and answers them with the error.
func (w *endingWorker) carryOut(err error) {
	for _, s := range w.starts() {
		w.carriedOut[s.Order.Task]++
		w.running = append(w.running, s)
		s.Worker.Incarnation = w.life
		w.start(s, err)
	}
}

// startMany starts a job with manyTasks. The start orders are answered with the error.
func (w *endingWorker) startMany(err error) {
	w.submit(job("many", tinyTasks(manyTasks)))
	w.commit()
	w.carryOut(err)
	w.commit()
}

// endAll ends all runs.
func (w *endingWorker) endAll(how sched.RunEnd) {
	for _, s := range w.running {
		w.lastEnd++
		e := ended(s, how)
		e.Number = w.lastEnd
		w.ends = append(w.ends, e)
	}
	w.running = nil
}

// answer answers the pending lease order, if there is one.
func (w *endingWorker) answer() {
	w.t.Helper()
	k := slices.IndexFunc(w.effects.Leases, func(l cell.LeaseCall) bool { return l.Worker.ID == "w1" })
	if k < 0 {
		return
	}
	acknowledged := w.effects.Leases[k].Order.RecordedEnd
	if acknowledged > w.listedEnd {
		w.t.Fatalf("end %d is acknowledged, %d is the newest one that was listed", acknowledged, w.listedEnd)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e sched.EndedRun) bool { return e.Number <= acknowledged })
	a := sched.LeaseAnswer{OrderAnswer: sched.OrderAnswer{Incarnation: w.life}, Ended: w.ends[:min(len(w.ends), listedEnds)]}
	for _, s := range w.running {
		a.Running = append(a.Running, running(s, 50))
	}
	if len(a.Ended) > 0 {
		w.listedEnd = max(w.listedEnd, a.Ended[len(a.Ended)-1].Number)
	}
	w.exchange("w1", a, nil)
}

// exchangeFor carries out all orders, and lets batches become durable, for the given time.
func (w *endingWorker) exchangeFor(d time.Duration) {
	w.t.Helper()
	for until := w.now.Add(d); w.now.Before(until); {
		w.pass(20 * time.Millisecond)
		w.carryOut(nil)
		w.answer()
		w.commit()
	}
}

// state returns the state of a job.
func (w *endingWorker) state(id sched.JobID) sched.JobState {
	s, _ := w.planner.State(w.now, id)
	return s
}

// replacePlanner begins the given term with the restored jobs.
func (w *endingWorker) replacePlanner(term sched.Offset, restored []*jobs.Job) {
	w.succeed(restored, term)
	w.planner.Listed(w.now, worker(1))
}

// Guards against a worker that stays unusable for good, with all that ended there, since more runs ended unseen than it lists at
// a time: the rest is listed only after an acknowledgement, which waited for the runs that the rest would have settled.
func TestAWorkerWithMoreEndsThanItListsIsUsedAgain(t *testing.T) {
	tables := []struct {
		name string
		// begin lets more runs end than the worker lists. The planner hasn't seen any of the ends.
		begin func(w *endingWorker)
		// completes is set if the ends are those of the whole job.
		completes bool
	}{
		{"the planner is replaced", func(w *endingWorker) {
			w.startMany(nil)
			w.endAll(sched.EndDone)
			w.replacePlanner(2, w.restore())
		}, true},
		{"the planner is replaced twice", func(w *endingWorker) {
			w.startMany(nil)
			w.endAll(sched.EndDone)
			w.replacePlanner(2, w.restore())
			w.exchangeFor(60 * time.Millisecond)
			w.replacePlanner(3, w.restore())
		}, true},
		{"the answers to the start orders are lost", func(w *endingWorker) {
			w.startMany(errLost)
			w.endAll(sched.EndDone)
		}, true},
		{"another incarnation carries out the start orders", func(w *endingWorker) {
			w.life = 2
			w.startMany(errLost)
			w.endAll(sched.EndDone)
		}, true},
		{"the planner is replaced and the runs of another incarnation have ended", func(w *endingWorker) {
			w.life = 2
			w.startMany(errLost)
			w.endAll(sched.EndDone)
			w.replacePlanner(2, w.restore())
		}, true},
		{"the planner doesn't know the runs", func(w *endingWorker) {
			w.startMany(nil)
			w.endAll(sched.EndDone)
			w.replacePlanner(2, nil)
		}, false},
		{"the lease ends while there is no planner", func(w *endingWorker) {
			w.startMany(nil)
			w.endAll(sched.EndLeaseExpired)
			w.replacePlanner(2, w.restore())
		}, false},
		{"the lease ends while the worker can't be reached", func(w *endingWorker) {
			w.startMany(nil)
			for until := w.now.Add(10 * time.Second); w.now.Before(until); w.commit() {
				w.pass(100 * time.Millisecond)
				if len(w.effects.Leases) > 0 {
					w.exchange("w1", sched.LeaseAnswer{}, errLost)
				}
			}
			w.endAll(sched.EndLeaseExpired)
		}, false},
	}
	for _, x := range tables {
		t.Run(x.name, func(t *testing.T) {
			i := is.New(t)
			w := newEndingWorker(t)
			x.begin(w)
			w.exchangeFor(2 * time.Second)
			if x.completes {
				i.Equal(w.state("many"), sched.JobCompleted)
			}
			for task, n := range w.carriedOut {
				i.True(n == 1 || !x.completes && n == 2) // a task whose run has lapsed runs again, once
				i.Equal(task.Job, sched.JobID("many"))
			}
			i.Equal(len(w.ends), 0) // all acknowledged
			i.Equal(w.planner.UnknownWorkers(), 0)
			entry := worker(1)
			entry.Incarnation = w.life
			w.planner.Listed(w.now, entry)
			w.submit(job("later", step()))
			w.pass(20 * time.Millisecond)
			w.commit()
			later := slices.ContainsFunc(w.starts(), func(s cell.StartCall) bool { return s.Order.Task.Job == "later" })
			i.True(later)
		})
	}
}

// Guards against a full list that stays full for as long as start orders don't reach the worker: each one holds acknowledgements
// back, and further ones follow. A job must not stand still for 3 s.
func TestNothingStartsOnAWorkerThatMayHaveMoreEnds(t *testing.T) {
	i := is.New(t)
	w := newEndingWorker(t)
	w.startMany(nil)
	w.endAll(sched.EndDone)
	const (
		tick        = 20 * time.Millisecond
		ticksPerJob = 5
		answerLimit = 900 * time.Millisecond
		standstill  = 3 * time.Second
	)
	type unanswered struct {
		call cell.StartCall
		at   time.Time
	}
	var calls []unanswered
	for n := range int(standstill / tick) {
		if n%ticksPerJob == 0 {
			w.submit(job(fmt.Sprint(n), tinyTasks(1)))
		}
		w.pass(tick)
		for _, s := range w.starts() {
			calls = append(calls, unanswered{s, w.now})
		}
		for len(calls) > 0 && w.now.Sub(calls[0].at) >= answerLimit {
			w.start(calls[0].call, errLost)
			calls = calls[1:]
		}
		if n > ticksPerJob { // the first orders without an answer precede the first list
			w.answer()
		}
		w.commit()
	}
	i.Equal(w.state("many"), sched.JobCompleted)
}

// Guards against a worker that takes no tasks for long without a log line, a figure or an explanation that tells why.
func TestAWorkerWhoseRunsAreNotKnownIsReported(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	core, lines := observer.New(zap.InfoLevel)
	o := options(1)
	o.Log = zap.New(core)
	r.planner = cell.New(r.now, nil, o)
	r.list(worker(1))
	other := job("other", step())
	list := func(a sched.LeaseAnswer, until time.Duration) {
		for end := r.now.Add(until); r.now.Before(end); {
			r.pass(100 * time.Millisecond)
			if len(r.effects.Leases) > 0 {
				r.exchange("w1", a, nil)
			}
			r.commit()
		}
	}
	list(sched.LeaseAnswer{}, 9*time.Second)
	i.Equal(r.planner.UnknownWorkers(), 0)

	stray := sched.RunningRun{Task: sched.TaskRef{Job: "stray"}, Run: 1}
	list(sched.LeaseAnswer{Running: []sched.RunningRun{stray}}, 12*time.Second)
	i.Equal(r.planner.UnknownWorkers(), 1)
	e, known := r.planner.Explain(r.now, "other", &other)
	i.True(known)
	i.Equal(e.Steps[0].Obstacles, map[string]int{"runsUnknown": 1})
	i.Equal(lines.FilterMessage("workerRunsUnknown").Len(), 1)

	list(sched.LeaseAnswer{}, time.Second)
	i.Equal(r.planner.UnknownWorkers(), 0)
	i.Equal(lines.FilterMessage("workerRunsKnown").Len(), 1)
}

// Guards against an acknowledgement that makes a later incarnation forget ends of its own: a full list must not let it be sent
// while a start order that had no answer may still be carried out.
func TestAFullListIsAcknowledgedOnceNoStartOrderMayBeCarriedOut(t *testing.T) {
	i := is.New(t)
	w := newEndingWorker(t)
	w.startMany(nil)
	w.submit(job("lost", step()))
	w.pass(100 * time.Millisecond)
	w.commit()
	lost := w.starts()
	i.Equal(len(lost), 1)
	w.endAll(sched.EndDone)
	i.Equal(w.effects.Leases[0].Order.Token, lost[0].Order.Token)
	w.answer()
	w.commit()
	i.Equal(w.listedEnd, int64(listedEnds))
	w.start(lost[0], errLost)
	w.pass(time.Second)
	i.Equal(w.effects.Leases[0].Order.RecordedEnd, int64(0))
	i.True(w.effects.Leases[0].Order.Token > lost[0].Order.Token)
	w.answer()
	w.pass(time.Second)
	i.Equal(w.effects.Leases[0].Order.RecordedEnd, int64(listedEnds))
	i.Equal(w.effects.Leases[0].Order.Wait, time.Duration(0)) // further ends are there already
}

// Guards against ends that are acknowledged, or a worker that is used again, before the ends in a full list are durable.
func TestAFullListWaitsForTheStore(t *testing.T) {
	i := is.New(t)
	w := newEndingWorker(t)
	w.startMany(nil)
	w.endAll(sched.EndDone)
	w.replacePlanner(2, w.restore())
	for range 150 { // 3 s, in which no batch becomes durable
		w.pass(20 * time.Millisecond)
		w.answer()
	}
	i.Equal(len(w.ends), manyTasks)
	i.Equal(w.planner.UnknownWorkers(), 1)
	w.exchangeFor(2 * time.Second)
	i.Equal(w.state("many"), sched.JobCompleted)
	i.Equal(len(w.ends), 0)
}
