package coloc

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
)

// Settings of the control loop. Latencies are parts of the goal.
const (
	// upper starts a change, aim is where a change should lead, and relaxed is
	// what the prediction must stay below for a throttle to be loosened. The
	// distance between upper and relaxed is the hysteresis.
	upper   = 1.0
	aim     = 0.97
	relaxed = 0.95
	// leastShare is the lowest share of a throttled task: below it a task
	// holds its memory for nothing, and evicting it is better.
	leastShare = 0.25
	// leastStep is the smallest change of a share that is worth a command.
	leastStep = 0.05
	// evictAfter is the number of measurements in a row that must be over
	// the goal, with every disturbing task throttled, before an eviction.
	evictAfter = 3
	// evictGap is the least time between two evictions on one worker.
	evictGap = time.Minute
	// matters is the least part of the goal that a task must add to be worth a
	// change.
	matters = 0.01
)

// candidate is a task that can be changed, with what it adds to the latency of
// the service in question, as a part of its goal.
type candidate struct {
	key  attemptKey
	task *running
	adds float64
}

// Actions returns what should change now, at most one change per worker. Only
// workers with a new measurement are looked at.
func (m *Model) Actions(now time.Time) []plan.Action {
	var out []plan.Action
	if len(m.fresh) == 0 {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(m.fresh)) {
		h := m.hosts[id]
		// A change shows only in measurements that were taken after it.
		if !h.measured.After(h.changed) {
			continue
		}
		if a, ok := m.control(now, h); ok {
			h.changed = now
			h.record(view{at: now})
			out = append(out, a)
		}
	}
	clear(m.fresh)
	return out
}

func (m *Model) control(now time.Time, h *host) (plan.Action, bool) {
	service, level := m.worst(h)
	if service == "" {
		return plan.Action{}, false
	}
	if level <= upper {
		h.overGoal = 0
		return m.loosen(h)
	}
	found := m.candidates(h, service)
	if len(found) == 0 {
		return plan.Action{}, false
	}
	for _, c := range found {
		if c.task.share > leastShare+leastStep {
			return throttle(h, c, level), true
		}
	}
	h.overGoal++
	if h.overGoal < evictAfter || now.Sub(h.evicted) < evictGap {
		return plan.Action{}, false
	}
	h.overGoal, h.evicted = 0, now
	worst := found[0]
	delete(h.tasks, worst.key)
	return plan.Action{Worker: h.id, Task: worst.key.task, Evict: true}, true
}

// throttle lowers the share of a task as far as the goal needs.
func throttle(h *host, c candidate, level float64) plan.Action {
	full := c.adds / c.task.share // what it would add at full share
	share := c.task.share - (level-aim)/full
	share = quantize(min(max(share, leastShare), c.task.share-leastStep))
	c.task.share = share
	return plan.Action{Worker: h.id, Task: c.key.task, Share: share}
}

// loosen raises the share of the throttled task that disturbs least, if every
// service stays well below its goal.
func (m *Model) loosen(h *host) (plan.Action, bool) {
	var best attemptKey
	bestShare := 0.0
	for k, t := range h.tasks {
		if t.pending || t.share >= 1 {
			continue
		}
		if s := m.affordable(h, t); s > t.share+leastStep || s == 1 {
			if s > bestShare || s == bestShare && less(k, best) {
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

// affordable is the largest share of a task, up to 1, at which all services
// are predicted to stay below the relaxed level.
func (m *Model) affordable(h *host, t *running) float64 {
	share := 1.0
	for name, l := range h.services {
		f := m.filters[name]
		if f == nil {
			continue
		}
		rise, _ := f.rise(t.kind)
		goal := m.goal(name, f, l.load)
		add := rise * l.load / goal
		if add < matters {
			continue
		}
		share = min(share, t.share+(relaxed-m.level(name, h))/add)
	}
	return quantize(max(share, 0))
}

// shareSteps is a power of two: sums of shares are exact then, so they don't
// depend on the order of a map.
const shareSteps = 1024

func quantize(share float64) float64 { return math.Round(share*shareSteps) / shareSteps }

// level is the estimated latency of a service with what runs now, as a part of
// its goal.
func (m *Model) level(service string, h *host) float64 {
	f, l := m.filters[service], h.services[service]
	return f.predict(l.load, h.shares()) * (1 + l.bias) / m.goal(service, f, l.load)
}

// worst returns the service that is closest to its goal or furthest over it.
func (m *Model) worst(h *host) (service string, level float64) {
	for name := range h.services {
		if m.filters[name] == nil {
			continue
		}
		if v := m.level(name, h); service == "" || v > level || v == level && name < service {
			service, level = name, v
		}
	}
	return service, level
}

// candidates lists the tasks that add to a service's latency, the worst first.
func (m *Model) candidates(h *host, service string) []candidate {
	f, l := m.filters[service], h.services[service]
	goal := m.goal(service, f, l.load)
	var list []candidate
	for k, t := range h.tasks {
		rise, _ := f.rise(t.kind)
		if adds := rise * t.share * l.load / goal; adds >= matters && !t.pending {
			list = append(list, candidate{k, t, adds})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.adds, a.adds), cmp.Compare(a.key.task, b.key.task))
	})
	return list
}

func less(a, b attemptKey) bool {
	return a.task < b.task || a.task == b.task && a.attempt < b.attempt
}
