package plan

import (
	"github.com/parsleybarrow/parsleybarrow/pkg/place"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

func (i MembersSeen) apply(p *Planner) {
	p.responsible = i.Responsible
	p.leases.RecordContact(i.Contact, p.now)
	p.peers = i.Peers
	clear(p.goneInstances)
	for _, g := range i.GoneInstances {
		p.goneInstances[g] = true
	}
	for _, t := range i.Peers {
		p.newestPeerTerm = max(p.newestPeerTerm, t.TermSeen)
	}
	if t := p.leases.Term(); t != 0 && p.newestPeerTerm > t {
		p.yieldTerm("a peer has read a newer term")
	}
	p.setWorkers(i.Workers)
}

func (i Leaving) apply(p *Planner) {
	p.leaving = true
	p.endTerm("leaving")
}

// termTriesPerLease is the number of attempts per lease to begin a term, in case
// an append is lost.
const termTriesPerLease = 4

// maintainTerm begins a term when this instance is responsible, gives it up when
// it no longer is, and records the end of other terms that are known to be over.
func (p *Planner) maintainTerm() {
	own := p.leases.Term()
	if own != 0 && !p.responsible {
		p.endTerm("another instance is responsible")
		return
	}
	if !p.responsible || p.leaving || !p.ledger.Ready() || !p.caughtUp || p.leases.Stale(p.now) {
		return
	}
	p.endOtherTerms()
	p.snapshotIfDue()
	if own != 0 || p.now.Before(p.termRequestedAt.Add(p.leaseLimits().Lease/termTriesPerLease)) {
		return
	}
	// The wait until nextTermAt keeps two instances that both consider themselves
	// responsible from ending each other's terms in turn. It must not apply once
	// the other instance has ended its term, or nobody would renew the leases.
	if p.ledger.NewestTerm() != 0 && p.now.Before(p.nextTermAt) {
		return
	}
	p.termRequestedAt = p.now
	p.enqueue(sched.TaskEntry{
		Kind: sched.EntryTerm, Instance: p.options.Instance, Incarnation: p.options.Incarnation,
	})
}

// endOtherTerms records the end of open terms of other instances or incarnations
// whose holder is gone, has restarted, or has read a newer term and therefore
// sends nothing under the older one.
func (p *Planner) endOtherTerms() {
	for _, t := range p.ledger.Terms() {
		if t.Instance == p.options.Instance && t.Incarnation == p.options.Incarnation {
			continue
		}
		over := p.goneInstances[t.Instance]
		for _, h := range p.peers {
			if h.Instance == t.Instance && h.Incarnation >= t.Incarnation &&
				(h.Incarnation > t.Incarnation || h.TermSeen > t.Term) {
				over = true
			}
		}
		if over {
			p.enqueue(sched.TaskEntry{Kind: sched.EntryTermEnded, Term: t.Term})
		}
	}
}

// termChanged updates the own term after the start or the end of a term was
// replayed.
func (p *Planner) termChanged() {
	open := p.ledger.Terms()
	newest := p.ledger.NewestTerm()
	own := p.leases.Term()
	if own != 0 && newest != own {
		p.yieldTerm("a newer term was read")
		own = 0
	}
	if own == 0 && newest > p.lastEndedTerm && p.isOwnTerm(open, newest) {
		if p.responsible && !p.leaving && newest >= p.newestPeerTerm {
			p.beginTerm(newest)
			return
		}
		// The term began too late to be used; nothing was sent under it.
		p.recordTermEnd(newest)
	}
	if own != 0 {
		p.forgetEndedTerms(open)
	}
}

// isOwnTerm reports whether a term is the last open one and was begun by this
// incarnation of this instance.
func (p *Planner) isOwnTerm(open []sched.TermStatus, term sched.Offset) bool {
	if len(open) == 0 {
		return false
	}
	last := open[len(open)-1]
	return last.Term == term && last.Instance == p.options.Instance && last.Incarnation == p.options.Incarnation
}

// recordTermEnd records the end of an own term, which is not resumed later.
func (p *Planner) recordTermEnd(term sched.Offset) {
	p.lastEndedTerm = term
	p.enqueue(sched.TaskEntry{Kind: sched.EntryTermEnded, Term: term})
}

// forgetEndedTerms marks the earlier terms that are no longer open as ended in
// the lease book.
func (p *Planner) forgetEndedTerms(open []sched.TermStatus) {
	isOpen := make(map[sched.Offset]bool, len(open))
	for _, t := range open {
		isOpen[t.Term] = true
	}
	for _, t := range p.leases.EarlierTerms() {
		if !isOpen[t] {
			p.leases.EarlierTermEnded(t, p.now)
		}
	}
}

// beginTerm starts planning under an own term, from the replayed state.
func (p *Planner) beginTerm(term sched.Offset) {
	p.leases.BeginTerm(term, p.ledger.Terms(), p.now)
	p.clearPlanning()
	if s, ok := p.options.Interference.(Scorer); ok && p.ledger.Scores() != nil {
		s.Load(p.ledger.Scores())
	}
	for _, n := range p.workerList {
		n.reset()
	}
	p.ledger.EachOpenTask(func(t *sched.TaskStatus) {
		if t.State != sched.TaskQueued {
			return
		}
		if t.Attempt > 0 {
			p.delayTask(t)
			return
		}
		p.queue.Add(t)
	})
	p.loadFinders()
	p.queueChanged = true
	p.emitEvent("termBegun", "", "")
}

// yieldTerm ends the own term because another instance has begun one. The wait of
// half a lease before the next own term is longer than the time for which the
// members' views usually differ. It is shorter than a lease, so that leases can
// still be renewed if the other instance dies.
func (p *Planner) yieldTerm(why string) {
	p.nextTermAt = p.now.Add(p.leaseLimits().Lease / 2)
	p.endTerm(why)
}

// endTerm ends the own term, if there is one. Nothing is sent under it after this
// step, and the recorded end announces that to the other instances.
func (p *Planner) endTerm(why string) {
	term := p.leases.Term()
	if term == 0 {
		return
	}
	p.leases.EndTerm()
	p.clearPlanning()
	p.recordTermEnd(term)
	p.emitEvent("termLost", "", why)
}

// clearPlanning discards the planning state, which is derived from the replayed
// state.
func (p *Planner) clearPlanning() {
	p.queue = place.NewQueue()
	newFinder := func() Finder {
		if p.options.NewFinder != nil {
			return p.options.NewFinder(p.random)
		}
		var score place.Score
		if p.options.Interference != nil {
			score = p.options.Interference.Score
		}
		return place.NewIndex(p.random, score)
	}
	p.directFinder, p.urgentFinder, p.boundFinder, p.reserveFinder = newFinder(), newFinder(), newFinder(), newFinder()
	p.holds, p.heldTotal = nil, sched.Resources{}
	p.held = map[sched.InstanceID]sched.Resources{}
	p.urgentTasks = map[sched.InstanceID]int{}
	p.openDecisions = map[sched.TaskID]decision{}
	p.pendingUse = map[sched.InstanceID]pendingUse{}
	p.pendingByTeam = map[string]sched.Resources{}
	p.delayed = nil
	p.claims = nil
	p.claimed = map[sched.InstanceID]bool{}
}
