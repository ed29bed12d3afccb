package plan

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// holdTime is the time for which the room of an urgent task that ended is
	// kept for the next one, which otherwise evicts what has just started
	// there.
	holdTime = 2 * time.Minute
	// holdShare is the largest part of the capacity that is kept, 1/holdShare.
	holdShare = 10
)

// hold is room that only urgent tasks may take.
type hold struct {
	worker sched.InstanceID
	needs  sched.Resources
	until  time.Time
}

// keepRoom holds the room of an urgent task that ended.
func (p *Planner) keepRoom(worker sched.InstanceID, needs sched.Resources) {
	all := p.heldTotal.Plus(needs)
	if p.options.NoHold || all.Processors*holdShare > p.total.Processors || all.Memory*holdShare > p.total.Memory ||
		all.Accelerators*holdShare > p.total.Accelerators {
		return
	}
	p.holds = append(p.holds, hold{worker, needs, p.now.Add(holdTime)})
	p.setHeld(worker, p.held[worker].Plus(needs))
	p.heldTotal = all
}

func (p *Planner) setHeld(worker sched.InstanceID, r sched.Resources) {
	if r == (sched.Resources{}) {
		delete(p.held, worker)
	} else {
		p.held[worker] = r
	}
}

// useHold ends the oldest hold on a worker, since an urgent task takes room
// there.
func (p *Planner) useHold(worker sched.InstanceID) {
	for i, h := range p.holds {
		if h.worker == worker {
			p.dropHold(i)
			return
		}
	}
}

func (p *Planner) dropHold(i int) {
	h := p.holds[i]
	p.holds = append(p.holds[:i], p.holds[i+1:]...)
	p.heldTotal = p.heldTotal.Minus(h.needs)
	p.setHeld(h.worker, p.held[h.worker].Minus(h.needs))
	p.refresh(h.worker)
}

// endHolds gives room back that no urgent task has needed. Holds are in order
// of their end.
func (p *Planner) endHolds() {
	for len(p.holds) > 0 && p.now.After(p.holds[0].until) {
		p.dropHold(0)
	}
}
