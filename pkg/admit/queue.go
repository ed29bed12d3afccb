package admit

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Bounds of Retry-After before jitter. The jitter multiplies the wait by a
// random factor from 1 to 1+retryJitter, so that refused callers don't retry at
// the same time.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	retryJitter   = 2.0
)

func (c *Controller) refuse(code sched.Code, wait time.Duration) Result {
	base := float64(min(max(wait, minRetryAfter), maxRetryAfter))
	return Result{Code: code, RetryAfter: time.Duration(base * (1 + retryJitter*c.random.Float64()))}
}

// estimateWait returns the expected time until a new request in its group has
// ended. It is computed from the mean service time of the class, the requests of
// the group with earlier or equal deadlines and the slots guaranteed to the
// group or in use by it. It is 0 before the first service time is known.
func (c *Controller) estimateWait(g *group, t *Ticket) time.Duration {
	l := c.classes[g.key.urgency]
	if l.meanServiceTime == 0 {
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
	// The last term is the service time of the request itself.
	return time.Duration(float64(l.meanServiceTime) * (float64(ahead+1)/slots + 1))
}

// queueHasRoom reports whether the queue can take t. Each class has its own
// part of the queue, so that one overloaded class can't fill it.
func (c *Controller) queueHasRoom(t *Ticket) bool {
	if c.queuedBytes+t.Bytes > c.shares.QueueBytes {
		return false
	}
	return c.classes[t.Urgency].queued < c.classBound(t.Urgency)
}

// classBound returns the number of requests of a class that may be queued.
func (c *Controller) classBound(u sched.Urgency) int {
	return max(1, int(c.shares.Classes[u]*float64(c.shares.QueueRequests)))
}

// displace makes room for t if its partner stays within its share of the class
// queue with it. It removes and returns a queued request of the partner that
// exceeds its own share of that queue most. It returns nil if there is no such
// request or if removing it doesn't free enough bytes.
func (c *Controller) displace(t *Ticket) *Ticket {
	bound := float64(c.classBound(t.Urgency))
	own := c.partnerQueued(t.Urgency, t.Partner)
	if float64(own+1) > bound*c.shares.Partners[t.Partner] {
		return nil
	}
	var victim *group
	mostExcess := 0.0
	for _, g := range c.groupList {
		if g.key.urgency != t.Urgency || g.key.partner == t.Partner || len(g.queue) == 0 {
			continue
		}
		excess := float64(c.partnerQueued(t.Urgency, g.key.partner)) - bound*c.shares.Partners[g.key.partner]
		if excess > mostExcess {
			victim, mostExcess = g, excess
		}
	}
	if victim == nil {
		return nil
	}
	v := victim.lastLeaf()
	if c.queuedBytes-v.Bytes+t.Bytes > c.shares.QueueBytes {
		return nil
	}
	c.Cancel(v)
	return v
}

func (c *Controller) partnerQueued(u sched.Urgency, partner string) int {
	n := 0
	for _, g := range c.groupList {
		if g.key.urgency == u && g.key.partner == partner {
			n += len(g.queue)
		}
	}
	return n
}

const (
	// limitDecrement and limitIncrement are the changes of a limit after a
	// refused and after an answered request, in slots. Their ratio determines
	// the rate of refusals at which the limit stays constant. That rate isn't
	// 0, because the random choice among backend servers causes some refusals
	// even when slots are free.
	limitDecrement = 0.5
	limitIncrement = 0.02
	// minLimitFraction is the part of the even part below which refusals don't
	// reduce the limit, since every instance is entitled to its even part.
	minLimitFraction = 1.0
)

// BackendRefused lowers the limit of a service after a backend server refused a
// request for lack of slots.
func (c *Controller) BackendRefused(service string) {
	if p := c.pools[service]; p != nil {
		p.limit = max(p.limit-limitDecrement, p.evenPart*minLimitFraction, 1)
	}
}

// BackendAnswered raises the limit of a service after a backend server answered a
// request, if the limit is in use: another instance may be using less than its
// part. The limit never exceeds the slots of the service in the fleet.
func (c *Controller) BackendAnswered(service string) {
	p := c.pools[service]
	if p == nil || float64(p.inUse+1) < p.limit {
		return
	}
	p.limit = min(p.limit+limitIncrement, p.slots)
}

// Limit returns the current limit of a service in slots, 0 for an unknown
// service.
func (c *Controller) Limit(service string) float64 {
	if p := c.pools[service]; p != nil {
		return p.limit
	}
	return 0
}

// Queued returns the number of queued requests and their total size in bytes.
func (c *Controller) Queued() (requests int, bytes int64) { return c.queued, c.queuedBytes }

// Refusal returns a refusal with the shortest Retry-After, plus jitter.
func (c *Controller) Refusal(code sched.Code) Result { return c.refuse(code, 0) }

// SharesFromSettings returns the shares and the queue bounds that the settings contain.
func SharesFromSettings(s *sched.Settings) Shares {
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
