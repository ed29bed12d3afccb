package cell_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/jobs"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// recorded returns the recorded state of the first task of a job.
func (r *rig) recorded(id sched.JobID) jobs.Task {
	r.t.Helper()
	for _, j := range r.restore() {
		if j.ID == id && j.Occurrences[0] != nil {
			return j.Occurrences[0].Steps[0].Tasks[0]
		}
	}
	r.t.Fatalf("job %s isn't recorded or has ended", id)
	return jobs.Task{}
}

// timeOut ends a start order without an answer.
func (r *rig) timeOut(s cell.StartCall, sent time.Time) {
	r.planner.Started(r.now, cell.StartResult{
		Result: cell.Result{Worker: s.Worker.ID, Token: s.Order.Token, Sent: sent, Received: r.now, Err: context.DeadlineExceeded},
		Key:    keyOf(s),
	})
	r.settle()
}

// timeOutExchange ends the pending exchange with a worker without an answer.
func (r *rig) timeOutExchange(id sched.InstanceID, sent time.Time) {
	for k, l := range r.effects.Leases {
		if l.Worker.ID == id {
			r.effects.Leases = append(r.effects.Leases[:k:k], r.effects.Leases[k+1:]...)
			r.planner.Leased(r.now, cell.LeaseResult{Result: cell.Result{
				Worker: id, Token: l.Order.Token, Sent: sent, Received: r.now, Err: context.DeadlineExceeded,
			}})
			r.settle()
			return
		}
	}
	r.t.Fatalf("no lease order to %s is pending", id)
}

// startJob submits a job with one task and returns its start order, sent now.
func (r *rig) startJob(id string) cell.StartCall {
	r.t.Helper()
	r.submit(job(id, step()))
	r.pass(25 * time.Millisecond)
	r.commit()
	s := r.starts()
	if len(s) != 1 {
		r.t.Fatalf("%d start orders are pending", len(s))
	}
	return s[0]
}

// restart begins a new incarnation of a worker, which lists no run.
func (r *rig) restart(w sched.Worker) {
	w.Incarnation++
	r.planner.Listed(r.now, w)
	for range 3 {
		r.pass(300 * time.Millisecond)
		for _, l := range r.effects.Leases {
			if l.Worker.ID == w.ID {
				r.exchange(w.ID, sched.LeaseAnswer{OrderAnswer: sched.OrderAnswer{Incarnation: w.Incarnation}}, nil)
				break
			}
		}
	}
	r.commit()
}

// Guards against a crash that counts for the start that timed out first, not for the run that crashed the worker before.
func TestACrashCountsForTheRunThatHadStartedWhenTheWorkerFellSilent(t *testing.T) {
	rows := []struct {
		name  string
		pause time.Duration // until the later start is ordered
	}{
		{"order sent while the worker may still wait", 500 * time.Millisecond},
		{"order sent after it should have answered", 1200 * time.Millisecond},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			r := newRig(t)
			r.list(worker(1))
			r.start(r.startJob("bad"), nil)
			r.pass(70 * time.Millisecond)
			exchanged := r.now // the worker has crashed just before
			r.pass(row.pause)
			later := r.startJob("later")
			ordered := r.now
			r.pass(320 * time.Millisecond)
			r.timeOut(later, ordered)
			r.pass(exchanged.Add(1900 * time.Millisecond).Sub(r.now))
			r.timeOutExchange("w1", exchanged)
			r.restart(worker(1))
			bad, innocent := r.recorded("bad"), r.recorded("later")
			i.True(bad.Suspect)
			i.Equal(bad.Crashes, 1)
			i.Equal(innocent.Crashes, 0)
		})
	}
}

// Guards against a job that fails though it may never have run on the second of the workers that crashed.
func TestAnUnansweredStartAloneGivesNoTaskUp(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	r.start(r.startJob("a"), nil)
	r.restart(worker(1))
	i.Equal(r.recorded("a").Crashes, 1)
	again := r.starts()
	i.Equal(len(again), 1)
	r.pass(320 * time.Millisecond)
	r.timeOut(again[0], r.now.Add(-320*time.Millisecond))
	w := worker(1)
	w.Incarnation++
	r.restart(w)
	i.Equal(r.recorded("a").Crashes, 2)
	state, _ := r.planner.State(r.now, "a")
	i.Equal(state, sched.JobActive)
}

// Guards against a crash that counts for a run which another worker at the address has refused to start.
func TestARefusedStartIsHeldAgainstNoTask(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	r.start(r.startJob("bad"), nil)
	r.refuse(r.startJob("later"), sched.RefusedIdentity)
	r.commit()
	i.Equal(r.recorded("bad").Crashes, 1)
	i.True(!r.recorded("later").Suspect)
}

// Guards against a gang whose crashes count or not by which of its members is looked at first.
func TestACrashUnderAGangCountsIfOneMemberHasStarted(t *testing.T) {
	for n := range 20 {
		i := is.New(t)
		r := newRig(t)
		r.list(worker(1))
		r.start(r.startJob("other"), nil)
		gang := step()
		gang.Tasks, gang.Gang = 2, true
		r.submit(job("gang", gang))
		r.pass(25 * time.Millisecond)
		r.commit()
		s := r.starts()
		i.Equal(len(s), 2)
		r.start(s[n%2], nil)
		r.restart(worker(1))
		i.Equal(r.recorded("gang").Crashes, 1)
	}
}
