package plan

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/place"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// visitGap is the longest time between two visits of a queue in which
	// nothing changed.
	visitGap = time.Second
	// decisionsPerStep bounds the time of a step.
	decisionsPerStep = 500
	// shunnedGap is the time between two looks at avoided workers, less than
	// the time in which a probe may be placed.
	shunnedGap = time.Second
	// reserveAfter is the time after which a task that found no room gets a
	// worker reserved: it is bound there and smaller tasks go elsewhere.
	reserveAfter = 30 * time.Second
)

// decision is a placement that is not read back yet.
type decision struct {
	worker sched.InstanceID
	team   string
	needs  sched.Resources
	ahead  bool
}

// overlay is what open decisions and claims take of a worker.
type overlay struct {
	direct sched.Resources
	ahead  sched.Resources
	bound  int
}

// delayed is a task whose last attempt ended, but whose start command may
// still be on its way to a worker that has lost its memory of the end.
type delayed struct {
	task  sched.TaskID
	until time.Time
}

// changed follows a valid entry.
func (p *Planner) changed(c *ledger.Change) {
	switch c.Kind {
	case sched.EntryTerm, sched.EntryTermEnded, sched.EntryDeclaredDead:
		p.termChanged()
		if c.Kind == sched.EntryDeclaredDead {
			p.refreshAll()
		}
		return
	default:
	}
	if p.book.Term() == 0 {
		return
	}
	p.stirred = true
	switch c.Kind {
	case sched.EntryAccepted:
		p.queue.Add(c.Task)
	case sched.EntryPlaced:
		p.countTask(c.Worker.WorkerStatus, &c.Task.Task, 1)
		p.touch(c.Worker.Worker)
	case sched.EntryEnded, sched.EntryExpired:
		p.attemptOver(c)
	case sched.EntryWorkerSeen:
		p.sumCapacity()
		p.refresh(c.Worker.Worker)
	default:
		if c.Worker != nil {
			p.touch(c.Worker.Worker)
		}
	}
}

// attemptOver follows the end of an attempt.
func (p *Planner) attemptOver(c *ledger.Change) {
	t := c.Task
	if c.Worker != nil {
		p.countTask(c.Worker.WorkerStatus, &t.Task, -1)
		if t.Task.Urgency == sched.UrgencyUrgent {
			p.keepRoom(c.Worker.Worker, t.Task.Needs)
		}
		if s := p.options.Suspects; s != nil && c.Kind == sched.EntryEnded {
			s.Ended(p.now, c.Worker.Worker, t.Task.ID, t.Task.Kind, c.Result)
		}
		p.touch(c.Worker.Worker)
	}
	switch t.State {
	case sched.TaskQueued:
		until := p.now
		if c.Worker != nil {
			until = p.startVoid(c.Worker.Worker, attemptKey{t.Task.ID, c.Attempt})
		}
		p.delay(t, until)
	case sched.TaskDone:
		p.estimator.Ran(t.Task.Kind, t.Progress)
		p.event("taskDone", t.Task.ID, "")
	case sched.TaskFailed:
		p.event("taskFailed", t.Task.ID, t.Reason)
	default:
	}
}

// countTask follows a task that was put on a worker (1) or left it (-1).
func (p *Planner) countTask(w sched.WorkerStatus, t *sched.Task, change int) {
	p.direct.Count(w.Rack, t.Team, t.Kind, change)
	p.express.Count(w.Rack, t.Team, t.Kind, change)
	if t.Urgency == sched.UrgencyUrgent {
		p.urgentOn[w.Worker] += change
	}
}

func (p *Planner) delay(t *sched.TaskStatus, until time.Time) {
	p.delayed = append(p.delayed, delayed{t.Task.ID, until})
}

// touch updates what a worker has free and lets it be called at once.
func (p *Planner) touch(id sched.InstanceID) {
	if n := p.nodes[id]; n != nil {
		n.dirty = true
	}
	p.refresh(id)
}

