package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a start order that goes to another incarnation than that for which the
// run was placed, and that counts as a crash if it is lost.
func TestARunPlacedBeforeARestartIsPlacedAgain(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	r.submit(job("a", step()))
	r.settle() // the record of the run is in flight
	restarted := worker(1)
	restarted.Incarnation = 2
	r.planner.Listed(r.now, restarted)
	r.pass(50 * time.Millisecond)
	r.exchange("w1", sched.LeaseAnswer{}, nil)
	r.commit()
	r.pass(50 * time.Millisecond)
	r.commit()
	s := r.starts()
	i.Equal(len(s), 1)
	i.Equal(s[0].Order.Run, sched.RunNumber(2))
	i.Equal(s[0].Worker.Incarnation, int64(2))
	r.start(s[0], errLost)
	r.pass(50 * time.Millisecond)
	r.exchange("w1", sched.LeaseAnswer{}, nil)
	i.Equal(r.planner.Stats().Crashes, int64(0))
}

// Guards against a crash that is judged in two parts, so that runs that had been on the
// worker for seconds are suspects although another one had just started.
func TestACrashNoticedByAnExchangeInFlightIsJudgedOnce(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	r.submit(job("old", step()))
	r.commit()
	old := r.starts()[0]
	r.start(old, nil)
	r.pass(100 * time.Millisecond)
	r.exchange("w1", sched.LeaseAnswer{Running: []sched.RunningRun{running(old, 50)}}, nil)
	// A start without an answer raises the token, so that old has a lower one than new.
	r.submit(job("lost", step()))
	r.pass(100 * time.Millisecond)
	r.commit()
	r.start(r.starts()[0], errLost)
	r.ticket++
	r.planner.Cancel(r.now, r.ticket, "lost")
	r.commit()
	for range 2 {
		r.pass(3 * time.Second)
		r.exchange("w1", sched.LeaseAnswer{Running: []sched.RunningRun{running(old, 50)}}, nil)
	}
	r.submit(job("new", step()))
	r.pass(25 * time.Millisecond)
	r.commit()
	s := r.starts()
	i.Equal(len(s), 1)
	r.start(s[0], nil)
	for range 2 {
		r.pass(100 * time.Millisecond)
		r.exchange("w1", sched.LeaseAnswer{OrderAnswer: sched.OrderAnswer{Incarnation: 2}}, nil)
	}
	r.commit()
	i.Equal(r.planner.Stats().Crashes, int64(1))
	suspects := map[sched.JobID]bool{}
	for _, j := range r.restore() {
		if x := j.Task(sched.TaskRef{Job: j.ID}); x != nil {
			suspects[j.ID] = x.Suspect
		}
	}
	i.True(suspects["new"])
	i.True(!suspects["old"])
}
