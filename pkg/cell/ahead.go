package cell

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/ahead"
	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// planInterval is the least time between two updates of the plan, since ends are
	// reported about as often. It is longer by the delay of the planner, and in large cells,
	// where an update takes longer, up to maxPlanInterval.
	planInterval      = 100 * time.Millisecond
	intervalPerWorker = 200 * time.Microsecond
	maxPlanInterval   = time.Second
	// forecastAge is how old the forecast of a worker without holds and without changes may
	// be. The expected ends of its runs change slowly.
	forecastAge = 500 * time.Millisecond
	// largeDelay is how long a large step or a gang waits before it is planned. Room for
	// most of them becomes free within a few passes.
	largeDelay = 200 * time.Millisecond
	// constrainedDelay is how long a step waits before it is planned because few workers may
	// run its tasks.
	constrainedDelay = heldUpDelay
)

// lookAhead is the plan of a planner with what it takes from the workers.
type lookAhead struct {
	plan      *ahead.Plan
	plannedAt time.Time
	// held is set if the plan holds anything.
	held  bool
	hosts map[sched.InstanceID]*forecastHost
	// list holds the workers in the order of Planner.workerList, as of the newest update.
	list []*ahead.Worker
}

// forecastHost is the forecast of a worker, made for a version of it at a time.
type forecastHost struct {
	worker  ahead.Worker
	host    *hosts.Host
	version int
	madeAt  time.Time
	ends    []ahead.End
}

func newLookAhead() *lookAhead {
	return &lookAhead{plan: ahead.New(), hosts: map[sched.InstanceID]*forecastHost{}}
}

// workerOf returns the worker of the plan, nil before the first update with it.
func (a *lookAhead) workerOf(h *hosts.Host) *ahead.Worker {
	if h.Place < len(a.list) && a.list[h.Place].ID == h.ID {
		return a.list[h.Place]
	}
	if f := a.hosts[h.ID]; f != nil && f.host == h {
		return &f.worker
	}
	return nil
}

// planAhead updates the plan when that is due.
func (p *Planner) planAhead(now time.Time) {
	a := p.ahead
	for _, w := range p.waitingSteps {
		w.late = p.lateOf(w)
	}
	since := now.Sub(a.plannedAt)
	interval := max(planInterval, time.Duration(len(p.workerList))*intervalPerWorker) + p.delay
	if since < min(interval, maxPlanInterval) {
		return
	}
	p.countHeld(min(since, maxPlanInterval))
	a.plannedAt = now
	wants := p.wants(now)
	if len(wants) == 0 && !a.held {
		return
	}
	p.syncAhead()
	for _, e := range a.plan.Update(now, wants, a.list, func(w *ahead.Worker) { p.forecast(now, a.hosts[w.ID]) }) {
		p.logPlan(e)
	}
	a.held = !a.plan.Empty()
}

// syncAhead brings the workers of the plan in line with those of the planner.
func (p *Planner) syncAhead() {
	a := p.ahead
	a.list = a.list[:0]
	for _, h := range p.workerList {
		f := a.hosts[h.ID]
		if f == nil || f.host != h {
			f = &forecastHost{host: h, worker: ahead.Worker{ID: h.ID}}
			a.hosts[h.ID] = f
		}
		f.worker.Rack = h.Rack()
		a.list = append(a.list, &f.worker)
	}
	if len(a.hosts) > len(a.list) {
		for id, f := range a.hosts {
			if p.workers[id] != f.host {
				delete(a.hosts, id)
			}
		}
	}
}

// wants returns the steps to plan, in the order of their claims.
func (p *Planner) wants(now time.Time) []ahead.Want {
	var out []ahead.Want
	for _, w := range p.waitingSteps {
		w.dropSettled()
		if w.planned = p.isPlanned(now, w); !w.planned {
			continue
		}
		step := &w.job.Steps[w.step]
		out = append(out, ahead.Want{
			Step: waitingStepRef(w), Needs: step.Counted(), Tasks: len(w.tasks), Together: step.Gang, Lasting: step.Lasting,
			PerWorker: step.PerWorker, Rank: w.rank(), Rack: p.preferredRack(w, step), SameRack: step.SameRack,
			FarCost: time.Duration(max(0, p.options.FarFactor-1) * float64(p.runTimes.Expect(w.job.Queue.Name, step))),
			Usable: func(x *ahead.Worker) bool {
				h := p.workers[x.ID]
				return h != nil && p.mayHold(now, w, h)
			},
		})
	}
	return out
}

