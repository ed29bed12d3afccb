package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// sampledWorkers is the number of eligible workers that are compared for one
	// urgent task without room; the scan goes on only while none of them can
	// make room. A full scan would look at up to 94,000 tasks per decision.
	sampledWorkers = 48
	// claimTimeout is the time for which a claim waits for its victims to end
	// before the urgent task is queued again. Urgent tasks are to start within
	// 1.8 s.
	claimTimeout = 3 * time.Second
	// defaultMaxEvictions limits the evictions of a task whose kind sets no limit.
	defaultMaxEvictions = 5
)

// claim reserves the room of evicted tasks for the urgent task that they are
// evicted for.
type claim struct {
	task      sched.TaskID
	needs     sched.Resources
	worker    sched.InstanceID
	expiresAt time.Time
}

// Victim is a running attempt that is a candidate for eviction.
type Victim struct {
	Status *sched.TaskStatus
	// LostRunTime is the run time since the last checkpoint.
	LostRunTime time.Duration
	// PlacementIndex is the index among the worker's tasks in order of placement, 0 for
	// the oldest.
	PlacementIndex int
}

// Costs of an eviction, in processor-seconds. Every eviction has a fixed cost,
// so that one victim is preferred to two small ones. Each earlier eviction of
// the same task counts as ten minutes of one processor.
const (
	evictionCost        = 60
	earlierEvictionCost = 600
)

// defaultCost returns the cost of an eviction in processor-seconds: the work
// lost since the last checkpoint, a fixed cost, and a cost per earlier eviction.
func defaultCost(v Victim) float64 {
	lost := v.LostRunTime.Seconds() * float64(v.Status.Task.Needs.Processors) / 1000
	return evictionCost + lost + earlierEvictionCost*float64(v.Status.Evictions)
}

func (p *Planner) cost(v Victim) float64 {
	if p.options.EvictionCost != nil {
		return p.options.EvictionCost(v)
	}
	return defaultCost(v)
}

// evictable reports whether a task runs, is not being stopped already, and has
// been evicted less often than its kind allows.
func (p *Planner) evictable(n *workerState, t *sched.TaskStatus) bool {
	limit := defaultMaxEvictions
	if k, ok := p.taskKinds[t.Task.Kind]; ok && k.MaxEvictions > 0 {
		limit = k.MaxEvictions
	}
	r, reported := n.reports[attemptKey{t.Task.ID, t.Attempt}]
	return t.State == sched.TaskPlaced && reported && r.State == sched.AttemptRunning &&
		t.Evictions < limit && !t.CancelRequested && !n.evicting[attemptKey{t.Task.ID, t.Attempt}]
}

// evictionPlan is a set of victims that make room on one worker, with the sum of
// their costs.
type evictionPlan struct {
	worker  *workerState
	victims []attemptKey
	cost    float64
}

// claimRoom evicts less urgent tasks to make room for a task, on the worker with
// the cheapest victims among a sample, and claims the room. It returns false if
// no worker can make room.
func (p *Planner) claimRoom(t *sched.TaskStatus) bool {
	var best *evictionPlan
	if len(p.workerList) == 0 {
		return false
	}
	from := p.random.IntN(len(p.workerList))
	seen := 0
	for k := range p.workerList {
		n := p.workerList[(from+k)%len(p.workerList)]
		if !n.acceptsTasks() || p.claimed[n.member.ID] || p.avoided(n.member.ID) {
			continue
		}
		if c := p.selectVictims(n, t); c != nil && (best == nil || c.cost < best.cost) {
			best = c
		}
		if seen++; seen >= sampledWorkers && best != nil {
			break
		}
	}
	if best == nil {
		return false
	}
	for _, v := range best.victims {
		best.worker.evicting[v] = true
		p.emitEvent("evicted", v.task, "makes room for "+string(t.Task.ID))
	}
	best.worker.callDue = true
	id := best.worker.member.ID
	p.claims = append(p.claims, claim{t.Task.ID, t.Task.Needs, id, p.now.Add(claimTimeout)})
	p.claimed[id] = true
	o := p.pendingUse[id]
	o.direct = o.direct.Plus(t.Task.Needs)
	p.setPendingUse(id, o)
	return true
}

