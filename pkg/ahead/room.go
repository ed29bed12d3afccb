package ahead

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Ask describes a task that may start on a worker now.
type Ask struct {
	Step sched.StepRef
	// Planned is set if the task may use the holds of its step.
	Planned bool
	// Late is how long the task most likely takes at most, 0 if that isn't known.
	Late time.Duration
	// Rank is that of Want.
	Rank    int
	Lasting bool
}

// endsBy reports whether the task most likely has ended by a time if it starts now.
func (a Ask) endsBy(now, t time.Time) bool {
	return !a.Lasting && a.Late > 0 && !now.Add(a.Late).After(t)
}

// passes reports whether the task may take the room of a hold: it is worth more, and
// the hold isn't due yet. Lasting tasks would keep the room, and the holds of lasting
// tasks aren't passed.
func (a Ask) passes(now time.Time, h *Hold) bool {
	return !a.Lasting && !h.Lasting && a.Rank < h.Rank && now.Before(h.Ready)
}

// Room returns how much of what is free on a worker a task may take without delaying the
// plan. A task that ends before the held room is due may take all, others what the holds
// leave then.
func (p *Plan) Room(now time.Time, w *Worker, free sched.Resources, a Ask) sched.Resources {
	if w == nil || len(w.holds) == 0 {
		return free
	}
	var own, others, before sched.Resources
	room := free
	for _, h := range w.holds {
		switch {
		case a.Planned && h.Step == a.Step:
			own, before = own.Plus(h.Needs), others
			continue
		case a.passes(now, h):
			continue
		}
		others = others.Plus(h.Needs)
		if !a.endsBy(now, h.Ready) {
			room = minResources(room, h.freeAtReady.Minus(others))
		}
	}
	if own != (sched.Resources{}) {
		room = minResources(free.Minus(before), maxResources(own, free.Minus(others)))
	}
	return minResources(free, maxResources(room, sched.Resources{}))
}

// Ready reports whether there is room for a held task of a step, or for all of a gang, given
// what is free on the workers.
func (p *Plan) Ready(step sched.StepRef, free func(*Worker) sched.Resources) bool {
	s := p.steps[step]
	if s == nil || len(s.holds) == 0 {
		return false
	}
	for _, h := range s.holds {
		if ready := h.dueRoom().Fits(free(h.Worker)); ready != s.together {
			return ready
		}
	}
	return s.together
}

// Placed notes that a task was placed on a worker. One of the holds of its step is
// released: on that worker, or else the one that is ready last.
func (p *Plan) Placed(now time.Time, w *Worker, needs sched.Resources, a Ask) {
	if a.Planned {
		p.releaseOne(w, a.Step)
	}
	if w == nil {
		return
	}
	w.free = w.free.Minus(needs)
	if a.Lasting {
		w.final = w.final.Minus(needs)
	}
	for _, h := range w.holds {
		if !a.endsBy(now, h.Ready) {
			h.freeAtReady = h.freeAtReady.Minus(needs)
		}
	}
}

// releaseOne releases a hold of the step.
func (p *Plan) releaseOne(w *Worker, step sched.StepRef) {
	s := p.steps[step]
	if s == nil || len(s.holds) == 0 {
		return
	}
	last := s.holds[0]
	for _, h := range s.holds {
		if h.Worker == w {
			last = h
			break
		}
		if h.Ready.After(last.Ready) {
			last = h
		}
	}
	p.release(s, last)
}
