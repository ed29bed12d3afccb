package cell

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// minWarmShare is the share of its capacity that a worker gets as soon as it is cold. A
	// worker without runs takes one task of any size.
	minWarmShare = 0.1
	// minRecovery is how long after the end of an evacuation entries of cold workers are
	// looked for. Workers renew their entries every second or two.
	minRecovery = 10 * time.Second
	// warmInterval is the time between two updates of the shares.
	warmInterval = 100 * time.Millisecond
)

// recovery is the return of load to the data centres whose evacuation has ended. Cold
// workers there get a share of their capacity that grows as their warm-up runs out; warm
// ones get all of it.
type recovery struct {
	// endedAt holds when the evacuations have ended, until no worker there is cold.
	endedAt   map[sched.DataCentre]time.Time
	updatedAt time.Time
	cold      map[*hosts.Host]warmUp
}

// began notes that the evacuation of a data centre has ended.
func (r *recovery) began(now time.Time, d sched.DataCentre) {
	if r.endedAt == nil {
		r.endedAt = map[sched.DataCentre]time.Time{}
	}
	r.endedAt[d], r.updatedAt = now, time.Time{}
}

// warmUp is that of a cold worker: how much was left of it at the most, and what of the
// worker's capacity is held back now.
type warmUp struct {
	longest  time.Duration
	heldBack sched.Resources
}

// updateRecovery sets what is held back of cold workers.
func (p *Planner) updateRecovery(now time.Time) {
	r := &p.recovery
	if len(r.endedAt) == 0 || now.Sub(r.updatedAt) < warmInterval {
		return
	}
	r.updatedAt = now
	before := r.cold
	r.cold = map[*hosts.Host]warmUp{}
	inUse := map[sched.DataCentre]bool{}
	for _, h := range p.workers {
		if _, recovering := r.endedAt[h.DataCentre]; !recovering || !h.Listed {
			continue
		}
		left := h.WarmupRemaining - now.Sub(h.ListedAt)
		if left <= 0 {
			continue
		}
		x := warmUp{longest: max(before[h].longest, h.WarmupRemaining)}
		x.heldBack = partOf(h.Capacity, min(1-minWarmShare, float64(left)/float64(x.longest)))
		r.cold[h] = x
		inUse[h.DataCentre] = true
	}
	for d, at := range r.endedAt {
		if !inUse[d] && now.Sub(at) >= minRecovery {
			delete(r.endedAt, d)
		}
	}
}

// partOf returns a part of an amount of resources.
func partOf(r sched.Resources, part float64) sched.Resources {
	return sched.Resources{
		Processors: int64(part * float64(r.Processors)), Memory: int64(part * float64(r.Memory)),
		Accelerators: int64(part * float64(r.Accelerators)),
	}
}

// freeOn returns what is free on a worker, without what is held back since it is cold.
func (p *Planner) freeOn(h *hosts.Host) sched.Resources {
	x, cold := p.recovery.cold[h]
	if !cold || len(h.Slots) == 0 {
		return h.Free()
	}
	return h.Free().Minus(x.heldBack)
}
