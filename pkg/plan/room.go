package plan

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// shunnedGap is the time between two looks at avoided workers, less than the
// time in which a probe may be placed.
const shunnedGap = time.Second

// touch updates what a worker has free and lets it be called at once.
func (p *Planner) touch(id sched.InstanceID) {
	if n := p.nodes[id]; n != nil {
		n.dirty = true
	}
	p.refresh(id)
}

// refresh updates a worker in the finders.
func (p *Planner) refresh(id sched.InstanceID) {
	p.stirred = true
	n := p.nodes[id]
	w, known := p.ledger.Worker(id)
	if !known || n == nil || !n.takesTasks() || w.Drained || p.avoided(id) {
		p.direct.Remove(id)
		p.express.Remove(id)
		p.ahead.Remove(id)
		p.reserve.Remove(id)
		return
	}
	o := p.overlay[id]
	free := w.Free().Minus(o.direct).Minus(o.ahead)
	p.express.Set(id, w.Rack, free)
	p.direct.Set(id, w.Rack, free.Minus(p.held[id]))
	room := w.Capacity.Minus(w.Bound).Minus(o.ahead)
	bound := w.Waiting + o.bound
	depth := p.settings.Limits.AheadDepth
	p.setAhead(p.ahead, w, room, bound < depth)
	p.setAhead(p.reserve, w, room, bound <= depth)
}

// setAhead opens a worker for bound tasks. Workers with urgent tasks get none,
// as a bound task would take the room before the next urgent one.
func (p *Planner) setAhead(f Finder, w *ledger.Worker, room sched.Resources, open bool) {
	_, held := p.held[w.Worker]
	if open && !p.claimed[w.Worker] && !held && p.urgentOn[w.Worker] == 0 {
		f.Set(w.Worker, w.Rack, room)
		return
	}
	f.Remove(w.Worker)
}

// avoided tells whether a worker is suspected, and notes changes.
func (p *Planner) avoided(id sched.InstanceID) bool {
	if p.options.Suspects == nil {
		return false
	}
	avoid := p.options.Suspects.Avoid(p.now, id)
	if avoid && !p.shunned[id] {
		p.shunned[id] = true
		p.event("workerAvoided", "", string(id))
	}
	return avoid
}

// lookAtShunned lets workers take tasks again whose pause is over, or for
// which a probe is due.
func (p *Planner) lookAtShunned() {
	if len(p.shunned) == 0 || p.now.Sub(p.shunnedAt) < shunnedGap {
		return
	}
	p.shunnedAt = p.now
	for _, n := range p.order {
		id := n.member.ID
		if !p.shunned[id] {
			continue
		}
		if !p.options.Suspects.Avoid(p.now, id) {
			delete(p.shunned, id)
		}
		p.refresh(id)
	}
}

func (p *Planner) refreshAll() {
	p.sumCapacity()
	for _, n := range p.order {
		p.refresh(n.member.ID)
	}
}

func (p *Planner) sumCapacity() {
	p.total = sched.Resources{}
	p.ledger.EachWorker(func(w *ledger.Worker) { p.total = p.total.Plus(w.Capacity) })
}

func (p *Planner) setOverlay(worker sched.InstanceID, o overlay) {
	if o == (overlay{}) {
		delete(p.overlay, worker)
	} else {
		p.overlay[worker] = o
	}
	p.refresh(worker)
}
