// Package naive implements first-fit placement, the baseline of the policy
// benchmarks.
package naive

import "github.com/parsleybarrow/parsleybarrow/pkg/sched"

// FirstFit is a plan.Finder that returns the first worker with room, in the
// order in which workers were first set.
type FirstFit struct {
	order []sched.InstanceID
	free  map[sched.InstanceID]sched.Resources
}

// New returns a finder without workers.
func New() *FirstFit { return &FirstFit{free: map[sched.InstanceID]sched.Resources{}} }

// Set implements plan.Finder.
func (f *FirstFit) Set(id sched.InstanceID, _ string, free sched.Resources) {
	if _, known := f.free[id]; !known {
		f.order = append(f.order, id)
	}
	f.free[id] = free
}

// Remove implements plan.Finder. The worker keeps its place in the order.
func (f *FirstFit) Remove(id sched.InstanceID) {
	if _, known := f.free[id]; known {
		f.free[id] = sched.Resources{}
	}
}

// Count implements plan.Finder. First fit needs no counts.
func (f *FirstFit) Count(_, _, _ string, _ int) {}

// Find implements plan.Finder.
func (f *FirstFit) Find(t *sched.Task) (sched.InstanceID, bool) {
	for _, id := range f.order {
		if t.Needs.Fits(f.free[id]) {
			return id, true
		}
	}
	return "", false
}
