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

	// mu guards the fields below.
	mu         sync.Mutex
	controller *admit.Controller
	// waiting holds the channel of each queued request, on which its goroutine
	// gets 0 if the request is granted, or the code of the refusal. The channel
	// has room for that one code.
	waiting map[*admit.Ticket]chan sched.Code
}

// New returns a gate without capacity. The seed is that of the jitter in RetryAfter.
func New(clock sched.Clock, shares admit.Shares, seed uint64) *Gate {
	return &Gate{clock: clock, controller: admit.New(shares, seed), waiting: map[*admit.Ticket]chan sched.Code{}}
}

// Admit offers a request to the controller and blocks until it is granted or
// refused. A granted request must be released with Release. If the context ends
// while the request is queued, it is refused with CodeDeadlineTooShort.
func (g *Gate) Admit(c context.Context, t *admit.Ticket) admit.Result {
	g.mu.Lock()
	r := g.controller.Admit(t, g.clock.Now())
	if r.Displaced != nil {
		g.finishWait(r.Displaced, sched.CodeOverloaded)
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
		return g.resultFor(code)
	case <-c.Done():
	}
	g.mu.Lock()
	if g.controller.Cancel(t) {
		delete(g.waiting, t)
		g.mu.Unlock()
		return g.resultFor(sched.CodeDeadlineTooShort)
	}
	g.mu.Unlock()
	// The request was granted or displaced before it could be cancelled.
	return g.resultFor(<-ch)
}

// resultFor returns the result for a code from the channel of a queued request.
func (g *Gate) resultFor(code sched.Code) admit.Result {
	if code == 0 {
		return admit.Result{Granted: true}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Refusal(code)
}

// finishWait sends the code to the goroutine that waits for the ticket, if any. The
// caller holds mu.
func (g *Gate) finishWait(t *admit.Ticket, code sched.Code) {
	if ch := g.waiting[t]; ch != nil {
		delete(g.waiting, t)
		ch <- code
	}
}

// grantAll tells the goroutines of the tickets that their requests are granted. The
// caller holds mu.
func (g *Gate) grantAll(tickets []*admit.Ticket) {
	for _, t := range tickets {
		g.finishWait(t, 0)
	}
}

// Release ends a granted request. Queued requests that fit now are granted.
func (g *Gate) Release(t *admit.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grantAll(g.controller.Release(t, g.clock.Now()))
}

// SetShares changes the guaranteed shares and the bounds of the queue. Queued
// requests that fit now are granted.
func (g *Gate) SetShares(s admit.Shares) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.SetShares(s)
	g.grantAll(g.controller.GrantQueued(g.clock.Now()))
}

// SetCapacity sets the number of slots of a service in the fleet, and the part of
// them that the instance has if all instances share them evenly. Queued requests
// that fit now are granted.
func (g *Gate) SetCapacity(service string, slots, part float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.SetCapacity(service, slots, part)
	g.grantAll(g.controller.GrantQueued(g.clock.Now()))
}

// BackendRefused notes that a backend server of the service refused a request for
// lack of slots.
func (g *Gate) BackendRefused(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.BackendRefused(service)
}

// BackendAnswered notes that a backend server of the service ran a request.
func (g *Gate) BackendAnswered(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.BackendAnswered(service)
}

// Queued returns the number of queued requests and the sum of their bytes.
func (g *Gate) Queued() (requests int, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Queued()
}