// mayHold reports whether room on a worker may be held for tasks of a step. Nothing is held
// on suspected workers, whose probes come and go.
func (p *Planner) mayHold(now time.Time, w *waitingStep, h *hosts.Host) bool {
	step := &w.job.Steps[w.step]
	return p.inService(now, h, w.job.Queue.Service, step) && !isolated(now, h) && !p.judge.Suspected(h.ID) &&
		!p.atTaskLimit(w, step, h) && p.hasTicket(now, w, h)
}

// isPlanned reports whether the tasks of a step are planned: those that small tasks may
// keep waiting for as long as they come.
func (p *Planner) isPlanned(now time.Time, w *waitingStep) bool {
	step := &w.job.Steps[w.step]
	if len(w.tasks) == 0 || w.job.State.Final() || w.waitingSince.IsZero() || step.Gang && len(w.tasks) < step.Tasks {
		return false
	}
	waited := now.Sub(w.waitingSince)
	return step.Lasting || waited >= largeDelay && p.sizeOf(step) != SizeSmall ||
		waited >= constrainedDelay && (step.Label != "" || step.PerWorker > 0)
}

// rank orders steps by their value: by priority, then by class. Copies come last.
func (w *waitingStep) rank() int {
	const classes = 3
	if w.isCopy {
		return math.MaxInt
	}
	return classes*w.claim.Priority + int(w.claim.Class)
}

// roomAhead returns how much of what is free on a worker a task of the step may take
// without delaying the plan, all of it if there is no plan.
func (p *Planner) roomAhead(w *waitingStep, h *hosts.Host) sched.Resources {
	free := p.freeOn(h)
	if p.ahead == nil || !p.ahead.held {
		return free
	}
	return p.ahead.plan.Room(p.placedAt, p.ahead.workerOf(h), free, w.ask())
}

// ask describes a task of the step for the plan. A speculative copy doesn't use the holds
// of its step, since other tasks of the step wait for them.
func (w *waitingStep) ask() ahead.Ask {
	return ahead.Ask{
		Step: waitingStepRef(w), Planned: w.planned, Late: w.late, Rank: w.rank(), Lasting: w.job.Steps[w.step].Lasting,
	}
}

// notePlaced tells the plan that a task was placed, and counts its wait.
func (p *Planner) notePlaced(now time.Time, w *waitingStep, h *hosts.Host) {
	step := &w.job.Steps[w.step]
	if !w.isCopy {
		size := p.sizeOf(step)
		p.stats.Waits[size]++
		if !w.waitingSince.IsZero() {
			p.stats.Waited[size] += now.Sub(w.waitingSince)
		}
	}
	if p.ahead != nil && p.ahead.held {
		p.ahead.plan.Placed(now, p.ahead.workerOf(h), step.Counted(), w.ask())
	}
}

// countHeld counts the processors that were held free for a time.
func (p *Planner) countHeld(d time.Duration) {
	if !p.ahead.held {
		return
	}
	n := int64(0)
	for _, x := range p.ahead.list {
		if h := p.workers[x.ID]; h != nil {
			n += max(0, min(x.Held().Processors, h.Free().Processors))
		}
	}
	p.stats.HeldFree += int64(float64(n) * d.Seconds())
}

// slipReasons holds the reasons of slips as they are logged.
var slipReasons = map[ahead.EventKind]string{
	ahead.SlippedLate: "late", ahead.SlippedUnusable: "workerUnusable", ahead.SlippedRoom: "noRoom", ahead.SlippedUnused: "unused",
}

// logPlan logs and counts a change of the plan.
func (p *Planner) logPlan(e ahead.Event) {
	fields := []zap.Field{
		zap.String("job", string(e.Step.Job)), zap.Int("occurrence", e.Step.Occurrence), zap.Int("step", e.Step.Step),
		zap.Int("tasks", e.Tasks), zap.String("worker", string(e.Worker)), zap.Duration("wait", e.Wait),
	}
	if e.Kind == ahead.Planned {
		p.stats.Planned += int64(e.Tasks)
		p.options.Log.Info("placementPlanned", fields...)
		return
	}
	p.stats.Slipped += int64(e.Tasks)
	p.options.Log.Info("planSlipped", append(fields, zap.String("why", slipReasons[e.Kind]), zap.Duration("late", e.Late))...)
}
