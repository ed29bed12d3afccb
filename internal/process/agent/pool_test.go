package agent_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/process/agent"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peer"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// worker counts the orders that reach a worker over one path, and answers them.
type worker struct {
	mu     sync.Mutex
	starts []sched.StartOrder
	leases int
	// err is the error of every order, if it isn't nil. block delays answers until
	// it is closed or the call ends.
	err   error
	block chan struct{}
}

var answer = sched.LeaseAnswer{
	OrderAnswer: sched.OrderAnswer{Refusal: sched.RefusedNoCapacity, Clock: 17 * 1e9, Incarnation: 12},
	Running: []sched.RunningRun{{
		Task: sched.TaskRef{Job: "a", Occurrence: 1, Step: 2, Index: 3}, Run: 4, Checkpoint: "c", Percent: 55, Measurement: 66,
	}},
	Ended: []sched.EndedRun{{
		Number: 7, Task: sched.TaskRef{Job: "b", Step: 1, Index: 8}, Run: 9, End: sched.EndFailed, Checkpoint: "d",
	}},
}

func (w *worker) wait(c context.Context) error {
	if w.block != nil {
		select {
		case <-w.block:
		case <-c.Done():
			return c.Err()
		}
	}
	return w.err
}

func (w *worker) Start(c context.Context, _ sched.Worker, o sched.StartOrder) (sched.OrderAnswer, error) {
	w.mu.Lock()
	w.starts = append(w.starts, o)
	w.mu.Unlock()
	return answer.OrderAnswer, w.wait(c)
}

func (w *worker) Stop(c context.Context, _ sched.Worker, _ sched.StopOrder) (sched.OrderAnswer, error) {
	return answer.OrderAnswer, w.wait(c)
}

func (w *worker) Pace(c context.Context, _ sched.Worker, _ sched.PaceOrder) (sched.OrderAnswer, error) {
	return answer.OrderAnswer, w.wait(c)
}

func (w *worker) Lease(c context.Context, _ sched.Worker, _ sched.LeaseOrder) (sched.LeaseAnswer, error) {
	w.mu.Lock()
	w.leases++
	w.mu.Unlock()
	return answer, w.wait(c)
}

func (w *worker) counts() (starts, leases int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.starts), w.leases
}

// rig is a pool with one agent. direct and carried are the paths to the worker.
type rig struct {
	*agent.Pool
	direct, carried *worker
	leaving         bool
	server          *httptest.Server
}

var one = sched.Worker{ID: "w1", Address: "w1:1", DataCentre: "dc"}

func newRig(t *testing.T) *rig {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	r := &rig{direct: &worker{}, carried: &worker{}}
	m := http.NewServeMux()
	m.Handle(agent.Handler(r.carried, clock.System{}, func() bool { return r.leaving }))
	r.server = httptest.NewUnstartedServer(m)
	r.server.Config.Protocols = peer.Protocols()
	r.server.Start()
	t.Cleanup(r.server.Close)
	web := peer.HTTPClient()
	t.Cleanup(web.CloseIdleConnections)
	r.Pool = &agent.Pool{
		Direct: r.direct, HTTP: web, MinWorkers: 1, Clock: clock.System{}, Log: zap.NewNop(),
		Instances: func() []peers.Instance {
			return []peers.Instance{{ID: "a", Address: r.server.Listener.Addr().String(), DataCentre: "dc"}}
		},
	}
	t.Cleanup(r.Close)
	return r
}

func timeout(t *testing.T, d time.Duration) context.Context {
	c, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return c
}

// Guards against a field of an order or an answer that is lost on the way through an
// agent.
func TestOrdersAndAnswersPassThroughTheAgentWhole(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	o := sched.StartOrder{
		Task: sched.TaskRef{Job: "j", Occurrence: 2, Step: 3, Index: 4}, Run: 5, Payload: "spec", Lease: 9e9, Token: 1 << 40,
		Checkpoint: "k", Ticket: "t",
	}
	a, err := r.Start(timeout(t, time.Minute), one, o)
	i.NoErr(err)
	i.Equal(a, answer.OrderAnswer)
	i.Equal(r.carried.starts, []sched.StartOrder{o})
	l, err := r.Lease(timeout(t, time.Minute), one, sched.LeaseOrder{Token: 3, RecordedEnd: 5, Wait: time.Millisecond})
	i.NoErr(err)
	i.Equal(l, answer)
	starts, leases := r.direct.counts()
	i.Equal(starts+leases, 0)
}

