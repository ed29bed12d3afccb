package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// newLimitedRig returns a rig whose store takes batches of the given size, in bytes.
func newLimitedRig(t *testing.T, limit int) *rig {
	r := newRig(t)
	o := options(1)
	o.BatchLimit = limit
	r.planner = cell.New(r.now, nil, o)
	return r
}

// Guards against a batch that the store refuses for its size, after which nothing of the
// cell is recorded any more.
func TestABatchIsNoLargerThanTheStoreTakes(t *testing.T) {
	i := is.New(t)
	const limit = 300
	r := newLimitedRig(t, limit)
	r.list(worker(1))
	var tickets []cell.Ticket
	for k := range 12 {
		tickets = append(tickets, r.submit(job(fmt.Sprint("j", k), step())))
	}
	batches := 0
	for {
		r.planner.Place(r.now)
		r.planner.Flush(r.now)
		e := r.planner.TakeEffects()
		size := 0
		for _, x := range e.Append {
			size += len(x.Key) + len(x.Value)
		}
		i.True(size <= limit)
		for _, x := range e.Replies {
			r.replies[x.Ticket] = x.Verdict
		}
		if len(e.Append) == 0 {
			break
		}
		batches++
		r.now = r.now.Add(time.Millisecond)
		r.planner.Appended(r.now, r.now)
	}
	i.True(batches > 1)
	for _, k := range tickets {
		i.Equal(r.replies[k].Code, sched.CodeAccepted)
	}
}

// Guards against an end that is acknowledged with a batch that has no space for it.
func TestEndsWaitForTheBatchWithTheirRecord(t *testing.T) {
	i := is.New(t)
	r := newLimitedRig(t, 100)
	r.list(worker(1), worker(2))
	for k := range 8 {
		j := job(fmt.Sprint("j", k), step())
		j.Steps[0].PerWorker = 4
		r.submit(j)
		r.commit()
	}
	done := map[sched.JobID]bool{}
	ends := map[sched.InstanceID][]sched.EndedRun{}
	for _, s := range r.starts() {
		r.start(s, nil)
		id := s.Worker.ID
		ends[id] = append(ends[id], sched.EndedRun{
			Number: int64(len(ends[id]) + 1), Task: s.Order.Task, Run: s.Order.Run, End: sched.EndDone,
		})
	}
	r.commit()
	r.pass(time.Second)
	for id, list := range ends {
		r.exchange(id, sched.LeaseAnswer{Ended: list}, nil)
	}
	for r.flight {
		r.flight = false
		r.planner.Appended(r.now, r.now)
		for k := range 8 {
			id := sched.JobID(fmt.Sprint("j", k))
			s, _ := r.planner.State(r.now, id)
			done[id] = s == sched.JobCompleted
		}
		r.settle()
		r.pass(time.Millisecond)
		for _, l := range r.effects.Leases {
			for _, e := range ends[l.Worker.ID][:l.Order.RecordedEnd] {
				i.True(done[e.Task.Job]) // its end is acknowledged
			}
		}
	}
	i.Equal(len(done), 8)
}
