package share

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// priorFactor is the factor of a pair of images without reports, and
	// priorVariance its variance.
	priorFactor   = 0.7
	priorVariance = 0.6
	// minVariance is the least variance of a factor. It lets factors follow
	// changes in what fillers do.
	minVariance = 0.004
	maxFactor   = 5
	// The offset of a task is the part of its utilization that the load of its
	// step and the fillers beside it don't explain; the effect of fillers varies
	// over seconds. maxOffsetVariance bounds the variance of the offset, which
	// grows by offsetNoise a second. The offset decays with the time constant
	// offsetTimeConstant, in seconds.
	maxOffsetVariance  = 0.004
	offsetNoise        = 0.003
	offsetTimeConstant = 4
	// tailNoise is the relative error of a reported tail latency, and fillerNoise
	// that of the utilization that a filler adds, which varies within seconds.
	tailNoise   = 0.08
	fillerNoise = 0.35
	// saturated is the utilization above which a tail latency says little.
	saturated = 0.95
	// maxUtilization bounds the utilization that is computed from a tail latency.
	maxUtilization = 0.99
	// paceHorizon and placeHorizon are how far a load is extrapolated, in seconds:
	// for paces until the next report, for placements over a part of the time that
	// a filler runs.
	paceHorizon  = 0.4
	placeHorizon = 0.6
	// placeMargin is the utilization that is kept free below the goal when a
	// filler is placed.
	placeMargin = 0.03
	// unknownSlack is the slack of a serving task whose step has no reports.
	unknownSlack = 0.2
)

// Mix holds the share of a worker's processors that the fillers of each image use.
type Mix map[string]float64

// Model estimates how much fillers disturb serving tasks, by their images. It isn't
// safe for concurrent use.
type Model struct {
	// factors holds the estimates for which there were reports, by the image of the serving
	// task and then by that of the filler.
	factors map[string]factorsByFiller
	// minTails holds the smallest tail latency of each serving image, which stands
	// for the one without any load.
	minTails map[string]time.Duration
}

// factorsByFiller holds the estimates of one serving image.
type factorsByFiller map[string]estimate

// estimate is the estimate of a factor and its variance.
type estimate struct{ value, variance float64 }

// NewModel returns a model without reports.
func NewModel() *Model {
	return &Model{factors: map[string]factorsByFiller{}, minTails: map[string]time.Duration{}}
}

// Factor returns the factor for the images of a serving task and a filler: the
// utilization that the filler adds to the serving task if it uses all processors of
// the worker.
func (m *Model) Factor(serving, filler string) float64 { return m.factor(serving, filler).value }

// factor returns the estimate for a pair of images, the prior one if there were no
// reports.
func (m *Model) factor(serving, filler string) estimate {
	return m.factors[serving].estimate(filler)
}

// estimate returns the estimate for a filler image, the prior one if there were no reports.
func (f factorsByFiller) estimate(filler string) estimate {
	if e, known := f[filler]; known {
		return e
	}
	return estimate{priorFactor, priorVariance}
}

// setFactor replaces the estimate for a pair of images.
func (m *Model) setFactor(serving, filler string, e estimate) { m.of(serving)[filler] = e }

// of returns the estimates of a serving image. Later ones are added to the same map.
func (m *Model) of(serving string) factorsByFiller {
	f := m.factors[serving]
	if f == nil {
		f = factorsByFiller{}
		m.factors[serving] = f
	}
	return f
}

// Factor is the estimate for a pair of images.
type Factor struct {
	// Serving and Filler are the images.
	Serving, Filler string
	// Value is the factor, and Variance its variance.
	Value, Variance float64
}

// Factors returns the estimates of all pairs with reports, in no particular order.
func (m *Model) Factors() []Factor {
	var out []Factor
	for serving, fillers := range m.factors {
		for filler, e := range fillers {
			out = append(out, Factor{serving, filler, e.value, e.variance})
		}
	}
	return out
}

// SetFactor adopts an estimate of another model. An estimate that is out of range
// is ignored.
func (m *Model) SetFactor(f Factor) {
	if f.Value >= 0 && f.Value <= maxFactor && f.Variance > 0 {
		m.setFactor(f.Serving, f.Filler, estimate{f.Value, max(f.Variance, minVariance)})
	}
}

// MinTails returns the smallest tail latency that was reported for each serving image.
// The map is the model's own and must not be changed.
func (m *Model) MinTails() map[string]time.Duration { return m.minTails }

// SetMinTail adopts the smallest tail latency of a serving image from another model,
// if it is above 0.
func (m *Model) SetMinTail(image string, tail time.Duration) {
	if tail > 0 {
		m.minTails[image] = tail
	}
}

// fillerUtilization returns the utilization that the fillers add to a serving task
// of the image.
func (m *Model) fillerUtilization(serving string, x Mix) float64 {
	sum := 0.0
	for f, part := range x {
		sum += part * m.Factor(serving, f)
	}
	return sum
}

// utilization returns the utilization of a serving task with the given tail latency.
func (m *Model) utilization(image string, tail time.Duration) float64 {
	base := float64(m.minTails[image])
	return min(max(0, 1-base/float64(max(tail, 1))), maxUtilization)
}

// Serving is the state of one serving task.
type Serving struct {
	Image string
	// Goal is the bound on the task's tail latency.
	Goal time.Duration
	// Load is the load that all tasks of the step share.
	Load *Load
	// OverGoalSince is when the tail latency rose above the goal, zero while it is within.
	OverGoalSince time.Time

	// offset is the part of the task's utilization that its load and the fillers
	// don't explain, and offsetVariance the variance of it.
	offset, offsetVariance float64
	// reportedAt is the time of the task's newest report.
	reportedAt time.Time
}

