package admit

import (
	"container/heap"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Ticket is one request in the controller. It is granted, queued or refused.
type Ticket struct {
	Service  string
	Partner  string
	Urgency  sched.Urgency
	Bytes    int64
	Deadline time.Time

	state   ticketState
	granted time.Time
	place   int
	group   *group
}

type ticketState int

const (
	ticketNew ticketState = iota
	ticketQueued
	ticketGranted
	ticketDone
)

// key names a group: requests of one class, service and partner.
type key struct {
	urgency sched.Urgency
	service string
	partner string
}

// group is the queue of a key, ordered by deadline.
type group struct {
	key   key
	queue ticketHeap
	inUse int
}

// class sums the groups of one urgency class.
type class struct {
	inUse  int
	queued int
	// service is the mean time between grant and release.
	service time.Duration
}

// pool is the adaptive limit of one service.
type pool struct {
	// part is the instance's even part of the slots, slots all of them.
	part  float64
	slots float64
	limit float64
	inUse int
}

type ticketHeap []*Ticket

func (h ticketHeap) Len() int           { return len(h) }
func (h ticketHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.place = len(*h)
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

func (g *group) remove(t *Ticket) { heap.Remove(&g.queue, t.place) }

// last returns a queued ticket that is not the first to be served: one of the
// leaves of the heap.
func (g *group) last() *Ticket { return g.queue[len(g.queue)-1] }
