package admit

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Shares are the guaranteed minimum shares and the bounds of the queue.
type Shares struct {
	// Classes are indexed by Urgency, 0 to 1 each.
	Classes [sched.UrgencyUrgent + 1]float64
	// Partners are parts of a class, 0 to 1 each.
	Partners map[string]float64
	// QueueRequests and QueueBytes bound the queue of the instance; QueueBytes
	// is in bytes.
	QueueRequests int
	QueueBytes    int64
	// Services are those of the configuration, nil for all that have a
	// capacity.
	Services []string
}

// Result is the decision on one request.
type Result struct {
	Granted bool
	// Code is 0 for a granted or queued request, else the reason of refusal.
	Code sched.Code
	// RetryAfter is set with a refusal and spread by jitter.
	RetryAfter time.Duration
	// Displaced is a queued request that gave way and is refused with
	// CodeOverloaded, or nil.
	Displaced *Ticket
}

// Controller is the admission control of one instance. It isn't safe for
// concurrent use.
type Controller struct {
	shares  Shares
	random  *rand.Rand
	groups  map[key]*group
	order   []*group
	classes [sched.UrgencyUrgent + 1]class
	pools   map[string]*pool
	inUse   int
	queued  int
	bytes   int64
}

// New returns a controller without capacity.
func New(s Shares, seed uint64) *Controller {
	return &Controller{
		shares: s, random: rand.New(rand.NewPCG(seed, seed)),
		groups: map[key]*group{}, pools: map[string]*pool{},
	}
}

// SetShares changes the shares. Queued requests stay queued. A service that is
// gone has no capacity any more, since its slots would count towards the
// guarantees of the others.
func (c *Controller) SetShares(s Shares) {
	c.shares = s
	for name, p := range c.pools {
		if s.Services != nil && !slices.Contains(s.Services, name) {
			p.slots, p.part, p.limit = 0, 0, 0
		}
	}
}

// SetCapacity tells the slots of a service in the fleet and the instance's
// even part of them.
func (c *Controller) SetCapacity(service string, slots, part float64) {
	p := c.pools[service]
	if p == nil {
		p = &pool{limit: part}
		c.pools[service] = p
	}
	if p.part > 0 && part > 0 {
		// The learned deviation from the even part is kept.
		p.limit *= part / p.part
	} else {
		p.limit = part
	}
	p.part, p.slots = part, slots
	p.limit = min(p.limit, slots)
}

// capacity is the sum of the limits of all services.
func (c *Controller) capacity() float64 {
	sum := 0.0
	for _, p := range c.pools {
		sum += p.limit
	}
	return sum
}

// headroom is the part of an unused guarantee that isn't lent.
const headroom = 0.05

// reserved returns the slots that must stay free for classes other than u that
// use less than their guarantee.
func (c *Controller) reserved(u sched.Urgency, capacity float64) float64 {
	sum := 0.0
	for o := range c.classes {
		if sched.Urgency(o) == u {
			continue
		}
		g := c.shares.Classes[o] * capacity
		sum += min(g*headroom, max(0, g-float64(c.classes[o].inUse)))
	}
	return sum
}

// fits tells whether a request of the group may run now.
func (c *Controller) fits(k key, capacity float64) bool {
	p := c.pools[k.service]
	if p == nil || float64(p.inUse+1) > max(p.limit, 1) {
		return false
	}
	if c.inUse == 0 {
		return true
	}
	// A class whose guarantee is a fraction of a slot counts on the whole slot;
	// rank keeps classes even when these slots exceed the capacity.
	if float64(c.classes[k.urgency].inUse) < c.shares.Classes[k.urgency]*capacity {
		return float64(c.inUse+1) <= capacity
	}
	return float64(c.inUse+1)+c.reserved(k.urgency, capacity) <= capacity
}

func (c *Controller) group(k key) *group {
	g := c.groups[k]
	if g == nil {
		g = &group{key: k}
		c.groups[k] = g
		c.order = append(c.order, g)
	}
	return g
}

