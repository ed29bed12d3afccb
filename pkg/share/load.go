package share

import "time"

const (
	// initialLoadVariance is the variance of a load without reports, and the
	// largest one of any load. initialSlopeVariance is the variance of the slope
	// of a load without reports.
	initialLoadVariance  = 0.03
	initialSlopeVariance = 0.0025
	// slopeNoise is the variance that a slope gains in a second.
	slopeNoise = 0.002
	// maxSlope bounds the size of a slope.
	maxSlope = 0.15
	// priorLoad is the load of a step without reports.
	priorLoad = 0.5
)

// Load estimates the utilization of the tasks of one step by their own users, who
// are spread over the tasks evenly. The reports of all tasks of the step correct
// one Kalman filter whose state is the load and its slope.
type Load struct {
	// value is the load, and slope its change in a second.
	value, slope float64
	// valueVariance, slopeVariance and covariance are the error covariance of
	// value and slope.
	valueVariance, slopeVariance, covariance float64
	// updatedAt is the time of the newest report, zero before the first.
	updatedAt time.Time
}

// NewLoad returns the load of a step without reports.
func NewLoad() *Load {
	return &Load{value: priorLoad, valueVariance: initialLoadVariance, slopeVariance: initialSlopeVariance}
}

// Known reports whether a task of the step has reported.
func (l *Load) Known() bool { return !l.updatedAt.IsZero() }

// Value returns the load at the time of the newest report.
func (l *Load) Value() float64 { return l.value }

// Ahead returns the load expected the given number of seconds after the newest
// report. It is never below Value.
func (l *Load) Ahead(seconds float64) float64 { return l.value + max(0, l.slope*seconds) }

// advance predicts the estimate for a time, the first step of the filter.
func (l *Load) advance(now time.Time) {
	if l.updatedAt.IsZero() {
		l.updatedAt = now
		return
	}
	s := now.Sub(l.updatedAt).Seconds()
	if s <= 0 {
		return
	}
	l.updatedAt = now
	l.value = min(max(l.value+s*l.slope, 0), 1)
	l.valueVariance = min(initialLoadVariance, l.valueVariance+2*s*l.covariance+s*s*l.slopeVariance+slopeNoise*s*s*s/3)
	l.covariance += s*l.slopeVariance + slopeNoise*s*s/2
	l.slopeVariance += slopeNoise * s
}

// correct applies the error of a predicted utilization, given the variance of that
// error. It is the second step of the filter.
func (l *Load) correct(residual, variance float64) {
	gain, slopeGain := l.valueVariance/variance, l.covariance/variance
	l.value = min(max(l.value+gain*residual, 0), 1)
	l.slope = min(max(l.slope+slopeGain*residual, -maxSlope), maxSlope)
	l.slopeVariance -= slopeGain * l.covariance
	l.valueVariance *= 1 - gain
	l.covariance *= 1 - gain
}
