package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/fleet"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// knowList tells the planner that its list of workers is complete, and waits until it is sure of that.
func (r *rig) knowList() {
	r.planner.ListComplete(r.now)
	r.pass(fleet.Grace)
}

// Guards against a job that is accepted and never runs, since no worker of its cell could run one of its steps.
func TestAJobThatNoWorkerOfTheCellCouldRunIsRefused(t *testing.T) {
	other, marked, large, second := worker(1), step(), step(), step()
	other.Service, marked.Label, large.Needs.Processors = "other", "b", 16001
	second.Label, second.After = "b", []int{0}
	tables := []struct {
		name    string
		workers []sched.Worker
		steps   []sched.Step
	}{
		{"no worker", nil, []sched.Step{step()}},
		{"none of the service", []sched.Worker{other}, []sched.Step{step()}},
		{"none with the label", []sched.Worker{worker(1)}, []sched.Step{marked}},
		{"none large enough", []sched.Worker{worker(1)}, []sched.Step{large}},
		{"none for a later step", []sched.Worker{worker(1)}, []sched.Step{step(), second}},
	}
	for _, x := range tables {
		t.Run(x.name, func(t *testing.T) {
			i := is.New(t)
			r := newRig(t)
			r.list(x.workers...)
			r.knowList()
			k := r.submit(job("a", x.steps...))
			r.commit()
			r.pass(time.Millisecond)
			i.Equal(r.replies[k].Code, sched.CodeNoWorker)
			i.True(r.replies[k].RetryAfter > 0)
			i.Equal(len(r.records), 0)
			i.Equal(r.planner.Stats().Refused, int64(1))
		})
	}
}

// Guards against refusing a job that may run soon, or that another planner may have accepted.
func TestAJobThatAWorkerMayRunIsAccepted(t *testing.T) {
	tables := []struct {
		name  string
		begin func(r *rig)
	}{
		{"the list isn't known yet", func(*rig) {}},
		{"the list has just been read", func(r *rig) {
			r.planner.ListComplete(r.now)
			r.pass(fleet.Grace - time.Millisecond)
		}},
		{"a planner has just taken over", func(r *rig) {
			r.knowList()
			r.succeed(nil, 2)
			r.planner.ListComplete(r.now)
		}},
		{"the worker has just left", func(r *rig) {
			r.list(worker(1))
			r.knowList()
			r.planner.Unlisted(r.now, "w1")
			r.pass(fleet.Grace - time.Millisecond)
		}},
		{"workers are replaced one by one", func(r *rig) {
			r.list(worker(1))
			r.knowList()
			for n := range 4 {
				r.planner.Unlisted(r.now, worker(n+1).ID)
				r.pass(fleet.Grace - time.Second)
				r.planner.Listed(r.now, worker(n+2))
				r.pass(time.Second)
			}
			r.planner.Unlisted(r.now, worker(5).ID)
			r.pass(time.Second)
		}},
		{"the worker is silent", func(r *rig) {
			r.list(worker(1))
			r.knowList()
			r.pass(time.Minute)
			r.exchange("w1", sched.LeaseAnswer{}, errLost)
		}},
		{"the worker is draining", func(r *rig) {
			w := worker(1)
			w.Draining = true
			r.list(w)
			r.knowList()
		}},
		{"the capacity has shrunk", func(r *rig) {
			r.list(worker(1))
			r.knowList()
			w := worker(1)
			w.Capacity.Processors = 500
			r.planner.Listed(r.now, w)
			r.pass(time.Minute)
		}},
		{"the worker is full", func(r *rig) {
			r.list(worker(1))
			s := step()
			s.Needs = worker(1).Capacity
			r.submit(job("full", s))
			r.commit()
			r.knowList()
		}},
	}
	for _, x := range tables {
		t.Run(x.name, func(t *testing.T) {
			i := is.New(t)
			r := newRig(t)
			x.begin(r)
			k := r.submit(job("a", step()))
			r.commit()
			i.Equal(r.replies[k].Code, sched.CodeAccepted)
		})
	}
}

// Guards against dropping an accepted job, or denying it to its caller, once the last worker that could run it has left.
func TestAnAcceptedJobStaysWhenItsWorkersLeave(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	r.knowList()
	r.submit(job("a", step()))
	r.commit()
	r.start(r.starts()[0], nil)
	r.planner.Unlisted(r.now, "w1")
	r.pass(time.Hour)
	k := r.submit(job("a", step()))
	n := r.submit(job("b", step()))
	r.commit()
	r.pass(time.Millisecond)
	i.Equal(r.replies[k].Code, sched.CodeAccepted)
	i.Equal(r.replies[n].Code, sched.CodeNoWorker)
	s, sure := r.planner.State(r.now, "a")
	i.True(sure)
	i.Equal(s, sched.JobActive)
}

// Guards against a refusal by a planner that doesn't know yet that another one has taken over and accepted the job.
func TestARefusalForWantOfWorkersNeedsAProof(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.knowList()
	r.now = r.now.Add(time.Millisecond)
	k := r.submit(job("a", step()))
	r.settle()
	_, replied := r.replies[k]
	i.True(!replied)
	r.planner.Proven(r.now.Add(-time.Microsecond))
	r.settle()
	_, replied = r.replies[k]
	i.True(!replied)
	r.planner.Proven(r.now)
	r.settle()
	i.Equal(r.replies[k].Code, sched.CodeNoWorker)
}

// Guards against another reason than the store's for a refusal while the store doesn't answer.
func TestAnOutageIsGivenAsTheReasonBeforeTheWorkers(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.knowList()
	r.planner.StoreUnavailable(time.Second)
	k := r.submit(job("a", step()))
	r.settle()
	i.Equal(r.replies[k].Code, sched.CodeLogUnavailable)
}
