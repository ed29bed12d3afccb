package plan

import (
	"github.com/parsleybarrow/parsleybarrow/pkg/place"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

func (i MembersSeen) apply(p *Planner) {
	p.responsible = i.Responsible
	p.book.Reached(i.Contact, p.now)
	p.peers = i.Peers
	clear(p.gone)
	for _, g := range i.Gone {
		p.gone[g] = true
	}
	for _, t := range i.Peers {
		p.peerTerm = max(p.peerTerm, t.TermSeen)
	}
	if t := p.book.Term(); t != 0 && p.peerTerm > t {
		p.interrupted("a peer has read a newer term")
	}
	p.setWorkers(i.Workers)
}

func (i Leaving) apply(p *Planner) {
	p.leaving = true
	p.lose("leaving")
}

// termTries is how often the begin of a term is tried within one lease, in case
// that its append is lost.
const termTries = 4

// holdTerm begins a term when this instance is responsible, gives it up when
// it no longer is, and ends the terms of others that are known to be over.
func (p *Planner) holdTerm() {
	own := p.book.Term()
	if own != 0 && !p.responsible {
		p.lose("another instance is responsible")
		return
	}
	if !p.responsible || p.leaving || !p.ledger.Ready() || !p.caughtUp || p.book.Stale(p.now) {
		return
	}
	p.endOthers()
	p.snapshot()
	if own != 0 || p.now.Before(p.termAsked.Add(p.limits().Lease/termTries)) {
		return
	}
	// The wait after an interruption keeps two instances that both hold
	// themselves responsible from ending each other's terms in turn. It must not
	// apply once the other has ended its term, or nobody would renew the leases.
	if p.ledger.NewestTerm() != 0 && p.now.Before(p.nextTerm) {
		return
	}
	p.termAsked = p.now
	p.note(sched.TaskEntry{
		Kind: sched.EntryTerm, Instance: p.options.Instance, Incarnation: p.options.Incarnation,
	})
}

// endOthers records the end of terms whose holder is gone, or has read a newer
// term and therefore sends nothing under the older one.
func (p *Planner) endOthers() {
	for _, t := range p.ledger.Terms() {
		if t.Instance == p.options.Instance && t.Incarnation == p.options.Incarnation {
			continue
		}
		over := p.gone[t.Instance]
		for _, h := range p.peers {
			if h.Instance == t.Instance && h.Incarnation >= t.Incarnation &&
				(h.Incarnation > t.Incarnation || h.TermSeen > t.Term) {
				over = true
			}
		}
		if over {
			p.note(sched.TaskEntry{Kind: sched.EntryTermEnded, Term: t.Term})
		}
	}
}

// termChanged follows a term or an end of a term that was read.
func (p *Planner) termChanged() {
	open := p.ledger.Terms()
	newest := p.ledger.NewestTerm()
	own := p.book.Term()
	if own != 0 && newest != own {
		p.interrupted("a newer term was read")
		own = 0
	}
	if own == 0 && newest > p.lostTerm && p.isOwn(open, newest) {
		if p.responsible && !p.leaving && newest >= p.peerTerm {
			p.begin(newest)
			return
		}
		// Nothing was sent under it.
		p.giveUp(newest)
	}
	if own != 0 {
		p.endEarlier(open)
	}
}

// isOwn tells whether a term is the last open one and was begun by this run of
// this instance.
func (p *Planner) isOwn(open []sched.TermStatus, term sched.Offset) bool {
	if len(open) == 0 {
		return false
	}
	last := open[len(open)-1]
	return last.Term == term && last.Instance == p.options.Instance && last.Incarnation == p.options.Incarnation
}

// giveUp records the end of an own term, which is not taken up again.
func (p *Planner) giveUp(term sched.Offset) {
	p.lostTerm = term
	p.note(sched.TaskEntry{Kind: sched.EntryTermEnded, Term: term})
}

// endEarlier tells the book which of the earlier terms are no longer open.
func (p *Planner) endEarlier(open []sched.TermStatus) {
	still := make(map[sched.Offset]bool, len(open))
	for _, t := range open {
		still[t.Term] = true
	}
	for _, t := range p.book.Open() {
		if !still[t] {
			p.book.TermEnded(t, p.now)
		}
	}
}

// begin starts to plan under an own term.
func (p *Planner) begin(term sched.Offset) {
	p.book.Begin(term, p.ledger.Terms(), p.now)
	p.clearPlans()
	if s, ok := p.options.Interference.(Scorer); ok && p.ledger.Scores() != nil {
		s.Load(p.ledger.Scores())
	}
	for _, n := range p.order {
		n.reset()
	}
	p.ledger.EachOpen(func(t *sched.TaskStatus) {
		if t.State != sched.TaskQueued {
			return
		}
		if t.Attempt > 0 {
			p.delay(t)
			return
		}
		p.queue.Add(t)
	})
	p.countPlaced()
	p.stirred = true
	p.event("termBegun", "", "")
}

// interrupted ends the own term because another instance has begun one. The
// wait of half a lease is longer than the views of the members usually differ,
// and shorter than a lease, in case the other instance dies.
func (p *Planner) interrupted(why string) {
	p.nextTerm = p.now.Add(p.limits().Lease / 2)
	p.lose(why)
}

// lose ends the own term. Nothing is sent under it after this step, which the
// recorded end tells the others.
func (p *Planner) lose(why string) {
	term := p.book.Term()
	if term == 0 {
		return
	}
	p.book.End()
	p.clearPlans()
	p.giveUp(term)
	p.event("termLost", "", why)
}

// clearPlans forgets everything that is derived from the replayed state.
func (p *Planner) clearPlans() {
	p.queue = place.NewQueue()
	finder := func() Finder {
		if p.options.NewFinder != nil {
			return p.options.NewFinder(p.random)
		}
		var score place.Score
		if p.options.Interference != nil {
			score = p.options.Interference.Score
		}
		return place.NewIndex(p.random, score)
	}
	p.direct, p.express, p.ahead, p.reserve = finder(), finder(), finder(), finder()
	p.holds, p.heldTotal = nil, sched.Resources{}
	p.held = map[sched.InstanceID]sched.Resources{}
	p.urgentOn = map[sched.InstanceID]int{}
	p.plans = map[sched.TaskID]decision{}
	p.overlay = map[sched.InstanceID]overlay{}
	p.teams = map[string]sched.Resources{}
	p.delayed = nil
	p.claims = nil
	p.claimed = map[sched.InstanceID]bool{}
}
