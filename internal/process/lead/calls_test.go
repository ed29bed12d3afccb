package lead

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// orderCounter counts the orders that are sent.
type orderCounter struct{ orders int }

func (o *orderCounter) Start(context.Context, sched.Worker, sched.StartOrder) (sched.OrderAnswer, error) {
	o.orders++
	return sched.OrderAnswer{}, nil
}

func (o *orderCounter) Stop(context.Context, sched.Worker, sched.StopOrder) (sched.OrderAnswer, error) {
	o.orders++
	return sched.OrderAnswer{}, nil
}

func (o *orderCounter) Pace(context.Context, sched.Worker, sched.PaceOrder) (sched.OrderAnswer, error) {
	o.orders++
	return sched.OrderAnswer{}, nil
}

func (o *orderCounter) Lease(context.Context, sched.Worker, sched.LeaseOrder) (sched.LeaseAnswer, error) {
	o.orders++
	return sched.LeaseAnswer{}, nil
}

// Guards against a process that was paused between the planner's decision and the call
// and then acts on a permission that has run out: another planner may have taken over.
func TestAnOrderIsNotSentOnceItsPermissionHasExpired(t *testing.T) {
	rows := []struct {
		name  string
		pause time.Duration
		sent  int
	}{
		{"not paused", 0, 4},
		{"paused for less than the proof is valid", cell.ProofValidity - time.Millisecond, 4},
		{"paused for longer", cell.ProofValidity, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			k := clock.NewManual(time.Date(2026, 9, 8, 12, 0, 0, 0, time.UTC))
			n := &orderCounter{}
			l := &Leader{Clock: k, Runner: n, Log: zap.NewNop(), callContext: t.Context()}
			l.planner = cell.New(k.Now(), nil, cell.Options{Log: l.Log})
			l.finished.Store(true) // nothing is carried out after the results
			l.provenAt.Store(k.Now().UnixNano())
			l.startActor()
			defer l.system.Shutdown()
			k.Advance(row.pause)
			l.start(cell.StartCall{})
			l.stop(cell.StopCall{})
			l.pace(cell.PaceCall{})
			l.lease(cell.LeaseCall{})
			_ = l.system.Root.PoisonFuture(l.pid).Wait()
			i.Equal(n.orders, row.sent)
		})
	}
}

// Guards against a caller that gives up and reads a result which the planner is writing.
// The race detector decides.
func TestACallerThatGivesUpLeavesTheResultToThePlanner(t *testing.T) {
	i := is.New(t)
	k := clock.NewManual(time.Date(2026, 9, 8, 12, 0, 0, 0, time.UTC))
	l := &Leader{Clock: k, Log: zap.NewNop(), stopped: make(chan struct{})}
	l.planner = cell.New(k.Now(), nil, cell.Options{Log: l.Log})
	l.startActor()
	defer l.system.Shutdown()
	c, cancel := context.WithCancel(t.Context())
	cancel()
	var calls sync.WaitGroup
	for range 1000 {
		calls.Go(func() {
			s, _, err := l.State(c, "0000000000000001")
			i.True(err != nil || s == 0)
		})
		calls.Go(func() {
			n, err := l.Pending(c)
			i.True((err == nil) == (n != nil))
		})
	}
	calls.Wait()
	_ = l.system.Root.PoisonFuture(l.pid).Wait()
}
