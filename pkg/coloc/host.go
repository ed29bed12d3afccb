package coloc

import (
	"maps"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// historyKept bounds the views of a worker that a lagging measurement can
	// be matched with.
	historyKept = 64
	// pendingTime is how long a placed task counts before a report shows it.
	pendingTime = 15 * time.Second
	// biasRate is the weight of one sample in a worker's own deviation from
	// the model, biasBound the largest deviation.
	biasRate  = 0.05
	biasBound = 0.3
	// peakDecay is the part of the distance between load and its remembered
	// peak that is forgotten per sample.
	peakDecay = 0.01
)

// host is what is known of one worker.
type host struct {
	id       sched.InstanceID
	tasks    map[attemptKey]*running
	services map[string]*local
	views    []view // oldest first
	reported time.Time
	measured time.Time
	changed  time.Time // of the last change by the control loop
	overGoal int       // measurements in a row over the goal with all throttled
	evicted  time.Time
}

type attemptKey struct {
	task    sched.TaskID
	attempt sched.Attempt
}

type running struct {
	kind  string
	share float64
	// pending is set until a report shows the task, since is the time of the
	// placement or the first report.
	pending bool
	since   time.Time
}

// local is one service on one worker.
type local struct {
	load float64
	peak float64
	// bias is the relative deviation of the measurements from the model.
	bias float64
}

// view is what ran on a worker at a moment, as the sum of shares per kind. It
// is nil if that is not certain.
type view struct {
	at     time.Time
	shares map[string]float64
}

func newHost(id sched.InstanceID) *host {
	return &host{id: id, tasks: map[attemptKey]*running{}, services: map[string]*local{}}
}

func (h *host) shares() map[string]float64 {
	sum := make(map[string]float64, len(h.tasks))
	for _, t := range h.tasks {
		sum[t.kind] += t.share
	}
	return sum
}

// takeReport takes the attempts of a report over.
func (h *host) takeReport(now time.Time, r *sched.WorkerReport, kindOf func(sched.TaskID) string) {
	seen := make(map[attemptKey]bool, len(r.Attempts))
	for _, a := range r.Attempts {
		if a.State != sched.AttemptRunning {
			continue
		}
		k := attemptKey{a.Task, a.Attempt}
		seen[k] = true
		t := h.tasks[k]
		if t == nil {
			kind := a.TaskKind
			if kind == "" && kindOf != nil {
				kind = kindOf(a.Task)
			}
			t = &running{kind: kind, share: 1, since: now}
			h.tasks[k] = t
		}
		t.pending = false
	}
	for k, t := range h.tasks {
		if !seen[k] && (!t.pending || now.Sub(t.since) > pendingTime) {
			delete(h.tasks, k)
		}
	}
	h.record(view{now, h.runs()})
}

// runs are the shares of what a report showed.
func (h *host) runs() map[string]float64 {
	sum := make(map[string]float64, len(h.tasks))
	for _, t := range h.tasks {
		if !t.pending {
			sum[t.kind] += t.share
		}
	}
	return sum
}

func (h *host) record(v view) {
	h.views = append(h.views, v)
	if len(h.views) > historyKept {
		h.views = h.views[1:]
	}
}

// at returns what ran at the given time, if the views before and after it
// agree.
func (h *host) at(when time.Time) (map[string]float64, bool) {
	for n := len(h.views) - 1; n > 0; n-- {
		before, after := h.views[n-1], h.views[n]
		if before.at.After(when) {
			continue
		}
		ok := before.shares != nil && after.shares != nil && !after.at.Before(when) &&
			maps.Equal(before.shares, after.shares)
		return before.shares, ok
	}
	return nil, false
}
