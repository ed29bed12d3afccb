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
	clockOffset time.Duration
	lastStep    time.Time

	down bool
	// cut keeps the host from the log, the list and its peers, but not from
	// the workers.
	cut bool
	// awaySince is the time since when the host was down, cut or paused.
	awaySince   time.Time
	pausedUntil time.Time
	// roleOverride replaces the host's view of its responsibility, unless nil.
	roleOverride *bool
	contact      lease.Contact
	lastTicket   uint64
	tickCount    int
	tickets      map[uint64]sched.TaskID
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
	h.clockOffset = h.sim.randomClockOffset()
	h.lastStep = time.Time{}
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
	if h.tickCount%membersEvery == 0 {
		h.deliver(h.members)
	}
	h.tickCount++
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
	now := s.queue.Now.Add(h.clockOffset)
	if now.Before(h.lastStep) {
		now = h.lastStep
	}
	h.lastStep = now
	input := in()
	began := time.Now()
	out := h.planner.Step(now, input)
	s.StepTime += time.Since(began)
	h.carryOut(out)
}

func (h *host) isAway() bool { return h.down || h.cut || h.sim.queue.Now.Before(h.pausedUntil) }

// members returns the host's view of the data centre.
func (h *host) members() plan.Input {
	s := h.sim
	m := plan.MembersSeen{Responsible: h.responsible()}
	limits := s.config.Settings.Limits
	now := s.queue.Now.Add(h.clockOffset)
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
		if !h.cut && o.isAway() && s.queue.Now.Sub(o.awaySince) > limits.ListLag+limits.IsolationLimit {
			m.GoneInstances = append(m.GoneInstances, hostID(o.index))
		}
	}
	m.Contact = h.contact
	for _, w := range s.workerList {
		m.Workers = append(m.Workers, w.member)
	}
	return m
}

// responsible reports whether no host of a lower index is present in this
// host's view.
func (h *host) responsible() bool {
	if h.roleOverride != nil {
		return *h.roleOverride
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

// deliverAfter delivers an input after a delay, unless the host crashed since.
func (h *host) deliverAfter(after time.Duration, in plan.Input) {
	inc := h.incarnation
	h.sim.After(after, func() {
		if h.incarnation == inc {
			h.deliver(func() plan.Input { return in })
		}
	})
}

func (h *host) read() {
	s := h.sim
	began := s.queue.Now.Add(h.clockOffset)
	from := h.planner.NextOffset()
	s.After(s.config.Latency+s.LogDelay/2, func() {
		if s.LogDown || h.cut {
			h.deliverAfter(s.config.Latency, plan.ReadFailed{Began: began})
			return
		}
		page, ok := s.readPage(from)
		if !ok {
			h.deliverAfter(s.config.Latency, plan.StreamTrimmed{Earliest: page.Earliest})
			return
		}
		h.deliverAfter(s.config.Latency+s.LogDelay/2, plan.RecordsRead{Began: began, Page: page})
	})
}

func (h *host) append(a plan.Append) {
	s := h.sim
	lost := s.chance(s.Faults.LoseAck)
	late := s.chance(s.Faults.LateAppend)
	s.After(s.config.Latency+s.LogDelay/2, func() {
		if s.LogDown || h.cut {
			h.deliverAfter(s.config.Latency, plan.Appended{Serial: a.Serial, Err: sched.ErrUnavailable})
			return
		}
		if late {
			s.After(s.randomDelay(), func() { s.appendRecord(a.Data) })
			h.deliverAfter(s.config.Latency, plan.Appended{Serial: a.Serial, Err: sched.ErrUncertain})
			return
		}
		s.appendRecord(a.Data)
		if lost {
			h.deliverAfter(s.config.Latency, plan.Appended{Serial: a.Serial, Err: sched.ErrUncertain})
			return
		}
		h.deliverAfter(s.config.Latency+s.LogDelay/2, plan.Appended{Serial: a.Serial})
	})
}

func (h *host) call(c plan.Call) {
	s := h.sim
	s.Calls++
	w := s.workers[c.Worker.ID]
	f := s.Faults
	fail := plan.WorkerCallFailed{Worker: c.Worker.ID, Serial: c.Serial}
	if w == nil || w.partitioned[h.index] || s.chance(f.LoseCall) {
		h.deliverAfter(2*s.config.Latency, fail)
		return
	}
	if s.chance(f.DuplicateCall) {
		s.After(s.config.Latency+s.randomDelay(), func() { w.receive(c.Call) })
	}
	if s.chance(f.DelayCall) {
		s.After(s.config.Latency+s.randomDelay(), func() { w.receive(c.Call) })
		h.deliverAfter(2*s.config.Latency, fail)
		return
	}
	s.After(s.config.Latency, func() {
		report, ok := w.receive(c.Call)
		if !ok || s.chance(f.LoseAnswer) {
			h.deliverAfter(s.config.Latency, fail)
			return
		}
		h.deliverAfter(s.config.Latency, plan.WorkerReported{Worker: c.Worker.ID, Serial: c.Serial, Report: report})
	})
}
