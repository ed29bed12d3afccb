package admit

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Shares holds the guaranteed minimum shares and the bounds of the queue.
type Shares struct {
	// Classes holds the guaranteed part of the capacity of each urgency class,
	// 0 to 1, indexed by Urgency.
	Classes [sched.UrgencyUrgent + 1]float64
	// Partners holds the guaranteed part of a class per partner, 0 to 1.
	Partners map[string]float64
	// QueueRequests and QueueBytes bound the number and the size in bytes of
	// the requests queued at the instance.
	QueueRequests int
	QueueBytes    int64
	// Services lists the configured services. If it is nil, every service for
	// which SetCapacity was called counts as configured.
	Services []string
}

// Result is the decision on one request.
type Result struct {
	// Granted is set if the request may run at once.
	Granted bool
	// Code is 0 for a granted or queued request, else the reason of refusal.
	Code sched.Code
	// RetryAfter is the time, with jitter, after which the caller of a refused
	// request may retry. It is 0 without a refusal.
	RetryAfter time.Duration
	// Displaced is a queued request that was removed to make room for this one,
	// or nil. The caller has to refuse it with CodeOverloaded.
	Displaced *Ticket
}

// Controller is the admission control of one instance. It isn't safe for
// concurrent use.
type Controller struct {
	shares Shares
	random *rand.Rand
	groups map[groupKey]*group
	// groupList holds the groups in the order of their creation, which makes
	// iteration repeatable.
	groupList []*group
	classes   [sched.UrgencyUrgent + 1]class
	// pools maps the name of a service to its limit.
	pools map[string]*pool
	// inUse is the number of granted requests that have not been released.
	inUse       int
	queued      int
	queuedBytes int64
}

// New returns a controller without capacity: it refuses every request until
// SetCapacity is called. The seed determines the jitter of RetryAfter.
func New(s Shares, seed uint64) *Controller {
	return &Controller{
		shares: s, random: rand.New(rand.NewPCG(seed, seed)),
		groups: map[groupKey]*group{}, pools: map[string]*pool{},
	}
}

// SetShares replaces the shares. Queued requests stay queued. The capacity of a
// service that is not in s.Services becomes 0, since its slots would otherwise
// count towards the guarantees of the other services.
func (c *Controller) SetShares(s Shares) {
	c.shares = s
	for name, p := range c.pools {
		if s.Services != nil && !slices.Contains(s.Services, name) {
			p.slots, p.evenPart, p.limit = 0, 0, 0
		}
	}
}

// SetCapacity sets the number of slots that a service has in the fleet, and
// the even part of them that falls to this instance.
func (c *Controller) SetCapacity(service string, slots, part float64) {
	p := c.pools[service]
	if p == nil {
		p = &pool{limit: part}
		c.pools[service] = p
	}
	if p.evenPart > 0 && part > 0 {
		// Keep the ratio between limit and even part that BackendRefused and
		// BackendAnswered have established.
		p.limit *= part / p.evenPart
	} else {
		p.limit = part
	}
	p.evenPart, p.slots = part, slots
	p.limit = min(p.limit, slots)
}

// capacity returns the sum of the limits of all services, in slots.
func (c *Controller) capacity() float64 {
	sum := 0.0
	for _, p := range c.pools {
		sum += p.limit
	}
	return sum
}

// reservedFraction is the part of a class guarantee that other classes can't
// borrow while it is unused.
const reservedFraction = 0.05

// reserved returns the slots that must stay free for classes other than u that
// use less than their guarantee.
func (c *Controller) reserved(u sched.Urgency, capacity float64) float64 {
	sum := 0.0
	for o := range c.classes {
		if sched.Urgency(o) == u {
			continue
		}
		guarantee := c.shares.Classes[o] * capacity
		sum += min(guarantee*reservedFraction, max(0, guarantee-float64(c.classes[o].inUse)))
	}
	return sum
}

// canRun reports whether one more request of the group may run now.
func (c *Controller) canRun(k groupKey, capacity float64) bool {
	p := c.pools[k.service]
	if p == nil || float64(p.inUse+1) > max(p.limit, 1) {
		return false
	}
	if c.inUse == 0 {
		return true
	}
	// A class whose guarantee is a fraction of a slot may use the whole slot. If
	// the sum of the guarantees rounded up exceeds the capacity, rank divides
	// the slots between the classes.
	if float64(c.classes[k.urgency].inUse) < c.shares.Classes[k.urgency]*capacity {
		return float64(c.inUse+1) <= capacity
	}
	return float64(c.inUse+1)+c.reserved(k.urgency, capacity) <= capacity
}

