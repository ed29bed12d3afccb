package mixed

import (
	"math/rand/v2"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/bench/naive"

	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// baselineGoal is the latency over the latency alone at which the baseline
// evicts: the target of the design page. It is told the latency alone.
const baselineGoal = 1.2

// Baseline takes the first worker with room, has no model, and evicts the
// newest task of a worker whose service exceeds its goal in the last report.
func Baseline() Policy {
	return Policy{"baseline", func(o *plan.Options, s Scenario) {
		o.NewFinder = func(*rand.Rand) plan.Finder { return naive.New() }
		o.EvictionCost = func(v plan.Victim) float64 { return -float64(v.PlacementIndex) }
		o.DisableRoomHold = true
		o.Interference = &evictNewest{scenario: s, firstSeen: map[place]time.Time{}}
	}}
}

type evictNewest struct {
	scenario  Scenario
	firstSeen map[place]time.Time
	actions   []plan.Action
}

type place struct {
	worker  sched.InstanceID
	task    sched.TaskID
	attempt sched.Attempt
}

// Score implements plan.Interference.
func (e *evictNewest) Score(sched.InstanceID, string) float64 { return 0 }

// Observe implements plan.Interference.
func (e *evictNewest) Observe(now time.Time, r *sched.WorkerReport) {
	var newest sched.TaskID
	var since time.Time
	for _, a := range r.Attempts {
		k := place{r.Worker, a.Task, a.Attempt}
		if a.State != sched.AttemptRunning {
			delete(e.firstSeen, k)
			continue
		}
		if _, known := e.firstSeen[k]; !known {
			e.firstSeen[k] = now
		}
		if at := e.firstSeen[k]; !at.Before(since) {
			newest, since = a.Task, at
		}
	}
	if newest != "" && e.over(r) {
		e.actions = append(e.actions, plan.Action{Worker: r.Worker, Task: newest, Evict: true})
	}
}

func (e *evictNewest) over(r *sched.WorkerReport) bool {
	for _, got := range r.Services {
		for _, s := range e.scenario.Services {
			if s.Name == got.Service && float64(got.P99) > baselineGoal*float64(s.alone()) {
				return true
			}
		}
	}
	return false
}

// Actions implements plan.Interference.
func (e *evictNewest) Actions(time.Time) []plan.Action {
	a := e.actions
	e.actions = nil
	return a
}
