package plan

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/place"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// visitInterval is the time between two visits of the queue while nothing
	// has changed.
	visitInterval = time.Second
	// maxVisitsPerStep limits the queued tasks that one step visits, and so the
	// duration of the step.
	maxVisitsPerStep = 500
	// reserveWorkerAfter is the time since submission after which a task that
	// finds no room may be bound to a worker beyond the ahead depth. Its needs
	// then count as taken there, so smaller tasks are placed elsewhere.
	reserveWorkerAfter = 30 * time.Second
)

// decision is a placement whose entry has not been read back from the log.
type decision struct {
	worker sched.InstanceID
	team   string
	needs  sched.Resources
	ahead  bool
}

// pendingUse is the part of a worker's resources that open decisions and claims
// take and the replayed state doesn't show yet.
type pendingUse struct {
	direct     sched.Resources
	bound      sched.Resources
	boundCount int
}

// delayedTask is a task whose last attempt has ended but may start again: its
// start command may still be in flight to a worker that restarted and no longer
// knows that the attempt ended.
type delayedTask struct {
	key      attemptKey
	worker   sched.InstanceID
	deadline time.Time // latest deadline of a call that carried the start command
}

// applyChange updates the planning state after a valid entry was replayed.
func (p *Planner) applyChange(c *ledger.Change) {
	switch c.Kind {
	case sched.EntryTerm, sched.EntryTermEnded, sched.EntryDeclaredDead:
		p.termChanged()
		if c.Kind == sched.EntryDeclaredDead {
			p.updateAllFinders()
		}
		return
	default:
	}
	if p.leases.Term() == 0 {
		return
	}
	p.queueChanged = true
	switch c.Kind {
	case sched.EntryAccepted:
		p.queue.Add(c.Task)
	case sched.EntryPlaced:
		p.countTask(c.Worker.WorkerStatus, &c.Task.Task, 1)
		p.workerChanged(c.Worker.Worker)
	case sched.EntryEnded, sched.EntryExpired:
		p.attemptEnded(c)
	case sched.EntryWorkerSeen:
		p.sumCapacity()
		p.updateFinders(c.Worker.Worker)
	default:
		if c.Worker != nil {
			p.workerChanged(c.Worker.Worker)
		}
	}
}

// attemptEnded updates the planning state after an attempt ended or expired.
func (p *Planner) attemptEnded(c *ledger.Change) {
	t := c.Task
	if c.Worker != nil {
		p.countTask(c.Worker.WorkerStatus, &t.Task, -1)
		if t.Task.Urgency == sched.UrgencyUrgent {
			p.holdRoom(c.Worker.Worker, t.Task.Needs)
		}
		if s := p.options.FailureClassifier; s != nil && c.Kind == sched.EntryEnded {
			s.AttemptEnded(p.now, c.Worker.Worker, t.Task.ID, t.Task.Kind, c.Result)
		}
		p.workerChanged(c.Worker.Worker)
	}
	switch t.State {
	case sched.TaskQueued:
		if c.Kind == sched.EntryExpired {
			// An expired attempt can't start again: nothing on the worker is
			// alive, and no call to it is still valid.
			p.queue.Add(t)
			return
		}
		p.delayTask(t)
	case sched.TaskDone:
		p.emitEvent("taskDone", t.Task.ID, "")
	case sched.TaskFailed:
		p.emitEvent("taskFailed", t.Task.ID, t.Reason)
	default:
	}
}

// countTask adds a task to the counts of a worker (change 1) or removes it (-1).
func (p *Planner) countTask(w sched.WorkerStatus, t *sched.Task, change int) {
	p.directFinder.Count(w.Rack, t.Team, t.Kind, change)
	p.urgentFinder.Count(w.Rack, t.Team, t.Kind, change)
	if t.Urgency == sched.UrgencyUrgent {
		p.urgentTasks[w.Worker] += change
	}
}

// delayTask keeps a task out of the queue until its last attempt can't start
// again.
func (p *Planner) delayTask(t *sched.TaskStatus) {
	k := attemptKey{t.Task.ID, t.Attempt}
	p.delayed = append(p.delayed, delayedTask{k, t.LastWorker, p.startDeadline(t.LastWorker, k)})
}

