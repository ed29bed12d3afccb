package flood

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/route"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// slowFactor is how much slower a slow worker is.
const slowFactor = 5

// send sends a request to a worker, or waits for a free one.
func (r *run) send(c *call) {
	if c == nil || c.ended || c.at.dead {
		return
	}
	if r.variant.Baseline {
		r.exchange(c, &route.Pick{Member: r.workers[r.random.IntN(len(r.workers))].member})
		return
	}
	p, none := c.at.router.Pick(route.Query{
		Service: service, Urgency: c.class, RequestBytes: requestBytes, Exclude: c.tried,
	}, r.Now)
	if p != nil {
		r.exchange(c, p)
		return
	}
	c.looks++
	c.tried = nil
	wait, ok := c.at.retry.SearchDelay(c.looks, r.Now, c.end)
	if !ok || none == sched.CodeNoBackend {
		r.expire(c)
		return
	}
	r.After(wait, func() { r.send(c) })
}

// exchange is one request on one connection.
func (r *run) exchange(c *call, p *route.Pick) {
	i, w, l := c.at, r.byID[p.Member.ID], c.at.links[p.Member.ID]
	c.sends++
	if c.sends == 1 {
		i.retry.CountRequest()
	}
	k := l.take(r.Now)
	l.tracker.Sent(k.track, r.Now)
	ended := false
	back := func(s sched.SendResult) {
		if ended || i.dead {
			return
		}
		ended = true
		if !r.variant.Baseline {
			i.router.Done(p, s, 2*requestBytes, r.Now)
		}
		r.judge(c, w, s)
	}
	k.lost = func() {
		l.discard(k)
		back(sched.SendResult{Outcome: sched.OutcomeUnknown, FreeSlots: -1, Stalled: true})
	}
	r.After(c.end.Sub(r.Now), func() {
		if !ended {
			l.discard(k)
			back(sched.SendResult{Outcome: sched.OutcomeUnknown, FreeSlots: -1})
		}
	})
	if k.hung {
		c.maybe = true
		return
	}
	far := latency(i.centre, w.member.DataCentre)
	c.maybe = true
	r.After(far, func() { r.work(w, far, func(s sched.SendResult) { r.reply(l, k, &ended, s, back) }) })
}

// reply brings an answer back and judges the siblings of its connection.
func (r *run) reply(l *link, k *wire, ended *bool, s sched.SendResult, back func(sched.SendResult)) {
	if *ended || k.hung {
		return
	}
	silent := l.tracker.Finished(k.track, r.Now)
	l.idle = append(l.idle, k)
	back(s)
	if r.variant.Baseline {
		return
	}
	for _, t := range silent {
		if q := l.byTrack[t]; q != nil {
			q.lost()
		}
	}
}

// work is the worker's side.
func (r *run) work(w *worker, far time.Duration, reply func(sched.SendResult)) {
	if w.busy >= slots {
		r.After(far, func() { reply(sched.SendResult{Outcome: sched.OutcomeRefusedNotRun}) })
		return
	}
	w.busy++
	t := w.serviceTime(r.random)
	if r.Now.After(r.begin) {
		r.busyTime += t
	}
	r.After(t, func() {
		w.busy--
		free := slots - w.busy
		r.After(far, func() { reply(sched.SendResult{Outcome: sched.OutcomeAnswered, FreeSlots: free}) })
	})
}

// judge is what follows a result.
func (r *run) judge(c *call, w *worker, s sched.SendResult) {
	if c.ended {
		return
	}
	switch s.Outcome {
	case sched.OutcomeAnswered:
		if !r.variant.Baseline && r.variant.Sharing == SharingOptimistic {
			c.at.control.BackendAnswered(service)
		}
		r.finish(c, sched.OutcomeAnswered)
		return
	case sched.OutcomeRefusedNotRun:
		c.maybe = false
		if !r.variant.Baseline && r.variant.Sharing == SharingOptimistic {
			c.at.control.BackendRefused(service)
		}
	case sched.OutcomeUnknown, sched.OutcomeFailed:
		if c.once {
			r.finish(c, sched.OutcomeUnknown)
			return
		}
	}
	r.again(c, w, s)
}

func (r *run) again(c *call, w *worker, s sched.SendResult) {
	if r.variant.Baseline {
		if c.sends >= plainRetries {
			r.expire(c)
			return
		}
		r.send(c)
		return
	}
	budget := c.at.retry.Resend
	if s.Outcome == sched.OutcomeUnknown {
		budget = c.at.retry.Retry
	}
	c.tried = append(c.tried, w.member.ID)
	wait, ok := budget(c.sends, r.Now, c.end)
	if !ok {
		r.expire(c)
		return
	}
	r.After(wait, func() { r.send(c) })
}

// fault begins the fault of the scenario.
func (r *run) fault() {
	for n := range r.scenario.Slow {
		r.workers[n*len(r.workers)/r.scenario.Slow].slow = slowFactor
	}
	for n := range r.scenario.Lose {
		r.instances[n].dead = true
	}
	if r.scenario.Hang == 0 {
		return
	}
	for _, i := range r.instances {
		for _, w := range r.workers {
			l := i.links[w.member.ID]
			for _, k := range l.idle {
				k.hung = r.random.Float64() < r.scenario.Hang
			}
		}
	}
}

// share gives each instance its part by demand, as instances would exchange it
// every second.
func (r *run) share() {
	sum := 0.0
	for _, i := range r.instances {
		sum += i.demand
	}
	all := float64(len(r.workers) * slots)
	for _, i := range r.instances {
		i.control.SetCapacity(service, all, max(1, all*i.demand/max(sum, 1)))
		i.demand = 0
	}
	r.After(time.Second, r.share)
}
