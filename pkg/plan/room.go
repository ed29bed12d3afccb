package plan

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// avoidedCheckInterval is the time between two checks of the avoided workers. It
// is shorter than the time window in which a probe may be placed.
const avoidedCheckInterval = time.Second

// workerChanged updates a worker's free room and marks a call to it as due.
func (p *Planner) workerChanged(id sched.InstanceID) {
	if n := p.workers[id]; n != nil {
		n.callDue = true
	}
	p.updateFinders(id)
}

// updateFinders updates a worker's free room in the finders, or removes a worker
// that accepts no tasks.
func (p *Planner) updateFinders(id sched.InstanceID) {
	p.queueChanged = true
	n := p.workers[id]
	w, known := p.ledger.Worker(id)
	if !known || n == nil || !n.acceptsTasks() || w.Drained || p.avoided(id) {
		p.directFinder.Remove(id)
		p.urgentFinder.Remove(id)
		p.boundFinder.Remove(id)
		p.reserveFinder.Remove(id)
		return
	}
	o := p.pendingUse[id]
	free := w.Free().Minus(o.direct).Minus(o.bound)
	p.urgentFinder.Set(id, w.Rack, free)
	p.directFinder.Set(id, w.Rack, free.Minus(p.held[id]))
	room := w.Capacity.Minus(w.Bound).Minus(o.bound)
	bound := w.BoundTasks + o.boundCount
	depth := p.settings.Limits.AheadDepth
	p.setBoundRoom(p.boundFinder, w, room, bound < depth)
	p.setBoundRoom(p.reserveFinder, w, room, bound <= depth)
}

// setBoundRoom offers a worker's room for bound tasks in a finder, or removes the
// worker. Workers with urgent tasks, held room or a claim get no bound tasks, as
// a bound task would take the room before the next urgent one.
func (p *Planner) setBoundRoom(f Finder, w *ledger.Worker, room sched.Resources, open bool) {
	_, held := p.held[w.Worker]
	if open && !p.claimed[w.Worker] && !held && p.urgentTasks[w.Worker] == 0 {
		f.Set(w.Worker, w.Rack, room)
		return
	}
	f.Remove(w.Worker)
}

// avoided reports whether FailureClassifier advises against a worker, and emits an event
// when that advice is new.
func (p *Planner) avoided(id sched.InstanceID) bool {
	if p.options.FailureClassifier == nil {
		return false
	}
	avoid := p.options.FailureClassifier.Avoid(p.now, id)
	if avoid && !p.avoidedWorkers[id] {
		p.avoidedWorkers[id] = true
		p.emitEvent("workerAvoided", "", string(id))
	}
	return avoid
}

// recheckAvoided updates the avoided workers in the finders, so that those whose
// pause is over or whose probe is due get tasks again.
func (p *Planner) recheckAvoided() {
	if len(p.avoidedWorkers) == 0 || p.now.Sub(p.avoidedCheckedAt) < avoidedCheckInterval {
		return
	}
	p.avoidedCheckedAt = p.now
	for _, n := range p.workerList {
		id := n.member.ID
		if !p.avoidedWorkers[id] {
			continue
		}
		if !p.options.FailureClassifier.Avoid(p.now, id) {
			delete(p.avoidedWorkers, id)
		}
		p.updateFinders(id)
	}
}

func (p *Planner) updateAllFinders() {
	p.sumCapacity()
	for _, n := range p.workerList {
		p.updateFinders(n.member.ID)
	}
}

func (p *Planner) sumCapacity() {
	p.totalCapacity = sched.Resources{}
	p.ledger.EachWorker(func(w *ledger.Worker) { p.totalCapacity = p.totalCapacity.Plus(w.Capacity) })
}

func (p *Planner) setPendingUse(worker sched.InstanceID, o pendingUse) {
	if o == (pendingUse{}) {
		delete(p.pendingUse, worker)
	} else {
		p.pendingUse[worker] = o
	}
	p.updateFinders(worker)
}
