package ahead

import (
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Want is a step with waiting tasks that are to be planned.
type Want struct {
	Step  sched.StepRef
	Needs sched.Resources
	// Tasks is the number of tasks that wait. Together is set if they start only together.
	Tasks    int
	Together bool
	Lasting  bool
	// PerWorker is the number of tasks on one worker, 0 for any number.
	PerWorker int
	// Rank orders steps by their value; lower ones are worth more.
	Rank int
	// Rack is the preferred rack, empty if there is none. SameRack is set if tasks should
	// share any rack. FarCost is the time that a task loses elsewhere.
	Rack     string
	SameRack bool
	FarCost  time.Duration
	// Usable reports whether a worker may get a task as soon as it has room.
	Usable func(*Worker) bool
}

// Hold keeps room on a worker for a task.
type Hold struct {
	Step    sched.StepRef
	Worker  *Worker
	Needs   sched.Resources
	Lasting bool
	Rank    int
	// Since is when the hold began.
	Since time.Time
	// Ready is when the room was expected when the hold began. Other tasks may use the room
	// until then; it never moves, so that they can't delay the task again and again.
	Ready time.Time
	// Promise is Ready, or a later time after a slip.
	Promise time.Time

	// freeAtReady is what is free at Ready, without the holds. For a past Ready it is what
	// is free.
	freeAtReady sched.Resources
}

// EventKind tells what has changed in a plan.
type EventKind int

// Kinds of events. The first one is of a new plan; the others are slips.
const (
	// Planned: tasks of a step have got holds.
	Planned EventKind = iota
	// SlippedLate: the room wasn't there when it was promised.
	SlippedLate
	// SlippedUnusable: the worker can't be used any more.
	SlippedUnusable
	// SlippedRoom: the worker has lost the room.
	SlippedRoom
	// SlippedUnused: the room was there, and the task didn't start.
	SlippedUnused
)

// Event is a change of the plan of a step.
type Event struct {
	Kind EventKind
	Step sched.StepRef
	// Tasks is the number of tasks that the event is about.
	Tasks int
	// Worker is the worker of a slip, or the one that is ready last.
	Worker sched.InstanceID
	// Wait is the time until the last of the tasks starts, as it is expected now, and Late
	// the time since the promise that a slip has broken.
	Wait, Late time.Duration
}

const (
	// slipTolerance is the time after its promise from which on a hold has slipped. The
	// reports of ends take up to about this time.
	slipTolerance = 250 * time.Millisecond
	// moveMargin is how much sooner the room must be expected elsewhere for a hold to move
	// after a slip. Anything less is within the spread of the forecasts.
	moveMargin = 500 * time.Millisecond
	// farAhead is how far ahead a hold must be due for an earlier place to be looked for,
	// and improveInterval the time between two such looks for a step. Workers that come
	// back have room at once.
	farAhead        = 2 * time.Second
	improveInterval = 2 * time.Second
	// maxImproveSearches bounds the looks at all workers after which no earlier place is
	// looked for in an update. New plans and slips come first.
	maxImproveSearches = 2
	// maxMoves bounds the moves of the holds of a step, for each of its tasks. After them a
	// hold stays until the task starts, which bounds the wait.
	maxMoves = 3
	// unusedTime is how long a hold with room may stay unused, and unusedPause how long its
	// step isn't planned after that: something else than room keeps it from starting.
	unusedTime  = time.Second
	unusedPause = 5 * time.Second
	// retryPause is the time between two attempts to plan a step without success.
	retryPause = time.Second
	// maxSearches is how often an update may look at all workers. Each look takes about
	// 0.1 ms with 890 workers.
	maxSearches = 8
	// workersPerEndingHold is the number of workers for each hold of a task that ends. Such a
	// hold idles part of a worker, and tasks that end leave room to each other. Lasting tasks
	// are all needed, so their holds have no such bound.
	workersPerEndingHold = 4
)

// state is what a plan keeps of a step.
type state struct {
	holds []*Hold
	moves int
	// tryAt is when the step may be planned next, improveAt when an earlier place may be
	// looked for.
	tryAt, improveAt time.Time
	// fitsSince is when all of the room was first there and unused.
	fitsSince time.Time
	// together is that of the want, and seen is set if an update has it.
	together, seen bool
}

// Plan holds room on workers for waiting tasks. It isn't safe for concurrent use.
type Plan struct {
	steps map[sched.StepRef]*state
	// ending counts the holds of tasks that end.
	ending  int
	events  []Event
	workers []*Worker
	refresh func(*Worker)
	now     time.Time
	// searches counts the looks at all workers in an update.
	searches int
}

// New returns an empty plan.
func New() *Plan { return &Plan{steps: map[sched.StepRef]*state{}} }

// Holds returns the holds of a step.
func (p *Plan) Holds(step sched.StepRef) []*Hold {
	if s := p.steps[step]; s != nil {
		return s.holds
	}
	return nil
}

// Empty reports whether nothing is held.
func (p *Plan) Empty() bool {
	for _, s := range p.steps {
		if len(s.holds) > 0 {
			return false
		}
	}
	return true
}

// Update adapts the plan to the wants, in the order of their claims, and returns what has
// changed. It keeps holds that still serve a want and plans the other tasks. refresh brings
// the forecast of a worker up to date; it is called only for workers that matter.
func (p *Plan) Update(now time.Time, wants []Want, workers []*Worker, refresh func(*Worker)) []Event {
	p.now, p.workers, p.refresh, p.events, p.searches = now, workers, refresh, nil, 0
	for _, s := range p.steps {
		s.seen = false
	}
	for k := range wants {
		s := p.steps[wants[k].Step]
		if s == nil {
			s = &state{}
			p.steps[wants[k].Step] = s
		}
		s.seen, s.together = true, wants[k].Together
		p.review(&wants[k], s)
	}
	for step, s := range p.steps {
		if !s.seen {
			p.releaseAll(s)
			delete(p.steps, step)
		}
	}
	for _, lasting := range []bool{true, false} {
		p.searchAll(wants, lasting)
	}
	for k := range wants {
		p.improve(&wants[k], p.steps[wants[k].Step])
	}
	p.workers, p.refresh = nil, nil
	p.updateFree()
	return p.events
}

// searchAll plans the tasks without holds of the steps that last, or of the others. Lasting
// tasks come first, since each of them is needed all the time.
func (p *Plan) searchAll(wants []Want, lasting bool) {
	for k := range wants {
		w := &wants[k]
		s := p.steps[w.Step]
		if w.Lasting != lasting || len(s.holds) >= w.Tasks || p.now.Before(s.tryAt) || p.searches >= maxSearches {
			continue
		}
		p.searches++
		p.search(w, s)
	}
}

// check brings the forecast of a worker up to date, once in an update.
func (p *Plan) check(w *Worker) {
	if !w.checkedAt.Equal(p.now) {
		w.checkedAt = p.now
		p.refresh(w)
	}
}

// review drops the holds of a step that are of no use any more, and handles those that
// have slipped.
func (p *Plan) review(w *Want, s *state) {
	for len(s.holds) > w.Tasks {
		p.releaseOne(nil, w.Step)
	}
	fits := len(s.holds) > 0
	for _, h := range slices.Clone(s.holds) {
		p.check(h.Worker)
		switch {
		case !w.Usable(h.Worker):
			p.slip(w, s, h, SlippedUnusable, 0)
		case !h.Worker.held.Fits(h.Worker.final):
			p.slip(w, s, h, SlippedRoom, 0)
		default:
			fits = h.isReady() && fits
			continue
		}
		fits = false
		if w.Together {
			p.releaseAll(s)
			break
		}
	}
	switch {
	case !fits:
		s.fitsSince = time.Time{}
		p.reviewPromises(w, s)
	case s.fitsSince.IsZero():
		s.fitsSince = p.now
	case p.now.Sub(s.fitsSince) >= unusedTime:
		p.slipped(w, s.holds[0], SlippedUnused, len(s.holds), 0)
		p.releaseAll(s)
		s.tryAt, s.fitsSince = p.now.Add(unusedPause), time.Time{}
	}
}

// isReady reports whether the room of the hold is there.
func (h *Hold) isReady() bool { return h.dueRoom().Fits(h.Worker.free) }

// dueRoom returns what the hold and those before it on the worker need.
func (h *Hold) dueRoom() sched.Resources {
	need := h.Needs
	for _, x := range h.Worker.holds {
		if x == h {
			break
		}
		need = need.Plus(x.Needs)
	}
	return need
}

// reviewPromises handles the holds whose room wasn't there in time.
func (p *Plan) reviewPromises(w *Want, s *state) {
	for _, h := range slices.Clone(s.holds) {
		if p.now.Sub(h.Promise) < slipTolerance || h.isReady() {
			continue
		}
		late := p.now.Sub(h.Promise)
		ready, _ := h.Worker.ready(h.dueRoom())
		h.Promise = maxTime(ready, p.now)
		p.slipped(w, h, SlippedLate, 1, late)
		if !w.Together && s.moves < maxMoves*w.Tasks && p.searches < maxSearches {
			p.searches++
			p.move(w, s, h)
		}
	}
}

// move moves a hold that has slipped to another worker if the room is expected there
// sooner by moveMargin.
func (p *Plan) move(w *Want, s *state, h *Hold) {
	c := p.candidates(w)
	best := c.best()
	if best == nil || best.worker == h.Worker || best.ready.Add(moveMargin).After(h.Promise) {
		return
	}
	s.moves++
	p.release(s, h)
	p.add(w, s, best.worker, best.ready)
}

// improve moves a hold that is due farAhead to a worker that has room clearly sooner. Its
// due time becomes earlier each time, so that moves don't add to the wait. A hold that is
// past its due time doesn't move here.
func (p *Plan) improve(w *Want, s *state) {
	if len(s.holds) == 0 || p.now.Before(s.improveAt) || p.searches >= maxImproveSearches {
		return
	}
	last := slices.MaxFunc(s.holds, func(a, b *Hold) int { return a.Ready.Compare(b.Ready) })
	if last.Ready.Sub(p.now) < farAhead {
		return
	}
	p.searches++
	s.improveAt = p.now.Add(improveInterval)
	if w.Together {
		p.improveGang(w, s, last.Ready)
		return
	}
	best := p.candidates(w).best()
	if best != nil && best.worker != last.Worker && !best.ready.Add(moveMargin).After(last.Ready) {
		p.release(s, last)
		p.add(w, s, best.worker, best.ready)
	}
}

// improveGang plans a gang that is due at a time again, and keeps the holds that it has if
// that isn't clearly sooner.
func (p *Plan) improveGang(w *Want, s *state, due time.Time) {
	before := slices.Clone(s.holds)
	p.releaseAll(s)
	p.searchGang(w, s)
	if len(s.holds) > 0 && !s.holds[0].Ready.Add(moveMargin).After(due) {
		return
	}
	p.releaseAll(s)
	for _, h := range before {
		p.restore(s, h)
	}
}

// slip releases a hold that can't be kept.
func (p *Plan) slip(w *Want, s *state, h *Hold, kind EventKind, late time.Duration) {
	p.release(s, h)
	p.slipped(w, h, kind, 1, late)
}

func (p *Plan) slipped(w *Want, h *Hold, kind EventKind, tasks int, late time.Duration) {
	p.events = append(p.events, Event{
		Kind: kind, Step: w.Step, Tasks: tasks, Worker: h.Worker.ID, Wait: max(0, h.Promise.Sub(p.now)), Late: late,
	})
}

// add adds a hold for a task of a step.
func (p *Plan) add(w *Want, s *state, to *Worker, ready time.Time) {
	h := &Hold{
		Step: w.Step, Worker: to, Needs: w.Needs, Lasting: w.Lasting, Rank: w.Rank, Since: p.now,
		Ready: maxTime(ready, p.now), Promise: maxTime(ready, p.now),
	}
	p.restore(s, h)
}

// restore adds a hold to those of its step and of its worker.
func (p *Plan) restore(s *state, h *Hold) {
	s.holds = append(s.holds, h)
	h.Worker.hold(h)
	if !h.Lasting {
		p.ending++
	}
}

// release drops a hold.
func (p *Plan) release(s *state, h *Hold) {
	s.holds = slices.DeleteFunc(s.holds, func(x *Hold) bool { return x == h })
	h.Worker.release(h)
	if !h.Lasting {
		p.ending--
	}
}

func (p *Plan) releaseAll(s *state) {
	for len(s.holds) > 0 {
		p.release(s, s.holds[len(s.holds)-1])
	}
}

// updateFree computes freeAtReady of all holds.
func (p *Plan) updateFree() {
	for _, s := range p.steps {
		for _, h := range s.holds {
			h.freeAtReady = h.Worker.freeAt(maxTime(h.Ready, h.Worker.at))
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