// loadFinders fills the finders from the replayed state.
func (p *Planner) loadFinders() {
	p.ledger.EachOpenTask(func(t *sched.TaskStatus) {
		if w, ok := p.ledger.Worker(t.Worker); ok {
			p.countTask(w.WorkerStatus, &t.Task, 1)
		}
	})
	p.updateAllFinders()
}

// schedule makes all decisions that are due, and visits the queue if something
// changed or visitInterval has passed.
func (p *Planner) schedule() {
	p.expireUnreachable()
	p.expireHolds()
	p.recheckAvoided()
	p.releaseDelayed()
	p.applyInterference()
	p.resolveClaims()
	if !p.queueChanged && p.now.Sub(p.lastVisitAt) < visitInterval {
		return
	}
	p.queueChanged, p.lastVisitAt = false, p.now
	left := maxVisitsPerStep
	p.queue.Round(p.quotaUse, func(id sched.TaskID) place.Verdict {
		if left--; left < 0 {
			p.queueChanged = true
			return place.EndRound
		}
		return p.tryPlace(id)
	})
}

// releaseDelayed queues the delayed tasks whose last attempt can't start again.
func (p *Planner) releaseDelayed() {
	if len(p.delayed) == 0 {
		return
	}
	for _, n := range p.workerList {
		n.reportAwaited = false
	}
	kept := p.delayed[:0]
	for _, d := range p.delayed {
		if !p.cantStart(d) {
			kept = append(kept, d)
			continue
		}
		if t, ok := p.ledger.Task(d.key.task); ok && t.State == sched.TaskQueued {
			p.queue.Add(t)
			p.queueChanged = true
		}
	}
	p.delayed = kept
}

// cantStart reports whether an ended attempt can no longer start: its start
// command is void, and the worker has reported after that time that the attempt
// doesn't run. The report is needed because a command that arrived just before
// its deadline may have started the attempt again. A worker that the planner has
// dropped needs no report.
func (p *Planner) cantStart(d delayedTask) bool {
	void, known := p.leases.NoEffectAfter(d.deadline)
	if !known || !p.now.After(void) {
		return false
	}
	n := p.workers[d.worker]
	if n == nil {
		return true
	}
	r, reported := n.reports[d.key]
	if n.reportedAsOf.After(void) && (!reported || r.State.Ended()) {
		return true
	}
	n.reportAwaited = true
	return false
}

// quotaUse returns the largest part, over all resources, of its quota that a
// team holds. A resource without a quota is compared with the total capacity.
func (p *Planner) quotaUse(team string) float64 {
	used := p.ledger.TeamUse(team).Plus(p.pendingByTeam[team])
	quota := p.teamQuotas[team]
	fraction := func(n, limit, total int64) float64 {
		if limit == 0 {
			limit = total
		}
		if limit == 0 {
			return 0
		}
		return float64(n) / float64(limit)
	}
	return max(fraction(used.Processors, quota.Processors, p.totalCapacity.Processors),
		fraction(used.Memory, quota.Memory, p.totalCapacity.Memory),
		fraction(used.Accelerators, quota.Accelerators, p.totalCapacity.Accelerators))
}

// tryPlace decides on a queued task when the queue visits it: it places or binds
// the task, claims room for it, or records its failure if it fits no worker.
func (p *Planner) tryPlace(id sched.TaskID) place.Verdict {
	t, ok := p.ledger.Task(id)
	if !ok || t.State != sched.TaskQueued {
		return place.Taken
	}
	if _, open := p.openDecisions[id]; open {
		return place.Taken
	}
	if !p.withinQuota(&t.Task) {
		return place.NoRoom
	}
	finder := p.directFinder
	if t.Task.Urgency == sched.UrgencyUrgent {
		finder = p.urgentFinder
	}
	if w, found := finder.Find(&t.Task); found {
		p.decide(t, w, false)
		return place.Taken
	}
	if fits, largest := p.ledger.FitsAnyWorker(t.Task.Needs); !fits {
		p.enqueue(sched.TaskEntry{
			Kind: sched.EntryEnded, TaskID: id, Attempt: t.Attempt, Term: p.leases.Term(),
			Result: sched.AttemptFailed, Final: true, Reason: neverFitsReason(t.Task.Needs, largest),
		})
		return place.NoRoom
	}
	if t.Task.Urgency == sched.UrgencyUrgent && p.claimRoom(t) {
		return place.Taken
	}
	return p.bindAhead(t)
}

