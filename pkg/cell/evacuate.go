package cell

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// evacuations is what a planner knows of the evacuations of data centres.
type evacuations struct {
	// inForce holds the data centres that are being evacuated.
	inForce map[sched.DataCentre]bool
	// known is set once the evacuations are known, held while they may have changed without
	// notice.
	known, held bool
}

// Evacuate tells the planner which data centres are being evacuated, all of them. Nothing
// starts there any more: placements whose start orders weren't sent are withdrawn, with a
// gang also those of its other members. Runs go on. With Options.EvacuationLimit nothing is
// placed before the first call.
func (p *Planner) Evacuate(now time.Time, all []sched.DataCentre) {
	before := p.evacuations.inForce
	p.evacuations.known = true
	p.evacuations.inForce = make(map[sched.DataCentre]bool, len(all))
	for _, d := range all {
		p.evacuations.inForce[d] = true
	}
	for d := range before {
		if !p.Evacuated(d) {
			p.recovery.began(now, d)
		}
	}
	if len(all) == 0 {
		return
	}
	for _, h := range p.workers {
		if !p.Evacuated(h.DataCentre) {
			continue
		}
		for _, s := range h.Slots {
			if s.Phase == hosts.Recorded && !s.Stopping {
				p.loseRun(now, h, s, "evacuated")
			}
		}
	}
}

// HoldStarts tells the planner whether the data centres that are being evacuated may have
// changed since the last call of Evacuate. Nothing is placed while they may have.
func (p *Planner) HoldStarts(held bool) { p.evacuations.held = held }

// startsHeld reports whether nothing may be placed or started on any worker, since it isn't
// known which data centres are being evacuated.
func (p *Planner) startsHeld() bool {
	return p.evacuations.held || !p.evacuations.known && p.options.EvacuationLimit > 0
}

// Evacuated reports whether a data centre is being evacuated.
func (p *Planner) Evacuated(d sched.DataCentre) bool { return p.evacuations.inForce[d] }

// startable returns the number of workers outside the data centres that are being evacuated.
func (p *Planner) startable() int {
	if len(p.evacuations.inForce) == 0 {
		return len(p.workers)
	}
	n := 0
	for _, h := range p.workers {
		if !p.Evacuated(h.DataCentre) {
			n++
		}
	}
	return n
}

// EvacuatedRuns returns the number of runs in the data centres that are being evacuated,
// with those that are only placed or may not be there any more.
func (p *Planner) EvacuatedRuns() int {
	if len(p.evacuations.inForce) == 0 {
		return 0
	}
	n := 0
	for _, h := range p.workers {
		if p.Evacuated(h.DataCentre) {
			n += len(h.Slots)
		}
	}
	return n
}
