package mixed

import (
	"math/rand/v2"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/bench/naive"

	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// baselineGoal is the ratio of a service's p99 to its p99 without tasks above
// which the baseline evicts. It is the design target. The baseline is given the
// p99 without tasks.
const baselineGoal = 1.2

// Baseline places by first fit, models no interference, and evicts the newest
// task of a worker when a report shows a service above baselineGoal.
func Baseline() Policy {
	return Policy{"baseline", func(o *plan.Options, s Scenario) {
		o.NewFinder = func(*rand.Rand) plan.Finder { return naive.New() }
		o.EvictionCost = func(v plan.Victim) float64 { return -float64(v.PlacementIndex) }
		o.DisableRoomHold = true
		o.Interference = &evictNewest{scenario: s, firstSeen: map[runKey]time.Time{}}
	}}
}

type evictNewest struct {
	scenario  Scenario
	firstSeen map[runKey]time.Time
	actions   []plan.Action
}

type runKey struct {
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
		k := runKey{r.Worker, a.Task, a.Attempt}
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
	if newest != "" && e.exceedsGoal(r) {
		e.actions = append(e.actions, plan.Action{Worker: r.Worker, Task: newest, Evict: true})
	}
}

func (e *evictNewest) exceedsGoal(r *sched.WorkerReport) bool {
	for _, got := range r.Services {
		for _, s := range e.scenario.Services {
			if s.Name == got.Service && float64(got.P99) > baselineGoal*float64(s.aloneP99()) {
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
