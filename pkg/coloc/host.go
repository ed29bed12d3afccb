package coloc

import (
	"maps"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// maxSnapshots bounds the snapshots kept per worker, with which delayed
	// measurements are matched.
	maxSnapshots = 64
	// pendingTimeout is how long a placed task counts as running if no report
	// shows it.
	pendingTimeout = 15 * time.Second
	// biasWeight is the weight of one sample in the bias of a service on a
	// worker, biasBound the largest absolute bias.
	biasWeight = 0.05
	biasBound  = 0.3
	// peakDecay is the part of the distance between load and remembered peak by
	// which the peak falls per sample.
	peakDecay = 0.01
)

// host is the state of one worker.
type host struct {
	id              sched.InstanceID
	tasks           map[attemptKey]*runningTask
	services        map[string]*serviceState
	snapshots       []snapshot // oldest first
	lastReport      time.Time
	lastMeasurement time.Time
	lastChange      time.Time // newest action on the worker
	overGoalCount   int       // consecutive measurements over the goal with all candidates throttled
	lastEviction    time.Time
}

type attemptKey struct {
	task    sched.TaskID
	attempt sched.Attempt
}

// runningTask is an attempt that runs on a worker or was placed there.
type runningTask struct {
	kind  string
	share float64
	// pending is set until a report shows the task. since is the time of the
	// placement or the first report.
	pending bool
	since   time.Time
}

// serviceState is the state of one service on one worker. peak follows the
// maximum of load with a slow decay.
type serviceState struct {
	load float64
	peak float64
	// bias is the average relative deviation of the measurements from the
	// model.
	bias float64
}

// snapshot holds the sums of shares per task kind that ran on a worker at a
// moment. shares is nil if they are uncertain because of a placement or an
// action.
type snapshot struct {
	at     time.Time
	shares map[string]float64
}

func newHost(id sched.InstanceID) *host {
	return &host{id: id, tasks: map[attemptKey]*runningTask{}, services: map[string]*serviceState{}}
}

// shares returns the sums of shares per task kind, including pending tasks.
func (h *host) shares() map[string]float64 {
	sum := make(map[string]float64, len(h.tasks))
	for _, t := range h.tasks {
		sum[t.kind] += t.share
	}
	return sum
}

// takeReport updates the tasks of the worker with the running attempts of a
// report. Tasks that the report doesn't show are removed, pending ones only
// after pendingTimeout.
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
			t = &runningTask{kind: kind, share: 1, since: now}
			h.tasks[k] = t
		}
		t.pending = false
	}
	for k, t := range h.tasks {
		if !seen[k] && (!t.pending || now.Sub(t.since) > pendingTimeout) {
			delete(h.tasks, k)
		}
	}
	h.addSnapshot(snapshot{now, h.reportedShares()})
}

// reportedShares returns the sums of shares per task kind without pending
// tasks.
func (h *host) reportedShares() map[string]float64 {
	sum := make(map[string]float64, len(h.tasks))
	for _, t := range h.tasks {
		if !t.pending {
			sum[t.kind] += t.share
		}
	}
	return sum
}

func (h *host) addSnapshot(v snapshot) {
	h.snapshots = append(h.snapshots, v)
	if len(h.snapshots) > maxSnapshots {
		h.snapshots = h.snapshots[1:]
	}
}

// sharesAt returns the shares of the newest snapshot that is not after the
// given time. The result is certain if the next snapshot is equal to it.
func (h *host) sharesAt(when time.Time) (map[string]float64, bool) {
	for n := len(h.snapshots) - 1; n > 0; n-- {
		before, after := h.snapshots[n-1], h.snapshots[n]
		if before.at.After(when) {
			continue
		}
		ok := before.shares != nil && after.shares != nil && !after.at.Before(when) &&
			maps.Equal(before.shares, after.shares)
		return before.shares, ok
	}
	return nil, false
}
