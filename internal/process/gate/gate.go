package gate

import (
	"context"
	"sync"

	"github.com/parsleybarrow/parsleybarrow/pkg/admit"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Gate is the blocking form of admit.Controller. It is safe for concurrent use.
type Gate struct {
	clock sched.Clock

	mu      sync.Mutex
	control *admit.Controller
	waiting map[*admit.Ticket]chan sched.Code
}

// New returns a gate without capacity.
func New(clock sched.Clock, shares admit.Shares, seed uint64) *Gate {
	return &Gate{clock: clock, control: admit.New(shares, seed), waiting: map[*admit.Ticket]chan sched.Code{}}
}

// Admit decides on a request and waits for its turn. A granted ticket must be
// released. The request is refused with CodeDeadlineTooShort if the context
// ends while it waits.
func (g *Gate) Admit(c context.Context, t *admit.Ticket) admit.Result {
	g.mu.Lock()
	r := g.control.Offer(t, g.clock.Now())
	if r.Displaced != nil {
		g.wake(r.Displaced, sched.CodeOverloaded)
		r.Displaced = nil
	}
	if r.Granted || r.Code != 0 {
		g.mu.Unlock()
		return r
	}
	ch := make(chan sched.Code, 1)
	g.waiting[t] = ch
	g.mu.Unlock()
	select {
	case code := <-ch:
		return g.result(code)
	case <-c.Done():
	}
	g.mu.Lock()
	if g.control.Cancel(t) {
		delete(g.waiting, t)
		g.mu.Unlock()
		return g.result(sched.CodeDeadlineTooShort)
	}
	g.mu.Unlock()
	return g.result(<-ch)
}

func (g *Gate) result(code sched.Code) admit.Result {
	if code == 0 {
		return admit.Result{Granted: true}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control.Refuse(code)
}

// wake ends the wait of a ticket. The caller holds the lock.
func (g *Gate) wake(t *admit.Ticket, code sched.Code) {
	if ch := g.waiting[t]; ch != nil {
		delete(g.waiting, t)
		ch <- code
	}
}

func (g *Gate) grant(tickets []*admit.Ticket) {
	for _, t := range tickets {
		g.wake(t, 0)
	}
}

// Release ends a granted request.
func (g *Gate) Release(t *admit.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grant(g.control.Release(t, g.clock.Now()))
}

// SetShares changes the guaranteed shares and the bounds of the queue.
func (g *Gate) SetShares(s admit.Shares) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.control.SetShares(s)
	g.grant(g.control.Advance(g.clock.Now()))
}

// SetCapacity tells the slots of a service in the fleet and the instance's
// even part of them.
func (g *Gate) SetCapacity(service string, slots, part float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.control.SetCapacity(service, slots, part)
	g.grant(g.control.Advance(g.clock.Now()))
}

// BackendRefused tells that a backend server refused for lack of slots.
func (g *Gate) BackendRefused(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.control.BackendRefused(service)
}

// BackendTook tells that a backend server ran a request.
func (g *Gate) BackendTook(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.control.BackendTook(service)
}

// Queued returns the number of waiting requests and their bytes.
func (g *Gate) Queued() (requests int, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control.Queued()
}