// Guards against a start order that is sent twice, over the agent and directly, after
// the answer was lost: the first may have been carried out and have ended.
func TestAStartWithoutAnAnswerIsNotSentAgain(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.carried.block = make(chan struct{})
	_, err := r.Start(timeout(t, 200*time.Millisecond), one, sched.StartOrder{Run: 1})
	i.True(err != nil)
	i.True(!errors.Is(err, sched.ErrUnavailable))
	starts, _ := r.direct.counts()
	i.Equal(starts, 0)
	close(r.carried.block)
	// The next order goes to the worker directly.
	_, err = r.Lease(timeout(t, time.Minute), one, sched.LeaseOrder{})
	i.NoErr(err)
	_, leases := r.direct.counts()
	i.Equal(leases, 1)
}

// Guards against leases that end because the agent that renews them was lost.
func TestALeaseOrderIsSentDirectlyWhenTheAgentIsLost(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.carried.block = make(chan struct{})
	defer close(r.carried.block)
	time.AfterFunc(100*time.Millisecond, r.server.CloseClientConnections)
	a, err := r.Lease(timeout(t, time.Minute), one, sched.LeaseOrder{Token: 1})
	i.NoErr(err)
	i.Equal(a, answer)
	_, leases := r.direct.counts()
	i.Equal(leases, 1)
}

// Guards against a worker out of use because its agent can't reach it, though the
// planner can, or the other way round.
func TestAWorkerThatOneSideCantReachIsCalledByTheOther(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.carried.err = sched.ErrUnavailable
	_, err := r.Lease(timeout(t, time.Minute), one, sched.LeaseOrder{})
	i.True(errors.Is(err, sched.ErrUnavailable))
	_, err = r.Lease(timeout(t, time.Minute), one, sched.LeaseOrder{})
	i.NoErr(err)
	r.carried.err, r.direct.err = nil, sched.ErrUncertain
	_, err = r.Lease(timeout(t, time.Minute), one, sched.LeaseOrder{})
	i.True(errors.Is(err, sched.ErrUncertain))
	_, err = r.Lease(timeout(t, time.Minute), one, sched.LeaseOrder{})
	i.NoErr(err)
}

// Guards against orders that are lost with an agent that stops: it says so first.
func TestAStoppingAgentGetsNoMoreOrders(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.leaving = true
	_, err := r.Stop(timeout(t, time.Minute), one, sched.StopOrder{})
	i.NoErr(err)
	_, err = r.Lease(timeout(t, time.Minute), one, sched.LeaseOrder{})
	i.NoErr(err)
	_, leases := r.direct.counts()
	i.Equal(leases, 1)
}

// Guards against agents for workers that are gone: in a long term workers come and go,
// and each would count for ever.
func TestWorkersWithoutOrdersStopCounting(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	k := clock.NewManual(time.Now())
	r.MinWorkers, r.Clock = 2, k
	other := sched.Worker{ID: "w2", Address: "w2:1", DataCentre: "elsewhere"}
	for range 2 {
		_, err := r.Stop(timeout(t, time.Minute), other, sched.StopOrder{})
		i.NoErr(err)
		k.Advance(2 * time.Minute)
		_, err = r.Lease(timeout(t, time.Minute), one, sched.LeaseOrder{})
		i.NoErr(err)
	}
	_, leases := r.direct.counts()
	i.Equal(leases, 2) // there never were two workers at a time
}

// Guards against a pool that needs agents: a planner of few workers, or one alone,
// sends its orders itself.
func TestWithoutAgentsOrdersAreSentDirectly(t *testing.T) {
	rows := []struct {
		name  string
		setup func(*rig)
	}{
		{"few workers", func(r *rig) { r.MinWorkers = 2 }},
		{"never", func(r *rig) { r.MinWorkers = 0 }},
		{"no other instance", func(r *rig) { r.Instances = func() []peers.Instance { return nil } }},
		{"closed", func(r *rig) { r.Close() }},
		{"agent doesn't listen", func(r *rig) { r.server.Listener.Close() }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			r := newRig(t)
			row.setup(r)
			_, err := r.Start(timeout(t, time.Minute), one, sched.StartOrder{})
			i.NoErr(err)
			starts, _ := r.direct.counts()
			i.Equal(starts, 1)
		})
	}
}

// Guards against one worker whose name or address isn't text, and for which no message can be
// encoded, that ends the streams to all agents again and again.
func TestAWorkerThatCannotBeNamedDoesNotEndTheStream(t *testing.T) {
	rows := []struct {
		name string
		odd  sched.Worker
	}{
		{"name", sched.Worker{ID: "w\xff", Address: "w:1", DataCentre: "dc"}},
		{"address", sched.Worker{ID: "w2", Address: "\xff:1", DataCentre: "dc"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			r := newRig(t)
			for _, w := range []sched.Worker{one, row.odd, one} {
				_, err := r.Lease(timeout(t, time.Minute), w, sched.LeaseOrder{})
				i.NoErr(err)
			}
			_, carried := r.carried.counts()
			_, direct := r.direct.counts()
			i.Equal(carried, 2) // the orders to the other worker
			i.Equal(direct, 1)
		})
	}
}
