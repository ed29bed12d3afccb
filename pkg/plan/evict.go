package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// sampledWorkers is the number of workers that are compared for one urgent
	// task without room. A full scan costs 94,000 tasks per decision.
	sampledWorkers = 48
	// claimTime is the time that victims get to end, well within the 1.8 s in
	// which urgent tasks start.
	claimTime = 3 * time.Second
	// defaultMaxEvictions applies to kinds that set no cap.
	defaultMaxEvictions = 5
)

// claim keeps the room of victims for the urgent task that they make way for.
type claim struct {
	task   sched.TaskID
	needs  sched.Resources
	worker sched.InstanceID
	until  time.Time
}

// Victim is a running attempt that may be evicted.
type Victim struct {
	Status *sched.TaskStatus
	// Lost is the run time since the last checkpoint.
	Lost time.Duration
	// Rank is the place in the worker's order of placements, oldest first.
	Rank int
}

// Costs of an eviction, in processor-seconds. Every eviction costs something,
// so that one victim goes before two small ones; each earlier eviction of the
// same task counts as ten minutes of a processor.
const (
	evictionCost        = 60
	earlierEvictionCost = 600
)

// defaultCost is cheap for tasks that lose little and were evicted seldom.
func defaultCost(v Victim) float64 {
	lost := v.Lost.Seconds() * float64(v.Status.Task.Needs.Processors) / 1000
	return evictionCost + lost + earlierEvictionCost*float64(v.Status.Evictions)
}

func (p *Planner) cost(v Victim) float64 {
	if p.options.Cost != nil {
		return p.options.Cost(v)
	}
	return defaultCost(v)
}

// evictable tells whether a task may be evicted once more.
func (p *Planner) evictable(n *node, t *sched.TaskStatus) bool {
	limit := defaultMaxEvictions
	if k, ok := p.kinds[t.Task.Kind]; ok && k.MaxEvictions > 0 {
		limit = k.MaxEvictions
	}
	r, reported := n.reports[attemptKey{t.Task.ID, t.Attempt}]
	return t.State == sched.TaskPlaced && reported && r.State == sched.AttemptRunning &&
		t.Evictions < limit && !t.CancelRequested && !n.evict[attemptKey{t.Task.ID, t.Attempt}]
}

// plan is one way to make room on a worker.
type plan struct {
	node    *node
	victims []attemptKey
	cost    float64
}

// claimRoom evicts less urgent tasks to make room for a task, on the cheapest
// of some workers, and claims the room.
func (p *Planner) claimRoom(t *sched.TaskStatus) bool {
	var best *plan
	if len(p.order) == 0 {
		return false
	}
	from := p.random.IntN(len(p.order))
	seen := 0
	for k := range p.order {
		n := p.order[(from+k)%len(p.order)]
		if !n.takesTasks() || p.claimed[n.member.ID] || p.avoided(n.member.ID) {
			continue
		}
		if c := p.makeRoom(n, t); c != nil && (best == nil || c.cost < best.cost) {
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
		best.node.evict[v] = true
		p.event("evicted", v.task, "makes room for "+string(t.Task.ID))
	}
	best.node.dirty = true
	id := best.node.member.ID
	p.claims = append(p.claims, claim{t.Task.ID, t.Task.Needs, id, p.now.Add(claimTime)})
	p.claimed[id] = true
	o := p.overlay[id]
	o.direct = o.direct.Plus(t.Task.Needs)
	p.setOverlay(id, o)
	return true
}

// makeRoom returns the cheapest victims on a worker, or nil if even all of
// them don't make room. Bound tasks have not run, so they go first.
func (p *Planner) makeRoom(n *node, t *sched.TaskStatus) *plan {
	w, known := p.ledger.Worker(n.member.ID)
	if !known || w.Drained || !t.Task.Needs.Fits(w.Capacity) {
		return nil
	}
	o := p.overlay[n.member.ID]
	free := w.Free().Minus(o.direct).Minus(o.ahead)
	c := &plan{node: n}
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
		case n.evict[k]:
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
	// Victims that a later, larger one made unnecessary are left alone, the
	// dearest first.
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

// useClaims places urgent tasks whose victims have ended.
func (p *Planner) useClaims() {
	kept := p.claims[:0]
	for _, c := range p.claims {
		t, ok := p.ledger.Task(c.task)
		if !ok || t.State != sched.TaskQueued {
			p.unclaim(c)
			continue
		}
		w, known := p.ledger.Worker(c.worker)
		o := p.overlay[c.worker]
		if known && p.claimFits(w, o) && p.nodes[c.worker] != nil && !w.Drained && p.withinQuota(&t.Task) {
			p.unclaim(c)
			p.decide(t, c.worker, false)
			continue
		}
		if p.now.After(c.until) {
			p.unclaim(c)
			p.queue.Add(t)
			continue
		}
		kept = append(kept, c)
	}
	p.claims = kept
}

// claimFits tells whether everything that is decided or claimed on a worker
// has room.
func (p *Planner) claimFits(w *ledger.Worker, o overlay) bool {
	return (sched.Resources{}).Fits(w.Free().Minus(o.direct).Minus(o.ahead))
}

func (p *Planner) unclaim(c claim) {
	delete(p.claimed, c.worker)
	o := p.overlay[c.worker]
	o.direct = o.direct.Minus(c.needs)
	p.setOverlay(c.worker, o)
}

// interfere carries out what the control loop over services asks for.
func (p *Planner) interfere() {
	if p.options.Interference == nil {
		return
	}
	for _, a := range p.options.Interference.Actions(p.now) {
		n := p.nodes[a.Worker]
		t, known := p.ledger.Task(a.Task)
		if n == nil || !known || t.Worker != a.Worker {
			continue
		}
		k := attemptKey{a.Task, t.Attempt}
		if !a.Evict {
			n.shares[k] = a.Share
			n.dirty = true
			continue
		}
		if p.evictable(n, t) {
			n.evict[k] = true
			n.dirty = true
			p.event("evicted", a.Task, "disturbs a service on "+string(a.Worker))
		}
	}
}
