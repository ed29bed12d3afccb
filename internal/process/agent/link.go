package agent

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/process/peer"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb/pbconnect"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// silenceLimit is the time without a message after which an agent counts as
	// lost: three times aliveInterval and a round trip between regions.
	silenceLimit = 350 * time.Millisecond
	// silenceCheck is the interval at which the silence is checked. A check that
	// comes late counts as at most twice as much silence, since this process may
	// have been short of processor time itself.
	silenceCheck = 50 * time.Millisecond
	// maxQueueTime is the time after which an order that wasn't sent is given up.
	// It is shorter than the timeouts of orders and bounds how late an order can
	// leave after this process was paused.
	maxQueueTime = 250 * time.Millisecond
)

// errLost reports that the agent was lost before it sent the result.
var errLost = fmt.Errorf("%w: agent lost", sched.ErrUncertain)

// call is an order that waits for its result.
type call struct {
	message *pb.WorkerOrder
	// payload is that of a start order.
	payload string
	// queuedAt is when the order was queued, deadline when the caller gives up.
	queuedAt, deadline time.Time
	// sent is set once the order is part of a batch. link.mu guards it.
	sent bool
	// result receives the result. It holds one, and is closed if the agent is lost.
	result chan *pb.OrderResult
}

// link is the stream to one agent.
type link struct {
	to    peers.Instance
	clock sched.Clock
	log   *zap.Logger

	// ready is closed with the first message of the agent, done when the agent is
	// lost.
	ready, done chan struct{}

	mu sync.Mutex
	// leaving is set once the agent has said that it stops, ended once the stream has
	// ended, and heard by each message until the next check of the silence.
	leaving, ended, heard bool
	// lastID is the id of the newest order that was sent.
	lastID uint64
	// queued holds the calls that wait for the next batch, pending those that were
	// sent, by the ids of their orders.
	queued  []*call
	pending map[uint64]*call
	// filled receives a value when there are queued calls. It holds one.
	filled chan struct{}
}

// openLink opens a stream to an instance. onEnd is called when the link has ended.
func openLink(c context.Context, web *http.Client, to peers.Instance, k sched.Clock, log *zap.Logger, onEnd func()) *link {
	l := &link{
		to: to, clock: k, log: log, ready: make(chan struct{}), done: make(chan struct{}),
		pending: map[uint64]*call{}, filled: make(chan struct{}, 1),
	}
	go func() {
		err := l.run(c, web)
		l.end(err, c.Err() != nil)
		onEnd()
	}()
	return l
}

// run keeps the stream open until it fails, the agent is silent for too long, or the
// context ends.
func (l *link) run(c context.Context, web *http.Client) error {
	x, cancel := context.WithCancelCause(c)
	var loops sync.WaitGroup
	defer loops.Wait()
	defer cancel(nil)
	loops.Go(func() { l.watch(x, cancel) })
	client := pbconnect.NewOrdersClient(web, "http://"+l.to.Address, connect.WithReadMaxBytes(maxMessageBytes), peer.Uncompressed)
	stream, err := client.Carry(x)
	if err != nil {
		return err
	}
	defer func() {
		cancel(nil)
		_ = stream.CloseRequest()
		_ = stream.CloseResponse()
	}()
	loops.Go(func() {
		if err := l.send(x, stream); err != nil {
			cancel(err)
		}
	})
	err = l.receive(stream)
	if cause := context.Cause(x); cause != nil {
		err = cause
	}
	return err
}

var errSilent = fmt.Errorf("no message for %s", silenceLimit)

// watch cancels the stream when the agent has been silent for silenceLimit.
func (l *link) watch(c context.Context, cancel context.CancelCauseFunc) {
	var silence time.Duration
	for last := l.clock.Now(); l.clock.Sleep(c, silenceCheck) == nil; {
		now := l.clock.Now()
		silence += min(now.Sub(last), 2*silenceCheck)
		last = now
		l.mu.Lock()
		if l.heard {
			silence, l.heard = 0, false
		}
		l.mu.Unlock()
		if silence >= silenceLimit {
			cancel(errSilent)
			return
		}
	}
}

