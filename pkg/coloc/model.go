package coloc

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Options configure a model. The zero value is valid.
type Options struct {
	// Goal returns the 99th percentile that a service should keep, or 0. The
	// goal is at least Ratio times the learned latency alone, which is also the
	// goal if Goal is nil.
	Goal func(service string) time.Duration
	// Ratio is DefaultRatio if 0.
	Ratio float64
	// KindOf names the kind of a task for workers that don't report it. It may
	// be nil.
	KindOf func(sched.TaskID) string
}

// DefaultRatio is the target of the design page. The control loop steers a few
// percent below it. A lower ratio of 1.15 kept the latency further below the
// target than needed and cost a tenth of the batch work.
const DefaultRatio = 1.2

// Model learns and controls. It is not safe for concurrent use.
type Model struct {
	options Options
	filters map[string]*filter
	hosts   map[sched.InstanceID]*host
	// fresh lists the workers with a measurement that Actions has not seen.
	fresh map[sched.InstanceID]bool
	swept time.Time
}

var (
	_ plan.Interference = (*Model)(nil)
	_ plan.Scorer       = (*Model)(nil)
)

// New returns a model that knows nothing.
func New(o Options) *Model {
	if o.Ratio == 0 {
		o.Ratio = DefaultRatio
	}
	return &Model{options: o, filters: map[string]*filter{}, hosts: map[sched.InstanceID]*host{}, fresh: map[sched.InstanceID]bool{}}
}

func (m *Model) host(id sched.InstanceID) *host {
	h := m.hosts[id]
	if h == nil {
		h = newHost(id)
		m.hosts[id] = h
	}
	return h
}

// Workers that no report came from for hostKept are forgotten; sweepEvery
// bounds the cost of that.
const (
	hostKept   = time.Hour
	sweepEvery = 10 * time.Minute
)

func (m *Model) sweep(now time.Time) {
	if now.Sub(m.swept) < sweepEvery {
		return
	}
	m.swept = now
	for id, h := range m.hosts {
		if now.Sub(h.reported) > hostKept {
			delete(m.hosts, id)
			delete(m.fresh, id)
		}
	}
}

// Placed notes that a task was given to a worker, before a report shows it. It
// keeps several placements of one moment from using the same headroom.
func (m *Model) Placed(now time.Time, worker sched.InstanceID, t sched.TaskID, a sched.Attempt, kind string) {
	h := m.hosts[worker]
	if h == nil {
		return // nothing is known of its services
	}
	h.tasks[attemptKey{t, a}] = &running{kind: kind, share: 1, pending: true, since: now}
	h.record(view{at: now})
}

// Observe takes a worker's report.
func (m *Model) Observe(now time.Time, r *sched.WorkerReport) {
	m.sweep(now)
	h := m.host(r.Worker)
	h.reported = now
	h.takeReport(now, r, m.options.KindOf)
	if !r.MeasuredAt.After(h.measured) {
		return
	}
	h.measured = r.MeasuredAt
	m.fresh[r.Worker] = true
	shares, certain := h.at(r.MeasuredAt)
	for _, s := range r.Services {
		l := h.services[s.Service]
		if l == nil {
			l = &local{}
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
		off := y/max(f.predict(l.load, shares), atLeast) - 1
		l.bias += biasRate * (min(max(off, -biasBound), biasBound) - l.bias)
		f.update(now, y, l.load, shares)
	}
}

// goal is the latency that a service should keep at a load, relative to the
// filter's scale. A configured goal that the service misses even alone counts
// as Ratio times alone: no eviction could meet it.
func (m *Model) goal(service string, f *filter, load float64) float64 {
	goal := m.options.Ratio * f.alone(load)
	if m.options.Goal != nil {
		goal = max(goal, m.options.Goal(service).Seconds()/f.scale)
	}
	return goal
}

// Weights of a score.
const (
	// caution is the number of standard deviations that are added to the rise
	// of a kind that is not known well.
	caution = 0.5
	// negligible is a rise that uses no headroom worth counting, as a part of
	// the goal.
	negligible = 0.005
	// usualLoad is the load at which a kind must fit next to some service, or
	// else it is placed as if throttled: a kind that disturbs every service
	// would never start.
	usualLoad = 0.5
	// worstScore bounds a score.
	worstScore = 4.0
)

// Score rates a task kind on a worker: the part of the headroom below the
// latency goal that one more task of the kind would use, of the service that
// suffers most. It is 0 if nothing suffers, and above 1 if a goal would be
// missed.
func (m *Model) Score(worker sched.InstanceID, kind string) float64 {
	h := m.hosts[worker]
	if h == nil {
		return 0
	}
	worst := 0.0
	shares := h.shares()
	part := 1.0
	if !m.fitsSomewhere(kind) {
		part = leastShare // it can only run throttled, wherever it is
	}
	for name, l := range h.services {
		f := m.filters[name]
		if f == nil {
			continue
		}
		mean, sd := f.rise(kind)
		load := max(l.load, l.peak)
		goal := m.goal(name, f, load)
		add := (mean + caution*sd) * load * part
		if add < negligible*goal {
			continue
		}
		room := goal - f.predict(load, shares)*(1+max(l.bias, 0))
		score := worstScore
		if room > 0 {
			score = min(add/room, worstScore)
		}
		worst = max(worst, score)
	}
	return worst
}

// fitsSomewhere tells whether the headroom of some service without any task is
// enough for a task of the kind at full share.
func (m *Model) fitsSomewhere(kind string) bool {
	for name, f := range m.filters {
		mean, sd := f.rise(kind)
		if (mean+caution*sd)*usualLoad <= m.goal(name, f, usualLoad)-f.alone(usualLoad) {
			return true
		}
	}
	return false
}

// Rise returns the learned rise of a service's latency by one task of a kind
// at full load and share, relative to the latency alone, and its standard
// deviation.
func (m *Model) Rise(service, kind string) (mean, sd float64) {
	f := m.filters[service]
	if f == nil {
		return riseMean, riseSD
	}
	mean, sd = f.rise(kind)
	return mean / f.mean[atAlone], sd / f.mean[atAlone]
}