// Offer decides on a new request. A queued one is granted later by Release or
// SetCapacity, or leaves by Cancel.
func (c *Controller) Offer(t *Ticket, now time.Time) Result {
	k := key{t.Urgency, t.Service, t.Partner}
	if p := c.pools[t.Service]; p == nil || p.slots <= 0 {
		return c.refuse(sched.CodeNoBackend, 0)
	}
	g := c.group(k)
	t.group = g
	if len(g.queue) == 0 && c.fits(k, c.capacity()) {
		c.grant(t, now)
		return Result{Granted: true}
	}
	wait := c.estimate(g, t)
	if now.Add(wait).After(t.Deadline) {
		return c.refuse(sched.CodeDeadlineTooShort, wait)
	}
	r := Result{}
	if !c.room(t) {
		r.Displaced = c.displace(t)
		if r.Displaced == nil {
			return c.refuse(sched.CodeOverloaded, wait)
		}
	}
	t.state = ticketQueued
	g.push(t)
	c.count(t, 1)
	return r
}

func (c *Controller) count(t *Ticket, sign int) {
	c.queued += sign
	c.classes[t.Urgency].queued += sign
	c.bytes += int64(sign) * t.Bytes
}

func (c *Controller) grant(t *Ticket, now time.Time) {
	t.state, t.granted = ticketGranted, now
	t.group.inUse++
	c.classes[t.Urgency].inUse++
	c.pools[t.Service].inUse++
	c.inUse++
}

// Release ends a granted request and returns the queued ones that are granted
// now.
func (c *Controller) Release(t *Ticket, now time.Time) []*Ticket {
	if t.state != ticketGranted {
		return nil
	}
	t.state = ticketDone
	t.group.inUse--
	l := &c.classes[t.Urgency]
	l.inUse--
	c.pools[t.Service].inUse--
	c.inUse--
	took := now.Sub(t.granted)
	if l.service == 0 {
		l.service = took
	}
	l.service += time.Duration(serviceWeight * float64(took-l.service))
	return c.Advance(now)
}

// serviceWeight is the weight of a new service time in the mean of its class.
const serviceWeight = 0.05

// Cancel takes a queued request out. It returns false if the request isn't
// queued any more.
func (c *Controller) Cancel(t *Ticket) bool {
	if t.state != ticketQueued {
		return false
	}
	t.state = ticketDone
	t.group.remove(t)
	c.count(t, -1)
	return true
}

// Advance grants queued requests while capacity is free. Requests whose
// deadline has passed are left to their callers, who cancel them.
func (c *Controller) Advance(now time.Time) []*Ticket {
	var granted []*Ticket
	for c.queued > 0 {
		g := c.next()
		if g == nil {
			break
		}
		t := g.pop()
		c.count(t, -1)
		c.grant(t, now)
		granted = append(granted, t)
	}
	return granted
}

// next returns the group to serve: classes below their guarantee first, by the
// least used part of it, then the most urgent class; inside a class the
// partner with the least used part of its share.
func (c *Controller) next() *group {
	capacity := c.capacity()
	var best *group
	var bestRank rank
	for _, g := range c.order {
		if len(g.queue) == 0 || !c.fits(g.key, capacity) {
			continue
		}
		r := c.rank(g, capacity)
		if best == nil || r.before(bestRank) {
			best, bestRank = g, r
		}
	}
	return best
}

// rank orders groups; lower is served first.
type rank struct {
	class    float64
	partner  float64
	deadline time.Time
}

func (r rank) before(o rank) bool {
	if r.class != o.class {
		return r.class < o.class
	}
	if r.partner != o.partner {
		return r.partner < o.partner
	}
	return r.deadline.Before(o.deadline)
}

// aboveGuarantee orders classes above their guarantee after all others.
const aboveGuarantee = 1000

func (c *Controller) rank(g *group, capacity float64) rank {
	l := c.classes[g.key.urgency]
	r := rank{deadline: g.queue[0].Deadline}
	if guarantee := c.shares.Classes[g.key.urgency] * capacity; float64(l.inUse) < guarantee {
		r.class = float64(l.inUse) / guarantee
	} else {
		r.class = aboveGuarantee - float64(g.key.urgency)
	}
	r.partner = float64(g.inUse) / max(c.shares.Partners[g.key.partner], smallestShare)
	return r
}

// smallestShare stands in for a partner without a guarantee.
const smallestShare = 0.001
