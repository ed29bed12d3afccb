package cell_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/jobs"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

func keyOf(s cell.StartCall) hosts.Key { return hosts.Key{Task: s.Order.Task, Run: s.Order.Run} }

func running(s cell.StartCall, percent int) sched.RunningRun {
	return sched.RunningRun{Task: s.Order.Task, Run: s.Order.Run, Percent: percent}
}

// ended is the first end that a worker reports in its life.
func ended(s cell.StartCall, e sched.RunEnd) sched.EndedRun {
	return sched.EndedRun{Number: 1, Task: s.Order.Task, Run: s.Order.Run, End: e}
}

var errLost = errors.New("answer lost")

// Guards against a reply, a state or a start order that is given out before the
// record of the job is durable.
func TestNothingShowsBeforeItIsRecorded(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	k := r.submit(job("a", step()))
	r.settle()
	i.True(r.flight)
	i.Equal(len(r.replies), 0)
	i.Equal(len(r.effects.Starts), 0)
	s, _ := r.planner.State(r.now, "a")
	i.Equal(s, sched.JobState(0))
	r.commit()
	i.Equal(r.replies[k].Code, sched.CodeAccepted)
	i.Equal(len(r.effects.Starts), 1)
}

// Guards against acknowledging an end before it is durable: the worker would
// forget the end, and a planner that takes over would start the task again.
func TestEndsAreAcknowledgedOnceTheyAreRecorded(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	r.submit(job("a", step()))
	r.commit()
	s := r.starts()[0]
	r.start(s, nil)
	r.commit()
	r.pass(time.Second)
	r.exchange("w1", sched.LeaseAnswer{Ended: []sched.EndedRun{ended(s, sched.EndDone)}}, nil)
	i.True(r.flight)
	r.pass(time.Second)
	o := r.exchange("w1", sched.LeaseAnswer{Ended: []sched.EndedRun{ended(s, sched.EndDone)}}, nil)
	i.Equal(o.RecordedEnd, int64(0))
	state, _ := r.planner.State(r.now, "a")
	i.Equal(state, sched.JobActive)
	r.commit()
	state, _ = r.planner.State(r.now, "a")
	i.Equal(state, sched.JobCompleted)
	r.pass(time.Second)
	o = r.exchange("w1", sched.LeaseAnswer{}, nil)
	i.Equal(o.RecordedEnd, int64(1))
}

// Guards against a second run of a task whose start order had no answer and may
// still be carried out. The next exchange carries a higher token, which makes the
// order void, and only its answer lets the task start again.
func TestAStartWithoutAnswerIsSettledByAHigherToken(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1), worker(2))
	r.submit(job("a", step()))
	r.commit()
	s := r.starts()[0]
	r.start(s, errLost)
	r.commit()
	i.Equal(len(r.starts()), 0)
	r.pass(time.Millisecond)
	o := r.exchange(s.Worker.ID, sched.LeaseAnswer{}, nil)
	i.True(o.Token > s.Order.Token)
	r.pass(25 * time.Millisecond) // the least time between placements is 20 ms
	r.commit()
	again := r.starts()
	i.Equal(len(again), 1)
	i.Equal(again[0].Order.Run, s.Order.Run+1)
}

// Guards against a worker that stays unused after it left the list and came back.
// It remembers the highest token that it saw, so a planner whose count starts
// again at 0 is refused for good.
func TestAWorkerThatComesBackGetsAHigherToken(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	r.submit(job("a", step()))
	r.commit()
	s := r.starts()[0]
	r.start(s, errLost)
	r.pass(time.Millisecond)
	last := r.exchange("w1", sched.LeaseAnswer{Running: []sched.RunningRun{running(s, 50)}}, nil)
	i.True(last.Token > s.Order.Token)
	r.planner.Unlisted(r.now, "w1")
	r.pass(time.Second)
	r.exchange("w1", sched.LeaseAnswer{Ended: []sched.EndedRun{ended(s, sched.EndDone)}}, nil)
	r.commit()
	r.pass(time.Second) // the worker has no runs, so the planner drops it
	r.planner.Listed(r.now, worker(1))
	r.pass(time.Millisecond)
	i.True(r.exchange("w1", sched.LeaseAnswer{}, nil).Token >= last.Token)
}

// Guards against a planner that keeps sending a token which a worker refuses
// because it has seen a higher one.
func TestARefusedTokenIsBumped(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.planner.Listed(r.now, worker(1))
	r.pass(time.Millisecond)
	refused := r.exchange("w1", sched.LeaseAnswer{OrderAnswer: sched.OrderAnswer{Refusal: sched.RefusedToken}}, nil)
	r.pass(time.Second)
	i.True(r.exchange("w1", sched.LeaseAnswer{}, nil).Token > refused.Token)
}

// restore decodes the jobs from the recorded values, as is done for a planner that
// takes over.
func (r *rig) restore() []*jobs.Job {
	var out []*jobs.Job
	for key, value := range r.records {
		if len(key) < len(cell.RunPrefix) || key[:len(cell.RunPrefix)] != cell.RunPrefix {
			continue
		}
		id := sched.JobID(key[len(cell.RunPrefix):])
		s := sched.Job{ID: id}
		if data := r.records[cell.JobPrefix+string(id)]; len(data) > 0 {
			var err error
			if s, err = codec.DecodeJob(id, data); err != nil {
				r.t.Fatal(err)
			}
		}
		j := jobs.New(s)
		if err := codec.DecodeProgress(j, value); err != nil {
			r.t.Fatal(err)
		}
		out = append(out, j)
	}
	return out
}