func (l *link) receive(stream *connect.BidiStreamForClientSimple[pb.OrderBatch, pb.OrderResults]) error {
	for first := true; ; first = false {
		m, err := stream.Receive()
		if err != nil {
			return err
		}
		l.mu.Lock()
		l.heard = true
		if m.GetLeaving() && !l.leaving {
			l.leaving = true
			l.log.Info("agentLeaving", zap.String("agent", string(l.to.ID)))
		}
		for _, r := range m.GetResults() {
			if k := l.pending[r.GetId()]; k != nil {
				delete(l.pending, r.GetId())
				k.result <- r
			}
		}
		l.mu.Unlock()
		if first {
			close(l.ready)
		}
	}
}

// send sends the queued calls in batches until the context ends.
func (l *link) send(c context.Context, stream *connect.BidiStreamForClientSimple[pb.OrderBatch, pb.OrderResults]) error {
	// The request leaves with the first message, which may be empty.
	if err := stream.Send(&pb.OrderBatch{}); err != nil {
		return err
	}
	for {
		select {
		case <-l.filled:
		case <-c.Done():
			return nil
		}
		if b := l.nextBatch(l.clock.Now()); len(b.GetOrders()) > 0 {
			if err := stream.Send(b); err != nil {
				return err
			}
		}
		if l.clock.Sleep(c, batchInterval) != nil {
			return nil
		}
	}
}

// nextBatch moves the queued calls to the pending ones and returns their orders.
// Calls that have waited for longer than maxQueueTime, or that nobody waits for any
// more, are given up.
func (l *link) nextBatch(now time.Time) *pb.OrderBatch {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &pb.OrderBatch{}
	payloads := map[string]uint32{}
	for _, k := range l.queued {
		left := k.deadline.Sub(now)
		if left <= 0 || now.Sub(k.queuedAt) > maxQueueTime {
			k.result <- &pb.OrderResult{Failure: hadNoEffect, Reason: "not sent in time"}
			continue
		}
		l.lastID++
		k.sent = true
		k.message.Id, k.message.Timeout = l.lastID, uint32(left.Milliseconds())
		if k.message.GetKind() == kindStart {
			n, known := payloads[k.payload]
			if !known {
				n = uint32(len(b.Payloads))
				payloads[k.payload] = n
				b.Payloads = append(b.Payloads, []byte(k.payload))
			}
			k.message.Payload = n
		}
		l.pending[l.lastID] = k
		b.Orders = append(b.Orders, k.message)
	}
	l.queued = nil
	return b
}

// put queues a call. It returns false if the agent is lost or leaving.
func (l *link) put(k *call) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || l.leaving {
		return false
	}
	l.queued = append(l.queued, k)
	select {
	case l.filled <- struct{}{}:
	default:
	}
	return true
}

// forget drops a call whose caller has given up, and reports whether it was sent.
func (l *link) forget(k *call) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.sent {
		delete(l.pending, k.message.GetId())
		return true
	}
	for n, x := range l.queued {
		if x == k {
			l.queued = append(l.queued[:n], l.queued[n+1:]...)
			break
		}
	}
	return false
}

// usable reports whether the agent takes orders.
func (l *link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ended && !l.leaving
}

// end gives up all calls.
func (l *link) end(err error, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	if !closed {
		l.log.Info("agentLost", zap.String("agent", string(l.to.ID)), zap.Error(err), zap.Int("queued", len(l.queued)),
			zap.Int("pending", len(l.pending)))
	}
	for _, k := range l.queued {
		k.result <- &pb.OrderResult{Failure: hadNoEffect, Reason: "agent lost"}
	}
	for _, k := range l.pending {
		close(k.result)
	}
	l.queued = nil
	clear(l.pending)
	close(l.done)
}
