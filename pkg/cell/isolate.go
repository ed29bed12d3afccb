package cell

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/crash"
	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
)

const (
	// isolationTime is how long nothing is placed beside a suspect. It is longer than
	// crash.StartWindow, so that a task which crashes its worker somewhat later is
	// still the only one in doubt.
	isolationTime = time.Second
	// maxSuspectWait is how long a suspect waits for a worker that suits it. It is as long
	// as others are kept from a suspect of two crashes.
	maxSuspectWait = crash.SoundAge
	// maxSeparationWait is how long a suspect waits for a worker where nothing has
	// started just before. Longer waits would be seen by its caller.
	maxSeparationWait = 1500 * time.Millisecond
)

// unproven reports whether a run hasn't been at work for long enough to show that
// it doesn't crash its worker.
func unproven(now time.Time, s *hosts.Slot, window time.Duration) bool {
	return s.Phase != hosts.Started || now.Sub(s.StartedAt) < window
}

// isolated reports whether nothing may be placed on a worker because a suspect there
// hasn't shown yet that it doesn't crash it. A suspect of two crashes takes longer to
// show that.
func isolated(now time.Time, h *hosts.Host) bool {
	if !h.HasSuspects() {
		return false
	}
	for _, s := range h.Slots {
		window := isolationTime
		if s.Crashes > 1 {
			window = crash.SoundAge
		}
		if s.Suspect && unproven(now, s, window) {
			return true
		}
	}
	return false
}

// quiet reports whether no run on the worker has just started, so that a crash would
// be the doing of the next one.
func quiet(now time.Time, h *hosts.Host) bool {
	for _, s := range h.Slots {
		if unproven(now, s, crash.StartWindow) {
			return false
		}
	}
	return true
}

// exposure weighs what would be lost on a worker if it crashed.
func exposure(h *hosts.Host) int {
	const filler, batch, lasting = 1, 2, 8
	sum := 0
	for _, s := range h.Slots {
		switch {
		case s.Step.Lasting:
			sum += lasting
		case s.Step.Filler:
			sum += filler
		default:
			sum += batch
		}
	}
	return sum
}

// placeSuspects places the tasks of a step that are suspects of a crash, each on the
// worker with room where a crash would do the least harm, and returns those left
// waiting. While the step as a whole is suspected, its tasks are placed one after
// the other.
func (p *Planner) placeSuspects(now time.Time, w *waitingStep) []int {
	suspected, busy := p.stepSuspected(now, w)
	if suspected && busy {
		left := w.tasks
		w.tasks = nil
		return left
	}
	var left, free []int
	var r *ranking
	placed := false
	for _, k := range w.tasks {
		suspect := w.job.suspected(w.taskRef(k))
		switch {
		case !suspect && !suspected:
			free = append(free, k)
		case suspected && (placed || !suspect):
			left = append(left, k)
		default:
			if r == nil {
				w.beginWaiting(now)
				r = p.rank(now, w)
			}
			h := r.isolationWorker(k)
			if h.Host == nil {
				left = append(left, k)
				continue
			}
			placed = true
			x := p.placeTask(now, w, k, h.Host, w.occurrence.Steps[w.step].Tasks[k].LastRun+1)
			if h.crowded || h.suspected {
				p.useLastResort(now, w, x, h)
			}
			r.updateAfterPlacing(h.Host)
		}
	}
	w.tasks = free
	return left
}

// stepSuspected reports whether all tasks of a step may crash their workers: one is a
// suspect, and none has shown yet that it doesn't. It also reports whether a run of
// the step is about to show it.
func (p *Planner) stepSuspected(now time.Time, w *waitingStep) (suspected, busy bool) {
	tasks := w.occurrence.Steps[w.step].Tasks
	if w.occurrence.Steps[w.step].Done > 0 {
		return false, false
	}
	for k := range tasks {
		suspected = suspected || w.job.suspected(w.taskRef(k))
		for _, r := range tasks[k].Runs {
			h := p.workers[r.Worker]
			if h == nil {
				continue
			}
			s := h.Slots[hosts.Key{Task: w.taskRef(k), Run: r.Number}]
			switch {
			case s == nil || h.Failures > 0 && !s.Suspect:
			case h.Failures > 0 || unproven(now, s, crash.StartWindow):
				busy = true
			default:
				return false, false
			}
		}
	}
	return suspected, busy
}

// isolationWorker returns the worker with room for a suspect of the step where a crash
// would do the least harm, without a Host if there is none. For a while only workers
// count on which nothing has just started. After maxSuspectWait an overdue step may use
// workers without suspects that suit it less.
func (r *ranking) isolationWorker(index int) scoredWorker {
	waited := r.now.Sub(r.waitingStep.waitingSince)
	patient := waited < maxSeparationWait
	risk := r.planner.riskOf(r.now, r.waitingStep, index)
	var best, lastResort scoredWorker
	least := 0
	for _, c := range r.candidates {
		switch {
		case patient && !quiet(r.now, c.Host) || c.suspected && !risk.allows(c.Host):
			continue
		case c.crowded || c.suspected:
			if waited >= maxSuspectWait && !c.HasSuspects() && (lastResort.Host == nil || c.better(lastResort)) {
				lastResort = c
			}
			continue
		}
		e := exposure(c.Host)
		if best.Host == nil || e < least || e == least && c.better(best) {
			best, least = c, e
		}
	}
	if best.Host == nil {
		return lastResort
	}
	return best
}
