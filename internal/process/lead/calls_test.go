package lead

import (
	"context"
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