// refresh updates a worker in the finders.
func (p *Planner) refresh(id sched.InstanceID) {
	p.stirred = true
	n := p.nodes[id]
	w, known := p.ledger.Worker(id)
	if !known || n == nil || !n.takesTasks() || w.Drained || p.avoided(id) {
		p.direct.Remove(id)
		p.express.Remove(id)
		p.ahead.Remove(id)
		p.reserve.Remove(id)
		return
	}
	o := p.overlay[id]
	free := w.Free().Minus(o.direct).Minus(o.ahead)
	p.express.Set(id, w.Rack, free)
	p.direct.Set(id, w.Rack, free.Minus(p.held[id]))
	room := w.Capacity.Minus(w.Bound).Minus(o.ahead)
	bound := w.Waiting + o.bound
	depth := p.settings.Limits.AheadDepth
	p.setAhead(p.ahead, w, room, bound < depth)
	p.setAhead(p.reserve, w, room, bound <= depth)
}

// setAhead opens a worker for bound tasks. Workers with urgent tasks get none,
// as a bound task would take the room before the next urgent one.
func (p *Planner) setAhead(f Finder, w *ledger.Worker, room sched.Resources, open bool) {
	_, held := p.held[w.Worker]
	if open && !p.claimed[w.Worker] && !held && p.urgentOn[w.Worker] == 0 {
		f.Set(w.Worker, w.Rack, room)
		return
	}
	f.Remove(w.Worker)
}

// avoided tells whether a worker is suspected, and notes changes.
func (p *Planner) avoided(id sched.InstanceID) bool {
	if p.options.Suspects == nil {
		return false
	}
	avoid := p.options.Suspects.Avoid(p.now, id)
	if avoid && !p.shunned[id] {
		p.shunned[id] = true
		p.event("workerAvoided", "", string(id))
	}
	return avoid
}

// lookAtShunned lets workers take tasks again whose pause is over, or for
// which a probe is due.
func (p *Planner) lookAtShunned() {
	if len(p.shunned) == 0 || p.now.Sub(p.shunnedAt) < shunnedGap {
		return
	}
	p.shunnedAt = p.now
	for _, n := range p.order {
		id := n.member.ID
		if !p.shunned[id] {
			continue
		}
		if !p.options.Suspects.Avoid(p.now, id) {
			delete(p.shunned, id)
		}
		p.refresh(id)
	}
}

func (p *Planner) refreshAll() {
	p.sumCapacity()
	for _, n := range p.order {
		p.refresh(n.member.ID)
	}
}

func (p *Planner) sumCapacity() {
	p.total = sched.Resources{}
	p.ledger.EachWorker(func(w *ledger.Worker) { p.total = p.total.Plus(w.Capacity) })
}

// countPlaced fills the finders from the replayed state.
func (p *Planner) countPlaced() {
	p.ledger.EachOpen(func(t *sched.TaskStatus) {
		if w, ok := p.ledger.Worker(t.Worker); ok {
			p.countTask(w.WorkerStatus, &t.Task, 1)
		}
	})
	p.refreshAll()
}

// schedule makes the decisions that are due.
func (p *Planner) schedule() {
	p.expireLost()
	p.endHolds()
	p.lookAtShunned()
	p.releaseDelayed()
	p.interfere()
	p.useClaims()
	if !p.stirred && p.now.Sub(p.visited) < visitGap {
		return
	}
	p.stirred, p.visited = false, p.now
	left := decisionsPerStep
	p.queue.Round(p.share, func(id sched.TaskID) place.Verdict {
		if left--; left < 0 {
			p.stirred = true
			return place.Enough
		}
		return p.visit(id)
	})
}

func (p *Planner) releaseDelayed() {
	if len(p.delayed) == 0 || !p.book.Settled(p.now) {
		return
	}
	kept := p.delayed[:0]
	for _, d := range p.delayed {
		if !p.book.Void(d.until, p.now) {
			kept = append(kept, d)
			continue
		}
		if t, ok := p.ledger.Task(d.task); ok && t.State == sched.TaskQueued {
			p.queue.Add(t)
		}
	}
	p.delayed = kept
	p.stirred = true
}

// share returns the largest part of its quota that a team holds, or of the
// whole capacity if it has no quota.
func (p *Planner) share(team string) float64 {
	hold := p.ledger.Team(team).Plus(p.teams[team])
	quota := p.quotas[team]
	part := func(n, q, all int64) float64 {
		if q == 0 {
			q = all
		}
		if q == 0 {
			return 0
		}
		return float64(n) / float64(q)
	}
	return max(part(hold.Processors, quota.Processors, p.total.Processors),
		part(hold.Memory, quota.Memory, p.total.Memory),
		part(hold.Accelerators, quota.Accelerators, p.total.Accelerators))
}

