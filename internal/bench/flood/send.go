package flood

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/route"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// slowFactor is how much slower a slow worker is.
const slowFactor = 5

// send sends a request to a worker, or waits for a free one.
func (r *simulation) send(c *call) {
	if c == nil || c.ended || c.instance.dead {
		return
	}
	if r.variant.Baseline {
		r.exchange(c, &route.Pick{Member: r.workers[r.random.IntN(len(r.workers))].member})
		return
	}
	p, none := c.instance.router.Pick(route.Query{
		Service: service, Urgency: c.class, RequestBytes: requestBytes, Exclude: c.tried,
	}, r.Now)
	if p != nil {
		r.exchange(c, p)
		return
	}
	c.lookups++
	c.tried = nil
	wait, ok := c.instance.retry.SearchDelay(c.lookups, r.Now, c.deadline)
	if !ok || none == sched.CodeNoBackend {
		r.expire(c)
		return
	}
	r.After(wait, func() { r.send(c) })
}

// exchange sends a request to a worker on one connection.
func (r *simulation) exchange(c *call, p *route.Pick) {
	i, w, l := c.instance, r.workersByID[p.Member.ID], c.instance.links[p.Member.ID]
	c.sends++
	if c.sends == 1 {
		i.retry.CountRequest()
	}
	k := l.take(r.Now)
	l.tracker.Sent(k.tracked, r.Now)
	ended := false
	back := func(s sched.SendResult) {
		if ended || i.dead {
			return
		}
		ended = true
		if !r.variant.Baseline {
			i.router.Done(p, s, 2*requestBytes, r.Now)
		}
		r.handleResult(c, w, s)
	}
	k.fail = func() {
		l.discard(k)
		back(sched.SendResult{Outcome: sched.OutcomeUnknown, FreeSlots: -1, Stalled: true})
	}
	r.After(c.deadline.Sub(r.Now), func() {
		if !ended {
			l.discard(k)
			back(sched.SendResult{Outcome: sched.OutcomeUnknown, FreeSlots: -1})
		}
	})
	if k.hung {
		c.mayHaveRun = true
		return
	}
	far := latency(i.centre, w.member.DataCentre)
	c.mayHaveRun = true
	r.After(far, func() { r.serve(w, far, func(s sched.SendResult) { r.receiveAnswer(l, k, &ended, s, back) }) })
}

// receiveAnswer delivers an answer and fails the connections to the same worker
// that the tracker reports silent.
func (r *simulation) receiveAnswer(l *workerConns, k *connection, ended *bool, s sched.SendResult, back func(sched.SendResult)) {
	if *ended || k.hung {
		return
	}
	silent := l.tracker.Finished(k.tracked, r.Now)
	l.idle = append(l.idle, k)
	back(s)
	if r.variant.Baseline {
		return
	}
	for _, t := range silent {
		if q := l.byTracked[t]; q != nil {
			q.fail()
		}
	}
}

// serve simulates a request at the worker, which refuses it if no slot is free.
func (r *simulation) serve(w *worker, far time.Duration, reply func(sched.SendResult)) {
	if w.busy >= slots {
		r.After(far, func() { reply(sched.SendResult{Outcome: sched.OutcomeRefusedNotRun}) })
		return
	}
	w.busy++
	t := w.serviceTime(r.random)
	if r.Now.After(r.measureFrom) {
		r.busyTime += t
	}
	r.After(t, func() {
		w.busy--
		free := slots - w.busy
		r.After(far, func() { reply(sched.SendResult{Outcome: sched.OutcomeAnswered, FreeSlots: free}) })
	})
}

// handleResult finishes a request or sends it again, depending on the result.
func (r *simulation) handleResult(c *call, w *worker, s sched.SendResult) {
	if c.ended {
		return
	}
	switch s.Outcome {
	case sched.OutcomeAnswered:
		if !r.variant.Baseline && r.variant.Sharing == SharingOptimistic {
			c.instance.control.BackendAnswered(service)
		}
		r.finish(c, sched.OutcomeAnswered)
		return
	case sched.OutcomeRefusedNotRun:
		c.mayHaveRun = false
		if !r.variant.Baseline && r.variant.Sharing == SharingOptimistic {
			c.instance.control.BackendRefused(service)
		}
	case sched.OutcomeUnknown, sched.OutcomeFailed:
		if c.unrepeatable {
			r.finish(c, sched.OutcomeUnknown)
			return
		}
	}
	r.resend(c, w, s)
}

func (r *simulation) resend(c *call, w *worker, s sched.SendResult) {
	if r.variant.Baseline {
		if c.sends >= baselineSends {
			r.expire(c)
			return
		}
		r.send(c)
		return
	}
	budget := c.instance.retry.Resend
	if s.Outcome == sched.OutcomeUnknown {
		budget = c.instance.retry.Retry
	}
	c.tried = append(c.tried, w.member.ID)
	wait, ok := budget(c.sends, r.Now, c.deadline)
	if !ok {
		r.expire(c)
		return
	}
	r.After(wait, func() { r.send(c) })
}

// injectFault starts the faults of the scenario.
func (r *simulation) injectFault() {
	for n := range r.scenario.SlowWorkers {
		r.workers[n*len(r.workers)/r.scenario.SlowWorkers].slow = slowFactor
	}
	for n := range r.scenario.LostInstances {
		r.instances[n].dead = true
	}
	if r.scenario.HungShare == 0 {
		return
	}
	for _, i := range r.instances {
		for _, w := range r.workers {
			l := i.links[w.member.ID]
			for _, k := range l.idle {
				k.hung = r.random.Float64() < r.scenario.HungShare
			}
		}
	}
}

// shareByDemand sets each instance's part of the slots by its arrivals of the
// last second, as if instances exchanged their demand.
func (r *simulation) shareByDemand() {
	sum := 0.0
	for _, i := range r.instances {
		sum += i.demand
	}
	all := float64(len(r.workers) * slots)
	for _, i := range r.instances {
		i.control.SetCapacity(service, all, max(1, all*i.demand/max(sum, 1)))
		i.demand = 0
	}
	r.After(time.Second, r.shareByDemand)
}
