package coloc

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Options configure a model. The zero value is valid.
type Options struct {
	// LatencyGoal returns the latency goal of a service as a 99th percentile, or 0 if
	// it has none. The goal in force is at least MinGoalRatio times the learned
	// latency without tasks, and exactly that if LatencyGoal is nil.
	LatencyGoal func(service string) time.Duration
	// MinGoalRatio is the least latency goal relative to the latency without tasks. 0
	// means DefaultMinGoalRatio.
	MinGoalRatio float64
	// KindOf returns the kind of a task for workers that don't report it. It
	// may be nil.
	KindOf func(sched.TaskID) string
}

// DefaultMinGoalRatio is the default of Options.MinGoalRatio. The control loop keeps the
// predicted latency a few percent below the goal. A ratio of 1.15 kept the
// latency further below the target than needed and cost a tenth of the batch
// work.
const DefaultMinGoalRatio = 1.2

// Model learns the interference between tasks and services and decides which
// tasks to throttle or evict. It is not safe for concurrent use.
type Model struct {
	options Options
	// filters maps the name of a service to its filter.
	filters map[string]*filter
	hosts   map[sched.InstanceID]*host
	// newlyMeasured is the set of workers with a measurement that Actions has
	// not processed yet.
	newlyMeasured map[sched.InstanceID]bool
	lastSweep     time.Time
}

var (
	_ plan.Interference = (*Model)(nil)
	_ plan.Scorer       = (*Model)(nil)
)

// New returns a model without learned coefficients or known workers.
func New(o Options) *Model {
	if o.MinGoalRatio == 0 {
		o.MinGoalRatio = DefaultMinGoalRatio
	}
	return &Model{
		options: o, filters: map[string]*filter{}, hosts: map[sched.InstanceID]*host{},
		newlyMeasured: map[sched.InstanceID]bool{},
	}
}

// host returns the state of a worker and creates it if needed.
func (m *Model) host(id sched.InstanceID) *host {
	h := m.hosts[id]
	if h == nil {
		h = newHost(id)
		m.hosts[id] = h
	}
	return h
}

// A worker is dropped hostRetention after its last report. The check for such
// workers runs at most once per sweepEvery, to bound its cost.
const (
	hostRetention = time.Hour
	sweepEvery    = 10 * time.Minute
)

// sweep drops the workers that have not sent a report for hostRetention.
func (m *Model) sweep(now time.Time) {
	if now.Sub(m.lastSweep) < sweepEvery {
		return
	}
	m.lastSweep = now
	for id, h := range m.hosts {
		if now.Sub(h.lastReport) > hostRetention {
			delete(m.hosts, id)
			delete(m.newlyMeasured, id)
		}
	}
}

// Placed records that a task was placed on a worker, before a report shows it.
// This keeps several placements at the same time from using the same headroom.
// It does nothing for a worker without a report.
func (m *Model) Placed(now time.Time, worker sched.InstanceID, t sched.TaskID, a sched.Attempt, kind string) {
	h := m.hosts[worker]
	if h == nil {
		return // without a report, its services are unknown
	}
	h.tasks[attemptKey{t, a}] = &runningTask{kind: kind, share: 1, pending: true, since: now}
	h.addSnapshot(snapshot{at: now})
}

