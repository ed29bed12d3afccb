package admit

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Retry-After bounds. The wait is spread so that refused callers don't return
// at the same time.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	retrySpread   = 2.0
)

func (c *Controller) refuse(code sched.Code, wait time.Duration) Result {
	base := float64(min(max(wait, minRetryAfter), maxRetryAfter))
	return Result{Code: code, RetryAfter: time.Duration(base * (1 + retrySpread*c.random.Float64()))}
}

// estimate returns the expected wait of a new request in its group, by the
// mean service time and the slots that the group can count on.
func (c *Controller) estimate(g *group, t *Ticket) time.Duration {
	l := c.classes[g.key.urgency]
	if l.service == 0 {
		return 0
	}
	capacity := c.capacity()
	classSlots := max(c.shares.Classes[g.key.urgency]*capacity, float64(l.inUse), 1)
	slots := max(classSlots*c.shares.Partners[g.key.partner], float64(g.inUse), 1)
	ahead := 0
	for _, o := range g.queue {
		if !o.Deadline.After(t.Deadline) {
			ahead++
		}
	}
	// The request needs its own service time as well.
	return time.Duration(float64(l.service) * (float64(ahead+1)/slots + 1))
}

// room tells whether the queue has room. Each class has its part of the queue,
// so that a flood of one class can't fill it.
func (c *Controller) room(t *Ticket) bool {
	if c.bytes+t.Bytes > c.shares.QueueBytes {
		return false
	}
	return c.classes[t.Urgency].queued < c.classBound(t.Urgency)
}

func (c *Controller) classBound(u sched.Urgency) int {
	return max(1, int(c.shares.Classes[u]*float64(c.shares.QueueRequests)))
}

// displace makes room for a partner that queues less than its share of the
// class, by taking out a request of the partner that queues most beyond its
// own. It returns nil if nothing gives way.
func (c *Controller) displace(t *Ticket) *Ticket {
	bound := float64(c.classBound(t.Urgency))
	own := c.partnerQueued(t.Urgency, t.Partner)
	if float64(own+1) > bound*c.shares.Partners[t.Partner] {
		return nil
	}
	var victim *group
	most := 0.0
	for _, g := range c.order {
		if g.key.urgency != t.Urgency || g.key.partner == t.Partner || len(g.queue) == 0 {
			continue
		}
		over := float64(c.partnerQueued(t.Urgency, g.key.partner)) - bound*c.shares.Partners[g.key.partner]
		if over > most {
			victim, most = g, over
		}
	}
	if victim == nil {
		return nil
	}
	v := victim.last()
	if c.bytes-v.Bytes+t.Bytes > c.shares.QueueBytes {
		return nil
	}
	c.Cancel(v)
	return v
}

func (c *Controller) partnerQueued(u sched.Urgency, partner string) int {
	n := 0
	for _, g := range c.order {
		if g.key.urgency == u && g.key.partner == partner {
			n += len(g.queue)
		}
	}
	return n
}

const (
	// cutStep and raiseStep are in slots. Their ratio is the part of refused
	// sends at which the limit stays where it is: random choice among servers
	// causes some refusals even when slots are free.
	cutStep   = 0.5
	raiseStep = 0.02
	// smallestPart of the even part remains after cuts, since every instance
	// may claim its part.
	smallestPart = 1.0
)

// BackendRefused adapts the limit of a service to a refusal of a backend
// server for lack of slots.
func (c *Controller) BackendRefused(service string) {
	if p := c.pools[service]; p != nil {
		p.limit = max(p.limit-cutStep, p.part*smallestPart, 1)
	}
}

// BackendTook adapts the limit of a service to a request that ran, if the limit
// is in use: another instance may need its own part less.
func (c *Controller) BackendTook(service string) {
	p := c.pools[service]
	if p == nil || float64(p.inUse+1) < p.limit {
		return
	}
	p.limit = min(p.limit+raiseStep, p.slots)
}

// Limit returns the current limit of a service in slots.
func (c *Controller) Limit(service string) float64 {
	if p := c.pools[service]; p != nil {
		return p.limit
	}
	return 0
}

// Queued returns the number of queued requests and their bytes.
func (c *Controller) Queued() (requests int, bytes int64) { return c.queued, c.bytes }

// Refuse returns a refusal with a spread Retry-After.
func (c *Controller) Refuse(code sched.Code) Result { return c.refuse(code, 0) }

// SharesOf reads the shares from the settings.
func SharesOf(s *sched.Settings) Shares {
	partners := make(map[string]float64, len(s.Partners))
	for _, p := range s.Partners {
		partners[p.Name] = p.Share
	}
	services := make([]string, 0, len(s.Services))
	for _, v := range s.Services {
		services = append(services, v.Name)
	}
	return Shares{
		Classes: s.Limits.UrgencyShares, Partners: partners, Services: services,
		QueueRequests: s.Limits.QueueRequests, QueueBytes: s.Limits.QueueBytes,
	}
}