// NewServing returns a serving task without reports. Tasks of one step are given
// the same load.
func NewServing(image string, goal time.Duration, l *Load) *Serving {
	return &Serving{Image: image, Goal: goal, Load: l, offsetVariance: maxOffsetVariance}
}

// Expected returns the utilization of the task without fillers. It is 0.5 while no
// task of its step has reported.
func (s *Serving) Expected() float64 { return s.Load.Value() + s.offset }

// decayOffset lets the offset decay since the last report, and raises its variance.
func (s *Serving) decayOffset(now time.Time) {
	span := now.Sub(s.reportedAt).Seconds()
	s.reportedAt = now
	s.offset *= math.Exp(-span / offsetTimeConstant)
	s.offsetVariance = min(maxOffsetVariance, s.offsetVariance+offsetNoise*span)
}

// Report applies the tail latency that a serving task reports. The mix is what the
// fillers beside the task used in the time that the tail latency covers. A tail
// latency of 0 is ignored.
func (m *Model) Report(now time.Time, s *Serving, tail time.Duration, x Mix) {
	if tail <= 0 {
		return
	}
	if least, known := m.minTails[s.Image]; !known || tail < least {
		m.minTails[s.Image] = tail
	}
	m.update(now, s, m.utilization(s.Image, tail), x)
	switch {
	case tail <= s.Goal:
		s.OverGoalSince = time.Time{}
	case s.OverGoalSince.IsZero():
		s.OverGoalSince = now
	}
}

// update does one step of a Kalman filter whose state is the load of the step, the
// offset of the task, and the factors of the fillers beside it, each with its own
// variance. The load drifts between reports while the factors hardly change, so a
// sudden change is put down to fillers that have started or ended.
func (m *Model) update(now time.Time, s *Serving, used float64, x Mix) {
	s.Load.advance(now)
	s.decayOffset(now)
	noise := tailNoise * (1 - used)
	variance := s.Load.valueVariance + s.offsetVariance + noise*noise
	for f, part := range x {
		k := m.factor(s.Image, f)
		varies := fillerNoise * k.value * part
		variance += part*part*k.variance + varies*varies
	}
	residual := used - s.Expected() - m.fillerUtilization(s.Image, x)
	gain := s.offsetVariance / variance
	s.Load.correct(residual, variance)
	s.offset += gain * residual
	s.offsetVariance *= 1 - gain
	if used > saturated && residual < 0 {
		// Such a tail latency says too little to lower the factors.
		return
	}
	for f, part := range x {
		k := m.factor(s.Image, f)
		gain := part * k.variance / variance
		k.value = min(max(k.value+gain*residual, 0), maxFactor)
		k.variance = max(minVariance, k.variance*(1-gain*part))
		m.setFactor(s.Image, f, k)
	}
}

// goalUtilization returns the utilization at which the tail latency reaches the goal.
func (m *Model) goalUtilization(s *Serving) float64 { return m.utilization(s.Image, s.Goal) }

// slack returns the utilization that fillers may add to a serving task, given its
// load after the given number of seconds.
func (m *Model) slack(s *Serving, ahead float64) float64 {
	if !s.Load.Known() {
		return unknownSlack
	}
	return m.goalUtilization(s) - s.Load.Ahead(ahead) - s.offset
}

// Room is the utilization that another filler may add to the serving tasks on one
// worker.
type Room struct {
	tasks []roomBeside
}

// roomBeside is the utilization that may be added to one serving task, and the factors of
// its image.
type roomBeside struct {
	slack   float64
	factors factorsByFiller
}

// Room returns the room of a worker with the given serving tasks and fillers.
func (m *Model) Room(serving []*Serving, x Mix) Room {
	r := Room{tasks: make([]roomBeside, len(serving))}
	for k, s := range serving {
		r.tasks[k] = roomBeside{m.slack(s, placeHorizon) - placeMargin - m.fillerUtilization(s.Image, x), m.of(s.Image)}
	}
	return r
}

// SlackWith returns the least slack of the serving tasks if another filler of the image
// uses the given share of the worker's processors. It is 1 if there is no serving
// task, and negative if one of them can't bear the filler.
func (r Room) SlackWith(image string, part float64) float64 {
	least := 1.0
	for _, t := range r.tasks {
		least = min(least, t.slack-part*t.factors.estimate(image).value)
	}
	return least
}

// String lists the factors with their variances, and the smallest tail latencies.
func (m *Model) String() string {
	var lines []string
	for _, f := range m.Factors() {
		lines = append(lines, fmt.Sprintf("%s %s %.2f %.3f", f.Serving, f.Filler, f.Value, f.Variance))
	}
	for i, l := range m.minTails {
		lines = append(lines, fmt.Sprint(i, " ", l))
	}
	slices.Sort(lines)
	return strings.Join(lines, "; ")
}

// Distance returns how differently fillers disturb two serving images: the mean
// difference of their factors over the filler images that were reported beside
// both. If there is none, it is the prior factor.
func (m *Model) Distance(a, b string) float64 {
	if a == b {
		return 0
	}
	sum, n := 0.0, 0
	for filler, v := range m.factors[a] {
		if w, known := m.factors[b][filler]; known {
			sum += max(v.value-w.value, w.value-v.value)
			n++
		}
	}
	if n == 0 {
		return priorFactor
	}
	return sum / float64(n)
}
