package audit

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/work"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// SetEvacuated records that the store has acknowledged the evacuation of a data centre, or
// its withdrawal.
func (a *Audit) SetEvacuated(at time.Time, d sched.DataCentre, inForce bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.evacuatedAt == nil {
		a.evacuatedAt = map[sched.DataCentre]time.Time{}
	}
	_, before := a.evacuatedAt[d]
	switch {
	case !inForce:
		delete(a.evacuatedAt, d)
	case !before:
		a.evacuatedAt[d] = at
	}
}

// checkEvacuated counts a start in an evacuated data centre, and reports it if it comes too
// late.
func (a *Audit) checkEvacuated(at time.Time, w *work.Worker, k work.RunKey) {
	if a.startsIn == nil {
		a.startsIn = map[sched.DataCentre]int64{}
	}
	a.startsIn[w.DataCentre]++
	since, evacuated := a.evacuatedAt[w.DataCentre]
	if !evacuated {
		return
	}
	age := at.Sub(since)
	a.latestEvacuated = max(a.latestEvacuated, age)
	if age > a.EvacuationTime {
		a.report(at, Evacuated, "%v run %d on %s, %s after the evacuation of %s", k.Task, k.Run, w.ID, age, w.DataCentre)
	}
}

// StartsIn returns the number of runs that have started in a data centre.
func (a *Audit) StartsIn(d sched.DataCentre) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.startsIn[d]
}

// LatestEvacuated returns the longest time between the acknowledgement of an evacuation and a
// start in its data centre, 0 if there was none.
func (a *Audit) LatestEvacuated() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.latestEvacuated
}