// selectVictims chooses victims on a worker in order of rising cost until the
// task fits, or returns nil if it doesn't fit even without all of them. Bound
// tasks have not run, so they cost nothing and are chosen first.
func (p *Planner) selectVictims(n *workerState, t *sched.TaskStatus) *evictionPlan {
	w, known := p.ledger.Worker(n.member.ID)
	if !known || w.Drained || !t.Task.Needs.Fits(w.Capacity) {
		return nil
	}
	o := p.pendingUse[n.member.ID]
	free := w.Free().Minus(o.direct).Minus(o.bound)
	c := &evictionPlan{worker: n}
	type candidate struct {
		key   attemptKey
		needs sched.Resources
		cost  float64
	}
	var all []candidate
	for rank, s := range w.Tasks {
		k := attemptKey{s.Task.ID, s.Attempt}
		switch {
		case s.Task.Urgency >= t.Task.Urgency:
		case n.evicting[k]:
			free = free.Plus(s.Task.Needs)
		case s.State == sched.TaskBound:
			all = append(all, candidate{k, s.Task.Needs, 0})
		case p.evictable(n, s):
			lost := n.reports[k].Progress - s.Progress
			all = append(all, candidate{k, s.Task.Needs, p.cost(Victim{s, lost, rank})})
		}
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	var chosen []candidate
	for _, v := range all {
		if t.Task.Needs.Fits(free) {
			break
		}
		free = free.Plus(v.needs)
		chosen = append(chosen, v)
	}
	if !t.Task.Needs.Fits(free) {
		return nil
	}
	// A victim that a later one made unnecessary is dropped from the selection,
	// the most expensive first.
	for k := len(chosen) - 1; k >= 0; k-- {
		if rest := free.Minus(chosen[k].needs); t.Task.Needs.Fits(rest) {
			free = rest
			continue
		}
		c.victims = append(c.victims, chosen[k].key)
		c.cost += chosen[k].cost
	}
	return c
}

// resolveClaims places the urgent tasks whose victims have ended, queues those
// whose claim timed out, and drops the claims of tasks that no longer wait.
func (p *Planner) resolveClaims() {
	kept := p.claims[:0]
	for _, c := range p.claims {
		t, ok := p.ledger.Task(c.task)
		if !ok || t.State != sched.TaskQueued {
			p.releaseClaim(c)
			continue
		}
		w, known := p.ledger.Worker(c.worker)
		o := p.pendingUse[c.worker]
		if known && p.claimFits(w, o) && p.workers[c.worker] != nil && !w.Drained && p.withinQuota(&t.Task) {
			p.releaseClaim(c)
			p.decide(t, c.worker, false)
			continue
		}
		if p.now.After(c.expiresAt) {
			p.releaseClaim(c)
			p.queue.Add(t)
			continue
		}
		kept = append(kept, c)
	}
	p.claims = kept
}

// claimFits reports whether a worker has room for all open decisions and claims
// on it.
func (p *Planner) claimFits(w *ledger.Worker, o pendingUse) bool {
	return (sched.Resources{}).Fits(w.Free().Minus(o.direct).Minus(o.bound))
}

func (p *Planner) releaseClaim(c claim) {
	delete(p.claimed, c.worker)
	o := p.pendingUse[c.worker]
	o.direct = o.direct.Minus(c.needs)
	p.setPendingUse(c.worker, o)
}

// applyInterference carries out the throttling and the evictions that the
// control loop over services asks for.
func (p *Planner) applyInterference() {
	if p.options.Interference == nil {
		return
	}
	for _, a := range p.options.Interference.Actions(p.now) {
		n := p.workers[a.Worker]
		t, known := p.ledger.Task(a.Task)
		if n == nil || !known || t.Worker != a.Worker {
			continue
		}
		k := attemptKey{a.Task, t.Attempt}
		if !a.Evict {
			n.cpuShares[k] = a.Share
			n.callDue = true
			continue
		}
		if p.evictable(n, t) {
			n.evicting[k] = true
			n.callDue = true
			p.emitEvent("evicted", a.Task, "disturbs a service on "+string(a.Worker))
		}
	}
}
