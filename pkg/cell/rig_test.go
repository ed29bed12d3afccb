package cell_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/jobs"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const service = "simdesk"

// rig drives one planner in place of its owner. Records are durable once commit
// is called; orders stay in effects until a test answers them.
type rig struct {
	t       testing.TB
	now     time.Time
	planner *cell.Planner
	effects cell.Effects
	// flight is set while a batch is written and not yet durable.
	flight  bool
	replies map[cell.Ticket]sched.Verdict
	// records holds the newest value of each key, and before the same without the
	// batch in flight.
	records, before map[string][]byte
	// commitTicket is the planner's Options.Commit, from the next planner on.
	commitTicket func(cell.Ticket) bool
	// ticket is the newest one that was given out.
	ticket cell.Ticket
}

var epoch = time.Date(2026, 9, 8, 12, 0, 0, 0, time.UTC)

func options(term sched.Offset) cell.Options {
	return cell.Options{
		Term: term, LeaseLimit: 6 * time.Second, StopLimit: 900 * time.Millisecond, StatusKept: 2 * time.Minute,
		Early: 250 * time.Millisecond, GangLimit: 3 * time.Second, Restore: 100 * time.Millisecond, FarFactor: 1.5,
		Log: zap.NewNop(),
	}
}

func newRig(t testing.TB) *rig {
	return &rig{
		t: t, now: epoch, planner: cell.New(epoch, nil, options(1)),
		replies: map[cell.Ticket]sched.Verdict{}, records: map[string][]byte{},
	}
}

// succeed replaces the planner by one that begins the given term with the
// restored jobs.
func (r *rig) succeed(restored []*jobs.Job, term sched.Offset) {
	o := options(term)
	o.Commit = r.commitTicket
	r.planner, r.effects, r.flight = cell.New(r.now, restored, o), cell.Effects{}, false
}

// settle flushes the planner and collects its effects.
func (r *rig) settle() {
	r.planner.Place(r.now)
	r.planner.Flush(r.now)
	e := r.planner.TakeEffects()
	if len(e.Append) > 0 {
		if r.flight {
			r.t.Fatal("batch written while another one is in flight")
		}
		r.flight = true
		r.before = maps.Clone(r.records)
		for _, x := range e.Append {
			if len(x.Value) == 0 {
				delete(r.records, x.Key)
				continue
			}
			r.records[x.Key] = x.Value
		}
	}
	for _, x := range e.Replies {
		r.replies[x.Ticket] = x.Verdict
	}
	r.effects.Starts = append(r.effects.Starts, e.Starts...)
	r.effects.Stops = append(r.effects.Stops, e.Stops...)
	r.effects.Paces = append(r.effects.Paces, e.Paces...)
	r.effects.Leases = append(r.effects.Leases, e.Leases...)
	r.effects.Advice = append(r.effects.Advice, e.Advice...)
}

// commit makes batches durable until the planner writes no more.
func (r *rig) commit() {
	r.settle()
	for r.flight {
		r.flight = false
		r.planner.Appended(r.now, r.now)
		r.settle()
	}
}

// pass advances the time, with a proof that no other planner has taken over.
func (r *rig) pass(d time.Duration) {
	r.now = r.now.Add(d)
	r.planner.Proven(r.now)
	r.planner.Tick(r.now)
	r.settle()
}

func worker(n int) sched.Worker {
	return sched.Worker{
		ID: sched.InstanceID(fmt.Sprintf("w%d", n)), Address: fmt.Sprintf("10.0.0.%d:1", n), Service: service,
		Labels: []string{"a", fmt.Sprintf("rack%d", n%2)}, Capacity: sched.Resources{Processors: 16000, Memory: 64 << 30},
		Incarnation: 1,
	}
}

// exchange answers the pending lease order to the worker and returns the order.
func (r *rig) exchange(id sched.InstanceID, a sched.LeaseAnswer, err error) sched.LeaseOrder {
	r.t.Helper()
	for k, l := range r.effects.Leases {
		if l.Worker.ID != id {
			continue
		}
		r.effects.Leases = append(r.effects.Leases[:k:k], r.effects.Leases[k+1:]...)
		a.Clock = sched.WorkerClock(r.now.Sub(epoch) + time.Second)
		if a.Incarnation == 0 {
			a.Incarnation = l.Worker.Incarnation
		}
		r.planner.Leased(r.now, cell.LeaseResult{
			Result:   cell.Result{Worker: id, Token: l.Order.Token, Sent: r.now, Received: r.now, Err: err},
			AckedEnd: l.Order.RecordedEnd, Answer: a,
		})
		r.settle()
		return l.Order
	}
	r.t.Fatalf("no lease order to %s is pending", id)
	return sched.LeaseOrder{}
}

// list adds workers and answers their first exchanges.
func (r *rig) list(workers ...sched.Worker) {
	r.t.Helper()
	for _, w := range workers {
		r.planner.Listed(r.now, w)
	}
	r.pass(time.Millisecond)
	for _, w := range workers {
		r.exchange(w.ID, sched.LeaseAnswer{}, nil)
	}
}

// listFirst adds workers 1 to n and answers their first exchanges.
func (r *rig) listFirst(n int) {
	r.t.Helper()
	var all []sched.Worker
	for k := range n {
		all = append(all, worker(k+1))
	}
	r.list(all...)
}

func (r *rig) submit(j sched.Job) cell.Ticket {
	r.ticket++
	r.planner.Submit(r.now, r.ticket, j)
	return r.ticket
}

// start answers a start order: with err, or as carried out if err is nil.
func (r *rig) start(s cell.StartCall, err error) {
	a := sched.OrderAnswer{Clock: sched.WorkerClock(r.now.Sub(epoch) + time.Second), Incarnation: s.Worker.Incarnation}
	r.planner.Started(r.now, cell.StartResult{
		Result: cell.Result{Worker: s.Worker.ID, Token: s.Order.Token, Sent: r.now, Received: r.now, Err: err},
		Key:    keyOf(s), Answer: a,
	})
	r.settle()
}

// refuse answers a start order as refused.
func (r *rig) refuse(s cell.StartCall, why sched.Refusal) {
	a := sched.OrderAnswer{
		Refusal: why, Clock: sched.WorkerClock(r.now.Sub(epoch) + time.Second), Incarnation: s.Worker.Incarnation,
	}
	r.planner.Started(r.now, cell.StartResult{
		Result: cell.Result{Worker: s.Worker.ID, Token: s.Order.Token, Sent: r.now, Received: r.now},
		Key:    keyOf(s), Answer: a,
	})
	r.settle()
}

// starts returns the pending start orders and removes them from effects.
func (r *rig) starts() []cell.StartCall {
	s := r.effects.Starts
	r.effects.Starts = nil
	return s
}

// queue allows two failed runs of a task.
var queue = sched.Queue{Name: "q", Service: service, MaxAttempts: 2, Stretch: 2, Goal: time.Second}

func job(id string, steps ...sched.Step) sched.Job {
	return sched.Job{ID: sched.JobID(id), Queue: queue, Payload: "spec of " + id, Steps: steps}
}

func step() sched.Step {
	return sched.Step{
		Tasks: 1, Needs: sched.Resources{Processors: 1000, Memory: 1 << 30}, Estimate: time.Second,
	}
}

func withTasks(s sched.Step, n int) sched.Step {
	s.Tasks = n
	return s
}