func (c *Controller) group(k groupKey) *group {
	g := c.groups[k]
	if g == nil {
		g = &group{key: k}
		c.groups[k] = g
		c.groupList = append(c.groupList, g)
	}
	return g
}

// Admit grants, queues or refuses a new request. A queued request is granted by
// a later call of Release or GrantQueued, or removed by Cancel.
func (c *Controller) Admit(t *Ticket, now time.Time) Result {
	k := groupKey{t.Urgency, t.Service, t.Partner}
	if p := c.pools[t.Service]; p == nil || p.slots <= 0 {
		return c.refuse(sched.CodeNoBackend, 0)
	}
	g := c.group(k)
	t.group = g
	if len(g.queue) == 0 && c.canRun(k, c.capacity()) {
		c.grant(t, now)
		return Result{Granted: true}
	}
	wait := c.estimateWait(g, t)
	if now.Add(wait).After(t.Deadline) {
		return c.refuse(sched.CodeDeadlineTooShort, wait)
	}
	r := Result{}
	if !c.queueHasRoom(t) {
		r.Displaced = c.displace(t)
		if r.Displaced == nil {
			return c.refuse(sched.CodeOverloaded, wait)
		}
	}
	t.state = ticketQueued
	g.push(t)
	c.countQueued(t, 1)
	return r
}

// countQueued adds t to the queue totals if sign is 1 and subtracts it if sign
// is -1.
func (c *Controller) countQueued(t *Ticket, sign int) {
	c.queued += sign
	c.classes[t.Urgency].queued += sign
	c.queuedBytes += int64(sign) * t.Bytes
}

func (c *Controller) grant(t *Ticket, now time.Time) {
	t.state, t.grantedAt = ticketGranted, now
	t.group.inUse++
	c.classes[t.Urgency].inUse++
	c.pools[t.Service].inUse++
	c.inUse++
}

// Release ends a granted request and returns the queued requests that are
// granted in its place. It returns nil if t is not a granted request.
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
	took := now.Sub(t.grantedAt)
	if l.meanServiceTime == 0 {
		l.meanServiceTime = took
	}
	l.meanServiceTime += time.Duration(serviceTimeWeight * float64(took-l.meanServiceTime))
	return c.GrantQueued(now)
}

// serviceTimeWeight is the weight of a new sample in the exponentially weighted
// moving average of the service time of a class.
const serviceTimeWeight = 0.05

// Cancel removes a queued request from the queue. It returns false if the
// request isn't queued any more.
func (c *Controller) Cancel(t *Ticket) bool {
	if t.state != ticketQueued {
		return false
	}
	t.state = ticketDone
	t.group.remove(t)
	c.countQueued(t, -1)
	return true
}

// GrantQueued grants queued requests while capacity is free and returns them. It
// has to be called after SetCapacity. It also grants a request whose deadline
// has passed; callers cancel their requests at the deadline.
func (c *Controller) GrantQueued(now time.Time) []*Ticket {
	var granted []*Ticket
	for c.queued > 0 {
		g := c.nextGroup()
		if g == nil {
			break
		}
		t := g.pop()
		c.countQueued(t, -1)
		c.grant(t, now)
		granted = append(granted, t)
	}
	return granted
}

// nextGroup returns the group whose request is granted next, nil if none can
// run. Classes below their guarantee come first, the one that uses the smallest
// part of its guarantee at their head, then the other classes by urgency.
// Inside a class it is the group that uses the smallest part of its partner's
// share, and then the group with the earliest deadline.
func (c *Controller) nextGroup() *group {
	capacity := c.capacity()
	var best *group
	var bestRank rank
	for _, g := range c.groupList {
		if len(g.queue) == 0 || !c.canRun(g.key, capacity) {
			continue
		}
		r := c.rank(g, capacity)
		if best == nil || r.before(bestRank) {
			best, bestRank = g, r
		}
	}
	return best
}

// rank is the sort key of a group; the group with the lowest rank is served
// first.
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

// rankAboveGuarantee is the base class rank of classes that use their whole
// guarantee. It exceeds the rank of every class below its guarantee, which is
// less than 1.
const rankAboveGuarantee = 1000

func (c *Controller) rank(g *group, capacity float64) rank {
	l := c.classes[g.key.urgency]
	r := rank{deadline: g.queue[0].Deadline}
	if guarantee := c.shares.Classes[g.key.urgency] * capacity; float64(l.inUse) < guarantee {
		r.class = float64(l.inUse) / guarantee
	} else {
		r.class = rankAboveGuarantee - float64(g.key.urgency)
	}
	r.partner = float64(g.inUse) / max(c.shares.Partners[g.key.partner], minPartnerShare)
	return r
}

// minPartnerShare is the share assumed for a partner without a guarantee.
const minPartnerShare = 0.001
