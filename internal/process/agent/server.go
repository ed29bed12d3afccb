package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb/pbconnect"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// maxMessageBytes bounds a message. A batch holds a few hundred orders at most,
	// each with a payload of up to 4,000 bytes.
	maxMessageBytes = 8 << 20
	// batchInterval is the least time between two batches on a stream. Orders and
	// results wait for it, and most of the cost of a message doesn't depend on its size.
	batchInterval = 8 * time.Millisecond
	// aliveInterval is the time after which an agent without results sends an empty
	// batch.
	aliveInterval = 100 * time.Millisecond
	// maxOrders bounds the orders of one stream that are in progress; an agent
	// carries a few for each of some hundred workers. Further ones are refused.
	maxOrders = 4096
)

// Handler returns the path prefix of the service that carries out orders with the
// given client, and its handler. While leaving returns true, planners are told to
// use other agents.
func Handler(r sched.OrderClient, k sched.Clock, leaving func() bool) (string, http.Handler) {
	return pbconnect.NewOrdersHandler(&service{r, k, leaving}, connect.WithReadMaxBytes(maxMessageBytes))
}

// Lasting reports whether the requests with a path last for as long as a planner has orders.
func Lasting(path string) bool { return path == pbconnect.OrdersCarryProcedure }

// service implements pbconnect.OrdersHandler.
type service struct {
	runner  sched.OrderClient
	clock   sched.Clock
	leaving func() bool
}

// outbox collects the results of one stream for the next batch.
type outbox struct {
	mu      sync.Mutex
	results []*pb.OrderResult
	// inFlight is the number of admitted orders without a result.
	inFlight int
	// filled receives a value when there are results. It holds one.
	filled chan struct{}
}

// admit counts an order in, unless maxOrders are in progress.
func (o *outbox) admit() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.inFlight >= maxOrders {
		return false
	}
	o.inFlight++
	return true
}

// put adds a result, and counts its order out if it was admitted.
func (o *outbox) put(r *pb.OrderResult, admitted bool) {
	o.mu.Lock()
	if admitted {
		o.inFlight--
	}
	o.results = append(o.results, r)
	o.mu.Unlock()
	select {
	case o.filled <- struct{}{}:
	default:
	}
}

func (o *outbox) take() []*pb.OrderResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.results
	o.results = nil
	return out
}

// Carry implements pbconnect.OrdersHandler. The first batch is empty and tells the
// planner that the agent takes orders.
func (s *service) Carry(c context.Context, stream *connect.BidiStream[pb.OrderBatch, pb.OrderResults]) error {
	x, cancel := context.WithCancel(c)
	defer cancel()
	o := &outbox{filled: make(chan struct{}, 1)}
	go func() {
		defer cancel()
		s.receive(x, stream, o)
	}()
	alive := time.NewTicker(aliveInterval)
	defer alive.Stop()
	for {
		if err := stream.Send(&pb.OrderResults{Results: o.take(), Leaving: s.leaving()}); err != nil {
			return err
		}
		if s.clock.Sleep(x, batchInterval) != nil {
			return nil
		}
		select {
		case <-o.filled:
		case <-alive.C:
		case <-x.Done():
			return nil
		}
	}
}

// receive takes batches and has each order carried out by a goroutine of its own,
// until the stream ends.
func (s *service) receive(c context.Context, stream *connect.BidiStream[pb.OrderBatch, pb.OrderResults], o *outbox) {
	for c.Err() == nil {
		b, err := stream.Receive()
		if err != nil { // the planner has closed the stream or is gone
			return
		}
		for _, m := range b.GetOrders() {
			if !o.admit() {
				o.put(&pb.OrderResult{Id: m.GetId(), Failure: hadNoEffect, Reason: "too many orders in progress"}, false)
				continue
			}
			go func() {
				x, cancel := context.WithTimeout(c, time.Duration(m.GetTimeout())*time.Millisecond)
				defer cancel()
				a, err := carryOut(x, s.runner, m, b.GetPayloads())
				o.put(resultMessage(m.GetId(), a, err), true)
			}()
		}
	}
}
