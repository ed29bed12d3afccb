package lead

import (
	"cmp"
	"container/heap"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// callState tells whether a call can still be withdrawn.
type callState int32

const (
	// callOpen: the call has had no effect that lasts.
	callOpen callState = iota
	// callCommitted: the call may have an effect, so that only the planner answers it.
	callCommitted
	// callWithdrawn: the caller was told that the call has no effect, and it has none.
	callWithdrawn
)

// call is a call that waits for the planner.
type call struct {
	kind workKind
	// rank orders the calls that wait for the planner's actor, number those of equal rank.
	rank   time.Time
	number int64
	run    func()
	// handled is closed when the planner's actor has run the call, or found it withdrawn.
	handled chan struct{}
	// verdict receives the planner's reply.
	verdict chan sched.Verdict
	state   atomic.Int32
}

// commit reports whether the call may have an effect. From then on it can't be withdrawn.
func (x *call) commit() bool { return x.move(callCommitted) }

// withdraw reports whether the call certainly has no effect, now or later.
func (x *call) withdraw() bool { return x.move(callWithdrawn) }

// move changes the state of an open call and reports whether the call is in that state.
func (x *call) move(to callState) bool {
	return x.state.CompareAndSwap(int32(callOpen), int32(to)) || x.state.Load() == int32(to)
}

const (
	// priorityStep is by how much later a call with the next lower priority ranks. The
	// latency targets of adjacent priorities differ by about as much.
	priorityStep = 500 * time.Millisecond
	// DefaultCallTime is the time of a call without a deadline, as that of callers who name
	// none.
	DefaultCallTime = 3 * time.Second
	// cancelPriority and readPriority rank the calls that belong to no queue's priority.
	// Cancels free capacity.
	cancelPriority = 0
	readPriority   = 1
)

// rankOf returns the rank of a call: its deadline, later for each step of priority.
func rankOf(c context.Context, now time.Time, priority int) time.Time {
	deadline, set := c.Deadline()
	if !set {
		deadline = now.Add(DefaultCallTime)
	}
	return deadline.Add(time.Duration(priority) * priorityStep)
}

// line holds calls in the order of their ranks. It is safe for concurrent use.
type line struct {
	mu    sync.Mutex
	calls callHeap
	last  int64
}

func (n *line) put(x *call) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.last++
	x.number = n.last
	heap.Push(&n.calls, x)
}

// take removes the first call and returns it, nil if there is none.
func (n *line) take() *call {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.calls) == 0 {
		return nil
	}
	return heap.Pop(&n.calls).(*call) //nolint:forcetypeassert // it holds nothing else
}

// behind returns how many calls rank after the given time. They don't delay a call of that
// rank.
func (n *line) behind(rank time.Time) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	after := int64(0)
	for _, x := range n.calls {
		if x.rank.After(rank) {
			after++
		}
	}
	return after
}

// callHeap implements heap.Interface.
type callHeap []*call

func (h callHeap) Len() int      { return len(h) }
func (h callHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h callHeap) Less(a, b int) bool {
	return cmp.Or(h[a].rank.Compare(h[b].rank), cmp.Compare(h[a].number, h[b].number)) < 0
}
func (h *callHeap) Push(x any) { *h = append(*h, x.(*call)) } //nolint:forcetypeassert // as above
func (h *callHeap) Pop() any {
	n := len(*h) - 1
	x := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return x
}
