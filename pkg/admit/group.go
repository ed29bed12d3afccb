package admit

import (
	"container/heap"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Ticket is one request as the controller sees it. The caller sets the exported
// fields before Admit and doesn't change them afterwards.
type Ticket struct {
	Service string
	Partner string
	Urgency sched.Urgency
	// Bytes is the memory that the request takes while it is queued.
	Bytes int64
	// Deadline is the time by which the request must have ended.
	Deadline time.Time

	state     ticketState
	grantedAt time.Time
	// heapIndex is the index in the queue of the group while queued.
	heapIndex int
	group     *group
}

type ticketState int

const (
	ticketNew ticketState = iota
	ticketQueued
	ticketGranted
	ticketDone
)

// groupKey identifies the group of requests of one class, service and partner.
type groupKey struct {
	urgency sched.Urgency
	service string
	partner string
}

// group holds the requests with the same key. Its queue is ordered by deadline.
type group struct {
	key   groupKey
	queue ticketHeap
	// inUse is the number of granted requests that have not been released.
	inUse int
}

// class holds the totals over the groups of one urgency class.
type class struct {
	inUse  int
	queued int
	// meanServiceTime is the exponentially weighted moving average of the time
	// between grant and release, 0 before the first release.
	meanServiceTime time.Duration
}

// pool is the adaptive limit of one service.
type pool struct {
	// slots is the number of slots of the service in the fleet, evenPart the
	// even part of them that falls to this instance.
	evenPart float64
	slots    float64
	// limit is the number of requests that this instance may run at a time.
	limit float64
	inUse int
}

type ticketHeap []*Ticket

func (h ticketHeap) Len() int           { return len(h) }
func (h ticketHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}

func (g *group) push(t *Ticket) { heap.Push(&g.queue, t) }

func (g *group) pop() *Ticket { return heap.Pop(&g.queue).(*Ticket) }

func (g *group) remove(t *Ticket) { heap.Remove(&g.queue, t.heapIndex) }

// lastLeaf returns the last leaf of the heap. Unless it is the only one in the
// queue, it is not the next ticket to be served.
func (g *group) lastLeaf() *Ticket { return g.queue[len(g.queue)-1] }
