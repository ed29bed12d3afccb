package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against starts beyond the attempts of a task whose run failed on a worker that
// didn't answer, so that the end was listed only after the run had been given up.
func TestAFailureListedAfterItsRunWasGivenUpCounts(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1), worker(2))
	r.submit(job("a", step()))
	r.commit()
	first := r.starts()[0]
	r.start(first, nil)
	r.commit()
	for range 200 {
		r.pass(100 * time.Millisecond)
		for _, l := range r.effects.Leases {
			if l.Worker.ID == first.Worker.ID {
				r.exchange(first.Worker.ID, sched.LeaseAnswer{}, errLost)
				break
			}
		}
		if r.commit(); len(r.effects.Starts) > 0 {
			break
		}
	}
	second := r.starts()[0]
	i.Equal(second.Order.Run, sched.RunNumber(2))
	r.start(second, nil)
	r.commit()
	r.pass(time.Second)
	for range 2 { // the end is listed again until it is acknowledged
		r.exchange(first.Worker.ID, sched.LeaseAnswer{Ended: []sched.EndedRun{ended(first, sched.EndFailed)}}, nil)
		r.pass(time.Second)
	}
	state, _ := r.planner.State(r.now, "a")
	i.Equal(state, sched.JobActive) // the queue allows two attempts
	r.exchange(second.Worker.ID, sched.LeaseAnswer{Ended: []sched.EndedRun{ended(second, sched.EndFailed)}}, nil)
	r.pass(25 * time.Millisecond)
	r.commit()
	i.Equal(len(r.starts()), 0)
	state, _ = r.planner.State(r.now, "a")
	i.Equal(state, sched.JobFailed)
}