// visit decides about the first task of a line.
func (p *Planner) visit(id sched.TaskID) place.Verdict {
	t, ok := p.ledger.Task(id)
	if !ok || t.State != sched.TaskQueued {
		return place.Taken
	}
	if _, open := p.plans[id]; open {
		return place.Taken
	}
	if !p.withinQuota(&t.Task) {
		return place.NoRoom
	}
	finder := p.direct
	if t.Task.Urgency == sched.UrgencyUrgent {
		finder = p.express
	}
	if w, found := finder.Find(&t.Task); found {
		p.decide(t, w, false)
		return place.Taken
	}
	if fits, largest := p.ledger.FitsEver(t.Task.Needs); !fits {
		p.note(sched.TaskEntry{
			Kind: sched.EntryEnded, TaskID: id, Attempt: t.Attempt, Term: p.book.Term(),
			Result: sched.AttemptFailed, Final: true, Reason: neverFits(t.Task.Needs, largest),
		})
		return place.NoRoom
	}
	if t.Task.Urgency == sched.UrgencyUrgent && p.claimRoom(t) {
		return place.Taken
	}
	return p.bindAhead(t)
}

// bindAhead binds a task that finds no room to a worker that will have some.
func (p *Planner) bindAhead(t *sched.TaskStatus) place.Verdict {
	w, found := p.ahead.Find(&t.Task)
	if !found && p.now.Sub(t.Task.SubmittedAt) >= reserveAfter {
		w, found = p.reserve.Find(&t.Task)
	}
	if !found {
		return place.NoRoom
	}
	p.decide(t, w, true)
	return place.Taken
}

func (p *Planner) withinQuota(t *sched.Task) bool {
	quota, limited := p.quotas[t.Team]
	if !limited {
		return true
	}
	hold := p.ledger.Team(t.Team).Plus(p.teams[t.Team]).Plus(t.Needs)
	in := func(n, q int64) bool { return q == 0 || n <= q }
	return in(hold.Processors, quota.Processors) && in(hold.Memory, quota.Memory) &&
		in(hold.Accelerators, quota.Accelerators)
}

// decide records a placement and holds its room until it is read back.
func (p *Planner) decide(t *sched.TaskStatus, worker sched.InstanceID, ahead bool) {
	needs := t.Task.Needs
	p.note(sched.TaskEntry{
		Kind: sched.EntryPlaced, TaskID: t.Task.ID, Attempt: t.Attempt + 1, Worker: worker,
		Term: p.book.Term(), Ahead: ahead, Quota: p.quotas[t.Task.Team],
	})
	if t.Task.Urgency == sched.UrgencyUrgent && !ahead {
		p.useHold(worker)
	}
	if s := p.options.Suspects; s != nil {
		s.Placed(p.now, worker)
	}
	p.plans[t.Task.ID] = decision{worker, t.Task.Team, needs, ahead}
	p.teams[t.Task.Team] = p.teams[t.Task.Team].Plus(needs)
	o := p.overlay[worker]
	if ahead {
		o.ahead, o.bound = o.ahead.Plus(needs), o.bound+1
	} else {
		o.direct = o.direct.Plus(needs)
	}
	if x, ok := p.options.Suspects.(Prober); ok {
		x.Placed(p.now, worker)
	}
	p.setOverlay(worker, o)
	if x, ok := p.options.Interference.(Placer); ok && !ahead {
		x.Placed(p.now, worker, t.Task.ID, t.Attempt+1, t.Task.Kind)
	}
}

// undecide ends the hold of a placement, and queues the task if the placement
// was not valid.
func (p *Planner) undecide(id sched.TaskID) {
	d, open := p.plans[id]
	if !open {
		return
	}
	delete(p.plans, id)
	if p.teams[d.team] = p.teams[d.team].Minus(d.needs); p.teams[d.team] == (sched.Resources{}) {
		delete(p.teams, d.team)
	}
	o := p.overlay[d.worker]
	if d.ahead {
		o.ahead, o.bound = o.ahead.Minus(d.needs), o.bound-1
	} else {
		o.direct = o.direct.Minus(d.needs)
	}
	p.setOverlay(d.worker, o)
	if t, ok := p.ledger.Task(id); ok && t.State == sched.TaskQueued {
		p.queue.Add(t)
	}
}

func (p *Planner) setOverlay(worker sched.InstanceID, o overlay) {
	if o == (overlay{}) {
		delete(p.overlay, worker)
	} else {
		p.overlay[worker] = o
	}
	p.refresh(worker)
}