// Observe updates the model with a worker's report: the running tasks, and the
// latencies of the services if the report has a newer measurement.
func (m *Model) Observe(now time.Time, r *sched.WorkerReport) {
	m.sweep(now)
	h := m.host(r.Worker)
	h.lastReport = now
	h.takeReport(now, r, m.options.KindOf)
	if !r.MeasuredAt.After(h.lastMeasurement) {
		return
	}
	h.lastMeasurement = r.MeasuredAt
	m.newlyMeasured[r.Worker] = true
	shares, certain := h.sharesAt(r.MeasuredAt)
	for _, s := range r.Services {
		l := h.services[s.Service]
		if l == nil {
			l = &serviceState{}
			h.services[s.Service] = l
		}
		l.load = min(max(s.Load, 0), 1)
		l.peak = max(l.load, l.peak-peakDecay*(l.peak-l.load))
		if s.P99 <= 0 {
			continue
		}
		f := m.filters[s.Service]
		if f == nil {
			f = newFilter(s.P99.Seconds(), now)
			m.filters[s.Service] = f
		}
		if !certain {
			continue
		}
		y := s.P99.Seconds() / f.scale
		deviation := y/max(f.predict(l.load, shares), minLatency) - 1
		l.bias += biasWeight * (min(max(deviation, -biasBound), biasBound) - l.bias)
		f.update(now, y, l.load, shares)
	}
}

// goal returns the latency goal of a service at a load, relative to the
// filter's scale. It is the configured goal, but at least MinGoalRatio times the
// latency without tasks, since no eviction could bring the latency below that.
func (m *Model) goal(service string, f *filter, load float64) float64 {
	goal := m.options.MinGoalRatio * f.alone(load)
	if m.options.LatencyGoal != nil {
		goal = max(goal, m.options.LatencyGoal(service).Seconds()/f.scale)
	}
	return goal
}

// Parameters of Score.
const (
	// uncertaintyWeight is the number of standard deviations that are added to
	// the expected rise of a kind, so that a kind with few samples scores
	// higher.
	uncertaintyWeight = 0.5
	// negligibleRise is the rise below which a task doesn't count as using
	// headroom, as a part of the goal.
	negligibleRise = 0.005
	// typicalLoad is the load at which a kind at full share must fit next to at
	// least one service. A kind that doesn't is scored as if it were throttled,
	// since a kind that disturbs every service would otherwise never start.
	typicalLoad = 0.5
	// maxScore is the largest score, used if there is no headroom left.
	maxScore = 4.0
)

// Score rates a task kind on a worker: the part of the headroom below the
// latency goal that one more task of the kind would use, for the service where
// this part is largest. It is 0 if every rise is negligible, and above 1 if a
// goal would be missed.
func (m *Model) Score(worker sched.InstanceID, kind string) float64 {
	h := m.hosts[worker]
	if h == nil {
		return 0
	}
	worst := 0.0
	shares := h.shares()
	taskShare := 1.0
	if !m.fitsSomewhere(kind) {
		taskShare = minShare // the kind can only run throttled on any worker
	}
	for name, l := range h.services {
		f := m.filters[name]
		if f == nil {
			continue
		}
		mean, sd := f.rise(kind)
		load := max(l.load, l.peak)
		goal := m.goal(name, f, load)
		add := (mean + uncertaintyWeight*sd) * load * taskShare
		if add < negligibleRise*goal {
			continue
		}
		room := goal - f.predict(load, shares)*(1+max(l.bias, 0))
		score := maxScore
		if room > 0 {
			score = min(add/room, maxScore)
		}
		worst = max(worst, score)
	}
	return worst
}

// fitsSomewhere reports whether a task of the kind at full share fits into the
// headroom of at least one service that has no other tasks next to it.
func (m *Model) fitsSomewhere(kind string) bool {
	for name, f := range m.filters {
		mean, sd := f.rise(kind)
		if (mean+uncertaintyWeight*sd)*typicalLoad <= m.goal(name, f, typicalLoad)-f.alone(typicalLoad) {
			return true
		}
	}
	return false
}

// LatencyRise returns the learned rise of a service's latency by one task of a kind at
// full load and share, relative to the latency without tasks, and its standard
// deviation. For an unknown service or kind it returns the prior.
func (m *Model) LatencyRise(service, kind string) (mean, sd float64) {
	f := m.filters[service]
	if f == nil {
		return riseMean, riseSD
	}
	mean, sd = f.rise(kind)
	return mean / f.mean[aloneIndex], sd / f.mean[aloneIndex]
}
