package ahead

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// candidate is a worker on which a task of a step fits at some time.
type candidate struct {
	worker *Worker
	ready  time.Time
	// score is ready with the time that the task loses on another rack.
	score time.Time
}

// candidates are the candidates for the tasks of a want.
type candidates struct {
	want *Want
	rack string
	list []candidate
}

// candidates returns the workers on which a task fits beside the holds.
func (p *Plan) candidates(w *Want) *candidates {
	c := &candidates{want: w, rack: w.Rack}
	for _, x := range p.workers {
		if w.PerWorker > 0 && x.holdsFor(w.Step) {
			continue
		}
		p.check(x)
		if ready, fits := x.ready(x.held.Plus(w.Needs)); fits && w.Usable(x) {
			c.list = append(c.list, candidate{worker: x, ready: ready, score: c.score(x, ready)})
		}
	}
	return c
}

// holdsFor reports whether the worker has a hold for the step.
func (w *Worker) holdsFor(step sched.StepRef) bool {
	return slices.ContainsFunc(w.holds, func(h *Hold) bool { return h.Step == step })
}

func (c *candidates) score(w *Worker, ready time.Time) time.Time {
	if c.rack != "" && w.Rack != c.rack {
		return ready.Add(c.want.FarCost)
	}
	return ready
}

// best returns the candidate that is ready first, nil if there is none.
func (c *candidates) best() *candidate {
	var best *candidate
	for k := range c.list {
		x := &c.list[k]
		if best == nil || x.score.Before(best.score) || x.score.Equal(best.score) && x.worker.ID < best.worker.ID {
			best = x
		}
	}
	return best
}

// taken updates a candidate after it got a hold.
func (c *candidates) taken(x *candidate) {
	ready, fits := x.worker.ready(x.worker.held.Plus(c.want.Needs))
	if !fits || c.want.PerWorker > 0 {
		*x = c.list[len(c.list)-1]
		c.list = c.list[:len(c.list)-1]
		return
	}
	x.ready, x.score = ready, c.score(x.worker, ready)
}

// allowed returns how many of n tasks of a want may get a hold. The first hold of tasks that
// end, and the first gang, always may.
func (p *Plan) allowed(w *Want, n int) int {
	left := len(p.workers)/workersPerEndingHold - p.ending
	switch {
	case w.Lasting || w.Together && p.ending == 0:
		return n
	case w.Together && n > left:
		return 0
	case p.ending == 0:
		left = max(left, 1)
	}
	return min(n, left)
}

// search plans the tasks of a want that have no hold yet.
func (p *Plan) search(w *Want, s *state) {
	missing := p.allowed(w, w.Tasks-len(s.holds))
	if missing <= 0 {
		s.tryAt = p.now.Add(retryPause)
		return
	}
	before := len(s.holds)
	if w.Together {
		p.searchGang(w, s)
	} else {
		c := p.candidates(w)
		for range missing {
			x := c.best()
			if x == nil {
				break
			}
			p.add(w, s, x.worker, x.ready)
			c.taken(x)
		}
	}
	if len(s.holds) < w.Tasks {
		s.tryAt = p.now.Add(retryPause)
	}
	if added := s.holds[before:]; len(added) > 0 {
		last := slices.MaxFunc(added, func(a, b *Hold) int { return a.Ready.Compare(b.Ready) })
		p.events = append(p.events, Event{
			Kind: Planned, Step: w.Step, Tasks: len(added), Worker: last.Worker.ID, Wait: last.Ready.Sub(p.now),
		})
	}
}

// searchGang holds room for all tasks of a gang, on one rack if that doesn't cost more
// time than it saves, or for none.
func (p *Plan) searchGang(w *Want, s *state) {
	var seats []candidate
	for _, x := range p.candidates(w).list {
		need := x.worker.held
		for range w.Tasks {
			need = need.Plus(w.Needs)
			ready, fits := x.worker.ready(need)
			if !fits {
				break
			}
			seats = append(seats, candidate{worker: x.worker, ready: ready})
			if w.PerWorker > 0 && len(seats) >= w.PerWorker && seats[len(seats)-w.PerWorker].worker == x.worker {
				break
			}
		}
	}
	slices.SortFunc(seats, func(a, b candidate) int {
		return cmp.Or(a.ready.Compare(b.ready), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	if len(seats) < w.Tasks {
		return
	}
	chosen := seats[:w.Tasks]
	if w.SameRack || w.Rack != "" {
		chosen = w.bestRack(seats, chosen)
	}
	ready := chosen[len(chosen)-1].ready
	for _, x := range chosen {
		p.add(w, s, x.worker, ready)
	}
}

// bestRack returns the first seats of the rack that has enough of them first, or those of
// all racks if they are ready earlier by more than FarCost.
func (w *Want) bestRack(seats, all []candidate) []candidate {
	racks := map[string][]candidate{}
	for _, x := range seats {
		list := append(racks[x.worker.Rack], x)
		racks[x.worker.Rack] = list
		if len(list) < w.Tasks || w.Rack != "" && x.worker.Rack != w.Rack && !w.SameRack {
			continue
		}
		if x.ready.After(all[len(all)-1].ready.Add(w.FarCost)) {
			break
		}
		return list
	}
	return all
}
