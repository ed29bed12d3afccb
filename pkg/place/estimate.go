package place

import "time"

// learnRate is the weight of the newest run in the estimate of a kind.
const learnRate = 0.1

// Estimator learns how long tasks of a kind run. The estimate only orders
// choices: commitments always use the declared resources.
type Estimator struct {
	kinds map[string]time.Duration
}

// NewEstimator returns an estimator without history.
func NewEstimator() *Estimator { return &Estimator{kinds: map[string]time.Duration{}} }

// Ran notes the run time of a task that was done.
func (e *Estimator) Ran(kind string, d time.Duration) {
	old, known := e.kinds[kind]
	if !known {
		e.kinds[kind] = d
		return
	}
	e.kinds[kind] = old + time.Duration(learnRate*float64(d-old))
}

// RunTime returns the expected run time of a kind, or the declared one if none
// has run yet.
func (e *Estimator) RunTime(kind string, declared time.Duration) time.Duration {
	if d, known := e.kinds[kind]; known {
		return d
	}
	return declared
}