// Guards against a second run of a task on a worker which the new planner can't
// reach: the first run may go on until the last lease that the old planner granted
// has ended.
func TestANewPlannerWaitsForWorkersItCantReach(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	r.submit(job("a", step()))
	r.commit()
	r.start(r.starts()[0], nil)
	r.commit()
	r.succeed(r.restore(), 9)
	r.planner.Listed(r.now, worker(1))
	r.planner.Listed(r.now, worker(2))
	r.pass(time.Millisecond)
	r.exchange("w1", sched.LeaseAnswer{}, errLost)
	r.exchange("w2", sched.LeaseAnswer{}, nil)
	began := r.now
	for len(r.effects.Starts) == 0 && r.now.Sub(began) < time.Minute {
		r.pass(100 * time.Millisecond)
		for _, l := range r.effects.Leases {
			if l.Worker.ID == "w1" {
				r.exchange("w1", sched.LeaseAnswer{}, errLost)
			}
		}
		r.commit()
	}
	i.Equal(len(r.effects.Starts), 1)
	i.Equal(r.effects.Starts[0].Order.Run, sched.RunNumber(2))
	// The old planner may have renewed the lease of 6 s up to 2.5 s after its
	// last proof. The worker's clock may be 2% slow besides.
	i.True(r.now.Sub(began) > 8500*time.Millisecond)
}

// Guards against a job that fails before a task has used up its attempts, and
// against starts after the job has failed.
func TestAJobFailsAfterItsAttempts(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1), worker(2))
	r.submit(job("a", step()))
	for n := range 2 {
		r.commit()
		s := r.starts()[0]
		i.Equal(s.Order.Run, sched.RunNumber(n+1))
		r.start(s, nil)
		r.commit()
		r.pass(time.Second)
		e := sched.LeaseAnswer{Ended: []sched.EndedRun{ended(s, sched.EndFailed)}}
		r.exchange(s.Worker.ID, e, nil)
	}
	r.commit()
	i.Equal(len(r.starts()), 0)
	state, _ := r.planner.State(r.now, "a")
	i.Equal(state, sched.JobFailed)
}

// Guards against a cancel that is acknowledged before it is durable, and against
// starts and runs of the job after the acknowledgement.
func TestACancelledJobStopsAndStartsNothing(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	j := job("a", step(), step())
	j.Steps[1].After = []int{0}
	r.submit(j)
	r.commit()
	s := r.starts()[0]
	r.start(s, nil)
	r.commit()
	r.ticket++
	r.planner.Cancel(r.now, r.ticket, "a")
	r.settle()
	_, replied := r.replies[r.ticket]
	i.True(!replied)
	r.commit()
	i.Equal(r.replies[r.ticket].Code, sched.CodeAccepted)
	i.Equal(len(r.effects.Stops), 1)
	r.pass(time.Second)
	r.exchange("w1", sched.LeaseAnswer{Ended: []sched.EndedRun{ended(s, sched.EndDone)}}, nil)
	r.commit()
	i.Equal(len(r.starts()), 0)
	state, _ := r.planner.State(r.now, "a")
	i.Equal(state, sched.JobCancelled)
}

// Guards against a planner that denies a job which its successor has accepted
// meanwhile: the caller got a 410.
func TestAnUnknownJobIsDeniedOnlyWithAProof(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	_, sure := r.planner.State(r.now, "x")
	i.True(sure)
	r.now = r.now.Add(2 * time.Second)
	_, sure = r.planner.State(r.now, "x")
	i.True(!sure)
	r.ticket++
	r.planner.Cancel(r.now, r.ticket, "x")
	r.settle()
	_, replied := r.replies[r.ticket]
	i.True(!replied)
	r.planner.Proven(r.now.Add(time.Millisecond))
	r.settle()
	i.Equal(r.replies[r.ticket].Code, sched.CodeUnknownTask)
}

// Guards against a planner that has lost its cell unnoticed and reports no pending
// jobs while its successor has accepted some. With 100 instances, 0 were reported
// while 6 were pending.
func TestWaitingJobsAreCountedOnlyWithAProof(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.submit(job("a", step())) // there is no worker
	r.commit()
	n, sure := r.planner.Pending(r.now)
	i.True(sure)
	i.Equal(n[queue.Name], 1)
	_, sure = r.planner.Pending(r.now.Add(2 * time.Second))
	i.True(!sure)
}

// Guards against refusing a job as not run whose record may be in the store: in an
// outage only jobs that aren't part of the batch in flight are refused.
func TestAnOutageRefusesWhatIsNotOnItsWay(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	first := r.submit(job("a", step()))
	r.settle()
	i.True(r.flight)
	second := r.submit(job("b", step()))
	r.settle()
	r.now = r.now.Add(time.Second)
	r.planner.StoreUnavailable(time.Second)
	r.settle()
	_, replied := r.replies[first]
	i.True(!replied)
	i.Equal(r.replies[second].Code, sched.CodeLogUnavailable)
	r.commit()
	i.Equal(r.replies[first].Code, sched.CodeAccepted)
	for _, s := range r.starts() {
		i.Equal(s.Order.Task.Job, sched.JobID("a")) // the refused job must not run
	}
}