// bindAhead binds a task that finds no room to a worker that starts it once its
// resources are free.
func (p *Planner) bindAhead(t *sched.TaskStatus) place.Verdict {
	w, found := p.boundFinder.Find(&t.Task)
	if !found && p.now.Sub(t.Task.SubmittedAt) >= reserveWorkerAfter {
		w, found = p.reserveFinder.Find(&t.Task)
	}
	if !found {
		return place.NoRoom
	}
	p.decide(t, w, true)
	return place.Taken
}

// withinQuota reports whether the team may hold a task in addition to its placed
// tasks and open decisions. A quota of 0 limits nothing.
func (p *Planner) withinQuota(t *sched.Task) bool {
	quota, limited := p.teamQuotas[t.Team]
	if !limited {
		return true
	}
	used := p.ledger.TeamUse(t.Team).Plus(p.pendingByTeam[t.Team]).Plus(t.Needs)
	within := func(n, limit int64) bool { return limit == 0 || n <= limit }
	return within(used.Processors, quota.Processors) && within(used.Memory, quota.Memory) &&
		within(used.Accelerators, quota.Accelerators)
}

// decide queues a placement entry and reserves its room until the entry is read
// back.
func (p *Planner) decide(t *sched.TaskStatus, worker sched.InstanceID, ahead bool) {
	needs := t.Task.Needs
	p.enqueue(sched.TaskEntry{
		Kind: sched.EntryPlaced, TaskID: t.Task.ID, Attempt: t.Attempt + 1, Worker: worker,
		Term: p.leases.Term(), Ahead: ahead, Quota: p.teamQuotas[t.Task.Team],
	})
	if t.Task.Urgency == sched.UrgencyUrgent && !ahead {
		p.consumeHold(worker)
	}
	if s := p.options.FailureClassifier; s != nil {
		s.Placed(p.now, worker)
	}
	if w, ok := p.options.Interference.(Watcher); ok {
		w.Placed(p.now, worker, t.Task.ID, t.Attempt+1, t.Task.Kind)
	}
	p.openDecisions[t.Task.ID] = decision{worker, t.Task.Team, needs, ahead}
	p.pendingByTeam[t.Task.Team] = p.pendingByTeam[t.Task.Team].Plus(needs)
	o := p.pendingUse[worker]
	if ahead {
		o.bound, o.boundCount = o.bound.Plus(needs), o.boundCount+1
	} else {
		o.direct = o.direct.Plus(needs)
	}
	if x, ok := p.options.FailureClassifier.(Prober); ok {
		x.Placed(p.now, worker)
	}
	p.setPendingUse(worker, o)
	if x, ok := p.options.Interference.(PlacementObserver); ok && !ahead {
		x.Placed(p.now, worker, t.Task.ID, t.Attempt+1, t.Task.Kind)
	}
}

// releaseDecision ends the reservation of a placement whose entry was read back
// or given up. It queues the task again if the placement did not take effect.
func (p *Planner) releaseDecision(id sched.TaskID) {
	d, open := p.openDecisions[id]
	if !open {
		return
	}
	delete(p.openDecisions, id)
	if p.pendingByTeam[d.team] = p.pendingByTeam[d.team].Minus(d.needs); p.pendingByTeam[d.team] == (sched.Resources{}) {
		delete(p.pendingByTeam, d.team)
	}
	o := p.pendingUse[d.worker]
	if d.ahead {
		o.bound, o.boundCount = o.bound.Minus(d.needs), o.boundCount-1
	} else {
		o.direct = o.direct.Minus(d.needs)
	}
	p.setPendingUse(d.worker, o)
	if t, ok := p.ledger.Task(id); ok && t.State == sched.TaskQueued {
		p.queue.Add(t)
	}
}
