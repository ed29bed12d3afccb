package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against an acknowledgement that reaches another incarnation than the one whose ends it means: the worker would forget
// an end that it has never listed, and the task would run again.
func TestAnAcknowledgementIsOfOneIncarnation(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	r.submit(job("a", step()))
	r.commit()
	first := r.starts()[0]
	r.start(first, nil)
	r.pass(time.Second)
	r.exchange("w1", sched.LeaseAnswer{Ended: []sched.EndedRun{ended(first, sched.EndDone)}}, nil)
	r.commit()
	r.pass(time.Second)
	i.Equal(r.exchange("w1", sched.LeaseAnswer{}, nil).RecordedEnd, int64(1))

	// The worker restarts under its id, and the answer to a start order is lost.
	r.submit(job("b", step()))
	r.pass(25 * time.Millisecond)
	r.commit()
	second := r.starts()[0]
	r.start(second, errLost)
	r.pass(time.Second)
	e := ended(second, sched.EndDone)
	e.Number = 1
	o := r.exchange("w1", sched.LeaseAnswer{
		OrderAnswer: sched.OrderAnswer{Incarnation: 2}, Ended: []sched.EndedRun{e},
	}, nil)
	i.Equal(o.RecordedEnd, int64(0))
	r.commit()
	s, _ := r.planner.State(r.now, "b")
	i.Equal(s, sched.JobCompleted)
	i.Equal(len(r.starts()), 0)
}

// Guards against acknowledgements that are held back for good by one start order without an answer.
func TestAnAcknowledgementFollowsOnceAllStartsAreSettled(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	r.submit(job("a", step()))
	r.submit(job("b", step()))
	r.commit()
	s := r.starts()
	r.start(s[0], nil)
	r.start(s[1], errLost)
	r.pass(time.Millisecond)
	e := ended(s[0], sched.EndDone)
	r.exchange("w1", sched.LeaseAnswer{Ended: []sched.EndedRun{e}, Running: []sched.RunningRun{running(s[1], 10)}}, nil)
	r.commit()
	r.pass(time.Second)
	i.Equal(r.exchange("w1", sched.LeaseAnswer{Running: []sched.RunningRun{running(s[1], 50)}}, nil).RecordedEnd, int64(1))
}
