package batch

import (
	"fmt"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/lease"
	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// host runs one planner.
type host struct {
	sim         *Sim
	index       int
	planner     *plan.Planner
	incarnation sched.Incarnation
	offset      time.Duration
	last        time.Time

	down bool
	// cut keeps the host from the log, the list and its peers, but not from
	// the workers.
	cut bool
	// away is the time since when the host was down, cut or paused.
	away        time.Time
	pausedUntil time.Time
	// misled makes the host believe that it is responsible, or that it isn't.
	misled  *bool
	contact lease.Contact
	ticket  uint64
	ticks   int
	tickets map[uint64]sched.TaskID
}

// membersEvery is the number of ticks between two views of the members.
const membersEvery = 5

func hostID(i int) sched.InstanceID { return sched.InstanceID(fmt.Sprintf("entry-%d", i)) }

func newHost(s *Sim, i int) *host {
	h := &host{sim: s, index: i, tickets: map[uint64]sched.TaskID{}}
	h.boot()
	h.tick(h.incarnation)
	return h
}

func (h *host) boot() {
	h.incarnation++
	h.offset = h.sim.offset()
	h.last = time.Time{}
	o := plan.Options{
		Instance: hostID(h.index), Incarnation: h.incarnation,
		Seed: h.sim.config.Seed + uint64(h.index), Settings: h.sim.config.Settings,
	}
	if h.sim.config.Options != nil {
		h.sim.config.Options(&o)
	}
	h.planner = plan.New(o)
	h.down = false
	h.contact = lease.Contact{}
}

func (h *host) tick(incarnation sched.Incarnation) {
	if h.down || h.incarnation != incarnation {
		return
	}
	s := h.sim
	if h.ticks%membersEvery == 0 {
		h.deliver(h.members)
	}
	h.ticks++
	h.deliver(func() plan.Input { return plan.Ticked{} })
	s.After(s.config.Tick, func() { h.tick(incarnation) })
}

// deliver gives an input to the planner, after the end of a pause.
func (h *host) deliver(in func() plan.Input) {
	inc := h.incarnation
	s := h.sim
	if s.queue.Now.Before(h.pausedUntil) {
		s.After(h.pausedUntil.Sub(s.queue.Now), func() {
			if h.incarnation == inc {
				h.deliver(in)
			}
		})
		return
	}
	if h.down {
		return
	}
	now := s.queue.Now.Add(h.offset)
	if now.Before(h.last) {
		now = h.last
	}
	h.last = now
	input := in()
	began := time.Now()
	out := h.planner.Step(now, input)
	s.StepTime += time.Since(began)
	h.carryOut(out)
}

func (h *host) isAway() bool { return h.down || h.cut || h.sim.queue.Now.Before(h.pausedUntil) }

// members is what this host sees of the data centre.
func (h *host) members() plan.Input {
	s := h.sim
	m := plan.MembersSeen{Responsible: h.responsible()}
	limits := s.config.Settings.Limits
	now := s.queue.Now.Add(h.offset)
	if !h.cut {
		h.contact.List = now
	}
	for _, o := range s.hosts {
		if o == h {
			continue
		}
		if !o.isAway() && !h.cut {
			h.contact.Peer = now
			m.Peers = append(m.Peers, plan.PeerTerm{
				Instance: hostID(o.index), Incarnation: o.incarnation, TermSeen: o.planner.TermSeen(),
			})
		}
		if !h.cut && o.isAway() && s.queue.Now.Sub(o.away) > limits.ListLag+limits.IsolationLimit {
			m.GoneInstances = append(m.GoneInstances, hostID(o.index))
		}
	}
	m.Contact = h.contact
	for _, w := range s.order {
		m.Workers = append(m.Workers, w.member)
	}
	return m
}

// responsible is the lowest host that is not away, as seen by this host.
func (h *host) responsible() bool {
	if h.misled != nil {
		return *h.misled
	}
	for _, o := range h.sim.hosts {
		if o == h {
			return true
		}
		if !h.cut && !o.isAway() {
			return false
		}
	}
	return true
}

func (h *host) carryOut(o plan.Output) {
	if o.Read {
		h.read()
	}
	if o.Append != nil {
		h.append(*o.Append)
	}
	for _, c := range o.Calls {
		h.call(c)
	}
	for _, r := range o.Replies {
		h.sim.Replies[r.Code]++
		if id, ok := h.tickets[r.Ticket]; ok && r.Code == sched.CodeAccepted {
			h.sim.Accepted[id] = true
		}
		delete(h.tickets, r.Ticket)
	}
}

// answer delivers an input unless the host was restarted since.
func (h *host) answer(after time.Duration, in plan.Input) {
	inc := h.incarnation
	h.sim.After(after, func() {
		if h.incarnation == inc {
			h.deliver(func() plan.Input { return in })
		}
	})
}

func (h *host) read() {
	s := h.sim
	began := s.queue.Now.Add(h.offset)
	from := h.planner.NextOffset()
	s.After(s.config.Latency+s.LogDelay/2, func() {
		if s.LogDown || h.cut {
			h.answer(s.config.Latency, plan.ReadFailed{Began: began})
			return
		}
		page, ok := s.read(from)
		if !ok {
			h.answer(s.config.Latency, plan.StreamTrimmed{Earliest: page.Earliest})
			return
		}
		h.answer(s.config.Latency+s.LogDelay/2, plan.RecordsRead{Began: began, Page: page})
	})
}

func (h *host) append(a plan.Append) {
	s := h.sim
	lost := s.chance(s.Faults.LoseAck)
	late := s.chance(s.Faults.LateAppend)
	s.After(s.config.Latency+s.LogDelay/2, func() {
		if s.LogDown || h.cut {
			h.answer(s.config.Latency, plan.Appended{Serial: a.Serial, Err: sched.ErrUnavailable})
			return
		}
		if late {
			s.After(s.delay(), func() { s.add(a.Data) })
			h.answer(s.config.Latency, plan.Appended{Serial: a.Serial, Err: sched.ErrUncertain})
			return
		}
		s.add(a.Data)
		if lost {
			h.answer(s.config.Latency, plan.Appended{Serial: a.Serial, Err: sched.ErrUncertain})
			return
		}
		h.answer(s.config.Latency+s.LogDelay/2, plan.Appended{Serial: a.Serial})
	})
}

func (h *host) call(c plan.Call) {
	s := h.sim
	s.Calls++
	w := s.workers[c.Worker.ID]
	f := s.Faults
	fail := plan.WorkerCallFailed{Worker: c.Worker.ID, Serial: c.Serial}
	if w == nil || w.partitioned[h.index] || s.chance(f.LoseCall) {
		h.answer(2*s.config.Latency, fail)
		return
	}
	if s.chance(f.DuplicateCall) {
		s.After(s.config.Latency+s.delay(), func() { w.receive(c.Call) })
	}
	if s.chance(f.DelayCall) {
		s.After(s.config.Latency+s.delay(), func() { w.receive(c.Call) })
		h.answer(2*s.config.Latency, fail)
		return
	}
	s.After(s.config.Latency, func() {
		report, ok := w.receive(c.Call)
		if !ok || s.chance(f.LoseAnswer) {
			h.answer(s.config.Latency, fail)
			return
		}
		h.answer(s.config.Latency, plan.WorkerReported{Worker: c.Worker.ID, Serial: c.Serial, Report: report})
	})
}
