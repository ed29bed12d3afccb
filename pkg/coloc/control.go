package coloc

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
)

// Parameters of the control loop. Latency levels are parts of the goal.
const (
	// throttleAbove is the predicted level above which a task is throttled or
	// evicted. throttleTarget is the level that a throttle aims at. A throttle
	// is loosened only as far as the predicted level stays below loosenBelow.
	// The distance between throttleAbove and loosenBelow is the hysteresis.
	throttleAbove  = 1.0
	throttleTarget = 0.97
	loosenBelow    = 0.95
	// minShare is the lowest share of a throttled task. Below it a task
	// occupies its memory with hardly any progress, and evicting it is better.
	minShare = 0.25
	// minShareChange is the smallest change of a share that is worth an order
	// to the worker.
	minShareChange = 0.05
	// evictAfterMeasurements is the number of consecutive measurements over the
	// goal, with every disturbing task throttled to about minShare, that are
	// required for an eviction.
	evictAfterMeasurements = 3
	// minEvictInterval is the least time between two evictions on one worker.
	minEvictInterval = time.Minute
	// minContribution is the least contribution of a task to the latency, as a
	// part of the goal, at which the task is throttled or evicted.
	minContribution = 0.01
)

// candidate is a task that can be throttled or evicted. Its contribution is
// what it adds to the latency of a service, as a part of the goal.
type candidate struct {
	key          attemptKey
	task         *runningTask
	contribution float64
}

// Actions returns the throttles, loosened throttles and evictions that are due,
// at most one per worker. It considers only workers with a new measurement that
// was taken after the last change on the worker.
func (m *Model) Actions(now time.Time) []plan.Action {
	var out []plan.Action
	if len(m.newlyMeasured) == 0 {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(m.newlyMeasured)) {
		h := m.hosts[id]
		// Only measurements taken after a change show its effect.
		if !h.lastMeasurement.After(h.lastChange) {
			continue
		}
		if a, ok := m.control(now, h); ok {
			h.lastChange = now
			h.addSnapshot(snapshot{at: now})
			out = append(out, a)
		}
	}
	clear(m.newlyMeasured)
	return out
}

// control returns the action for one worker, if any.
func (m *Model) control(now time.Time, h *host) (plan.Action, bool) {
	service, level := m.worstService(h)
	if service == "" {
		return plan.Action{}, false
	}
	if level <= throttleAbove {
		h.overGoalCount = 0
		return m.loosen(h)
	}
	found := m.candidates(h, service)
	if len(found) == 0 {
		return plan.Action{}, false
	}
	for _, c := range found {
		if c.task.share > minShare+minShareChange {
			return throttle(h, c, level), true
		}
	}
	h.overGoalCount++
	if h.overGoalCount < evictAfterMeasurements || now.Sub(h.lastEviction) < minEvictInterval {
		return plan.Action{}, false
	}
	h.overGoalCount, h.lastEviction = 0, now
	worst := found[0]
	delete(h.tasks, worst.key)
	return plan.Action{Worker: h.id, Task: worst.key.task, Evict: true}, true
}

// throttle lowers the share of a task, by at least minShareChange, as far as is
// needed for the level throttleTarget but not below minShare.
func throttle(h *host, c candidate, level float64) plan.Action {
	full := c.contribution / c.task.share // contribution at full share
	share := c.task.share - (level-throttleTarget)/full
	share = quantize(min(max(share, minShare), c.task.share-minShareChange))
	c.task.share = share
	return plan.Action{Worker: h.id, Task: c.key.task, Share: share}
}

// loosen raises the share of one throttled task, if the predicted level of
// every service stays below loosenBelow. It chooses the task that can get the
// largest share.
func (m *Model) loosen(h *host) (plan.Action, bool) {
	var best attemptKey
	bestShare := 0.0
	for k, t := range h.tasks {
		if t.pending || t.share >= 1 {
			continue
		}
		if s := m.affordableShare(h, t); s > t.share+minShareChange || s == 1 {
			if s > bestShare || s == bestShare && attemptLess(k, best) {
				best, bestShare = k, s
			}
		}
	}
	if bestShare == 0 {
		return plan.Action{}, false
	}
	h.tasks[best].share = bestShare
	return plan.Action{Worker: h.id, Task: best.task, Share: bestShare}, true
}

// affordableShare returns the largest share of a task, up to 1, at which the
// predicted levels of all services stay below loosenBelow.
func (m *Model) affordableShare(h *host, t *runningTask) float64 {
	share := 1.0
	for name, l := range h.services {
		f := m.filters[name]
		if f == nil {
			continue
		}
		rise, _ := f.rise(t.kind)
		goal := m.goal(name, f, l.load)
		add := rise * l.load / goal
		if add < minContribution {
			continue
		}
		share = min(share, t.share+(loosenBelow-m.predictedLevel(name, h))/add)
	}
	return quantize(max(share, 0))
}

// shareSteps is the number of steps between share 0 and 1. It is a power of
// two, so that sums of shares are exact and don't depend on the iteration order
// of a map.
const shareSteps = 1024

// quantize rounds a share to a multiple of 1/shareSteps.
func quantize(share float64) float64 { return math.Round(share*shareSteps) / shareSteps }

// predictedLevel returns the predicted latency of a service with the tasks that
// run now, corrected by the bias of the worker, as a part of the goal.
func (m *Model) predictedLevel(service string, h *host) float64 {
	f, l := m.filters[service], h.services[service]
	return f.predict(l.load, h.shares()) * (1 + l.bias) / m.goal(service, f, l.load)
}

// worstService returns the service with the highest predicted level, and that
// level. The name is empty if no service has a filter.
func (m *Model) worstService(h *host) (service string, level float64) {
	for name := range h.services {
		if m.filters[name] == nil {
			continue
		}
		if v := m.predictedLevel(name, h); service == "" || v > level || v == level && name < service {
			service, level = name, v
		}
	}
	return service, level
}

// candidates lists the tasks that contribute at least minContribution to a
// service's latency, the largest contribution first. Tasks that no report has
// shown yet are left out.
func (m *Model) candidates(h *host, service string) []candidate {
	f, l := m.filters[service], h.services[service]
	goal := m.goal(service, f, l.load)
	var list []candidate
	for k, t := range h.tasks {
		rise, _ := f.rise(t.kind)
		if adds := rise * t.share * l.load / goal; adds >= minContribution && !t.pending {
			list = append(list, candidate{k, t, adds})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.contribution, a.contribution), cmp.Compare(a.key.task, b.key.task))
	})
	return list
}

func attemptLess(a, b attemptKey) bool {
	return a.task < b.task || a.task == b.task && a.attempt < b.attempt
}
