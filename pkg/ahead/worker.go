package ahead

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// End is the end of a run.
type End struct {
	// Needs is the room that the end gives.
	Needs sched.Resources
	// Late is the time after the forecast by which the run has most likely ended.
	Late time.Duration
}

// Worker is the forecast of the free room of one worker, with the holds on it. It isn't
// safe for concurrent use.
type Worker struct {
	ID   sched.InstanceID
	Rack string

	// checkedAt is the newest update that has used the forecast, which was made at at.
	checkedAt, at time.Time
	free          sched.Resources
	// final is what is free once all of the ends have come.
	final sched.Resources
	ends  []End
	// holds are sorted by Ready.
	holds []*Hold
	held  sched.Resources
}

// SetForecast sets what is free at a time and the ends of the runs that are expected.
// Lasting runs have none. The ends are sorted in place and kept.
func (w *Worker) SetForecast(at time.Time, free sched.Resources, ends []End) {
	slices.SortFunc(ends, func(a, b End) int { return cmp.Compare(a.Late, b.Late) })
	w.at, w.free, w.final, w.ends = at, free, free, ends
	for _, e := range ends {
		w.final = w.final.Plus(e.Needs)
	}
}

// Held returns what is held for tasks in the plan.
func (w *Worker) Held() sched.Resources { return w.held }

// singleRunFactor applies to the time of a forecast that depends on the end of every
// single run that it counts. About 3% of the runs take several times as long as usual.
const singleRunFactor = 2

// ready returns when the need fits, and whether it ever does. It counts one more
// end than necessary where there is one, so that no single run decides.
func (w *Worker) ready(need sched.Resources) (time.Time, bool) {
	if need.Fits(w.free) {
		return w.at, true
	}
	if !need.Fits(w.final) {
		return time.Time{}, false
	}
	free, largest, enough := w.free, sched.Resources{}, time.Duration(-1)
	for _, e := range w.ends {
		free, largest = free.Plus(e.Needs), maxResources(largest, e.Needs)
		if enough < 0 && need.Fits(free) {
			enough = e.Late
		}
		if need.Fits(free.Minus(largest)) {
			return w.at.Add(min(e.Late, singleRunFactor*enough)), true
		}
	}
	return w.at.Add(singleRunFactor * enough), true
}

// freeAt returns what is free at a time.
func (w *Worker) freeAt(t time.Time) sched.Resources {
	free := w.free
	for _, e := range w.ends {
		if w.at.Add(e.Late).After(t) {
			break
		}
		free = free.Plus(e.Needs)
	}
	return free
}

// hold adds a hold.
func (w *Worker) hold(h *Hold) {
	n, _ := slices.BinarySearchFunc(w.holds, h, func(a, b *Hold) int {
		return cmp.Or(a.Ready.Compare(b.Ready), -1) // after those that are ready at the same time
	})
	w.holds, w.held = slices.Insert(w.holds, n, h), w.held.Plus(h.Needs)
}

// release removes a hold.
func (w *Worker) release(h *Hold) {
	if n := slices.Index(w.holds, h); n >= 0 {
		w.holds, w.held = slices.Delete(w.holds, n, n+1), w.held.Minus(h.Needs)
	}
}

func maxResources(a, b sched.Resources) sched.Resources {
	return sched.Resources{
		Processors: max(a.Processors, b.Processors), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func minResources(a, b sched.Resources) sched.Resources {
	return sched.Resources{
		Processors: min(a.Processors, b.Processors), Memory: min(a.Memory, b.Memory), Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
