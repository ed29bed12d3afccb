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
	key    attemptKey
	worker sched.InstanceID
	until  time.Time // deadline of the last call that carried the command
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
		if c.Kind == sched.EntryExpired {
			// Nothing on the worker was alive, and no call was valid.
			p.queue.Add(t)
			return
		}
		p.delay(t)
	case sched.TaskDone:
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

// delay lets a task wait until its last attempt can't start again.
func (p *Planner) delay(t *sched.TaskStatus) {
	k := attemptKey{t.Task.ID, t.Attempt}
	p.delayed = append(p.delayed, delayed{k, t.LastWorker, p.startVoid(t.LastWorker, k)})
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

// releaseDelayed queues the tasks whose last attempt can't start again.
func (p *Planner) releaseDelayed() {
	if len(p.delayed) == 0 {
		return
	}
	for _, n := range p.order {
		n.awaited = false
	}
	kept := p.delayed[:0]
	for _, d := range p.delayed {
		if !p.cantStart(d) {
			kept = append(kept, d)
			continue
		}
		if t, ok := p.ledger.Task(d.key.task); ok && t.State == sched.TaskQueued {
			p.queue.Add(t)
			p.stirred = true
		}
	}
	p.delayed = kept
}

// cantStart tells whether the start command of an ended attempt is void, and
// whether the worker said after that time that the attempt doesn't run. A
// command that arrived just before the deadline may have started it again.
func (p *Planner) cantStart(d delayed) bool {
	void, known := p.book.VoidBy(d.until)
	if !known || !p.now.After(void) {
		return false
	}
	n := p.nodes[d.worker]
	if n == nil {
		return true
	}
	r, reported := n.reports[d.key]
	if n.clear.After(void) && (!reported || r.State.Ended()) {
		return true
	}
	n.awaited = true
	return false
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
	if w, ok := p.options.Interference.(Watcher); ok {
		w.Placed(p.now, worker, t.Task.ID, t.Attempt+1, t.Task.Kind)
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
