package plan

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// holdDuration is the time for which the room of an urgent task that ended
	// is kept for the next urgent task. Without it, that next task would evict
	// a task that has just started there.
	holdDuration = 2 * time.Minute
	// holdDivisor limits the held room to 1/holdDivisor of the total capacity.
	holdDivisor = 10
)

// hold is room on a worker that only urgent tasks may take.
type hold struct {
	worker    sched.InstanceID
	needs     sched.Resources
	expiresAt time.Time
}

// holdRoom holds the room of an urgent task that ended, unless that would exceed
// the limit on held room.
func (p *Planner) holdRoom(worker sched.InstanceID, needs sched.Resources) {
	total := p.heldTotal.Plus(needs)
	if p.options.DisableRoomHold || total.Processors*holdDivisor > p.totalCapacity.Processors ||
		total.Memory*holdDivisor > p.totalCapacity.Memory ||
		total.Accelerators*holdDivisor > p.totalCapacity.Accelerators {
		return
	}
	p.holds = append(p.holds, hold{worker, needs, p.now.Add(holdDuration)})
	p.setHeld(worker, p.held[worker].Plus(needs))
	p.heldTotal = total
}

func (p *Planner) setHeld(worker sched.InstanceID, r sched.Resources) {
	if r == (sched.Resources{}) {
		delete(p.held, worker)
	} else {
		p.held[worker] = r
	}
}

// consumeHold ends the oldest hold on a worker when an urgent task is placed
// there.
func (p *Planner) consumeHold(worker sched.InstanceID) {
	for i, h := range p.holds {
		if h.worker == worker {
			p.releaseHold(i)
			return
		}
	}
}

func (p *Planner) releaseHold(i int) {
	h := p.holds[i]
	p.holds = append(p.holds[:i], p.holds[i+1:]...)
	p.heldTotal = p.heldTotal.Minus(h.needs)
	p.setHeld(h.worker, p.held[h.worker].Minus(h.needs))
	p.updateFinders(h.worker)
}

// expireHolds releases the held room that no urgent task took in time. Holds are
// in order of expiry.
func (p *Planner) expireHolds() {
	for len(p.holds) > 0 && p.now.After(p.holds[0].expiresAt) {
		p.releaseHold(0)
	}
}
