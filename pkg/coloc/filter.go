package coloc

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Prior and noise of a filter. Latencies are relative to the first measured one.
const (
	// aloneSD, loadSD and riseSD are the prior standard deviations of the
	// coefficients.
	aloneSD = 0.5
	loadSD  = 0.1
	riseSD  = 0.25
	// riseMean is the prior mean of the rise of a task kind. It is slightly
	// above 0, so that the first task of a kind is placed where there is
	// headroom.
	riseMean = 0.05
	// decayTime is the time in which the variance of a coefficient grows from 0
	// to the prior variance if there are no new samples.
	decayTime = 12 * time.Hour
	// outlierBound is the deviation of a sample from the prediction, in
	// standard deviations, above which the sample counts as noisier than
	// others. A single outlier then changes the coefficients little. Their
	// variance hardly shrinks, so that a kind that disturbs far more than
	// expected is still learned.
	outlierBound = 2.0
	// noiseFloor and noiseCap bound the learned noise of a sample, a standard
	// deviation relative to the latency. initialNoise is its first value and
	// noiseWeight the weight of a new sample in it.
	noiseFloor   = 0.03
	noiseCap     = 0.5
	initialNoise = 0.15
	noiseWeight  = 0.02
	// maxKinds bounds the number of task kinds per filter. Further kinds keep
	// the prior, and samples taken while such a kind runs are discarded.
	maxKinds = 48
)

// Indexes of the coefficients of a filter: the latency without tasks and load,
// the rise by the service's own load, and the first task kind.
const (
	aloneIndex = iota
	loadIndex
	firstKindIndex
)

// filter is the Kalman filter of one service. Its state has one coefficient per
// task kind besides the fixed ones.
type filter struct {
	// scale is the first measured latency in seconds, the unit of the means.
	scale float64
	mean  []float64
	// cov is the covariance of mean.
	cov [][]float64
	// kinds maps a task kind to the index of its coefficient.
	kinds      map[string]int
	noise      float64
	lastUpdate time.Time
}

func newFilter(scale float64, now time.Time) *filter {
	f := &filter{scale: scale, kinds: map[string]int{}, noise: initialNoise, lastUpdate: now}
	f.extend(1, aloneSD)
	f.extend(0, loadSD)
	return f
}

// extend adds a coefficient with the given prior, uncorrelated with the others.
func (f *filter) extend(mean, sd float64) {
	f.mean = append(f.mean, mean)
	for n := range f.cov {
		f.cov[n] = append(f.cov[n], 0)
	}
	row := make([]float64, len(f.mean))
	row[len(row)-1] = sd * sd
	f.cov = append(f.cov, row)
}

// index returns the index of a task kind's coefficient, adding the kind if
// needed. It returns -1 if the filter already has maxKinds kinds.
func (f *filter) index(kind string) int {
	n, ok := f.kinds[kind]
	if ok {
		return n
	}
	if len(f.kinds) >= maxKinds {
		return -1
	}
	n = len(f.mean)
	f.kinds[kind] = n
	f.extend(riseMean, riseSD)
	return n
}

// rise returns the mean and the standard deviation of a kind's coefficient,
// those of the prior for an unknown kind.
func (f *filter) rise(kind string) (mean, sd float64) {
	n, ok := f.kinds[kind]
	if !ok {
		return riseMean, riseSD
	}
	return f.mean[n], math.Sqrt(f.cov[n][n])
}

// alone returns the expected latency at a load without tasks.
func (f *filter) alone(load float64) float64 { return f.mean[aloneIndex] + f.mean[loadIndex]*load }

// predict returns the expected latency at a load next to tasks with the given
// sums of shares per kind.
func (f *filter) predict(load float64, shares map[string]float64) float64 {
	y := f.alone(load)
	for _, k := range slices.Sorted(maps.Keys(shares)) {
		r, _ := f.rise(k)
		y += r * shares[k] * load
	}
	return y
}

// update applies the measurement update of the Kalman filter for a latency y
// that was measured at a load next to tasks with the given sums of shares per
// kind.
func (f *filter) update(now time.Time, y, load float64, shares map[string]float64) {
	f.decayConfidence(now)
	x := make([]float64, len(f.mean), len(f.mean)+len(shares))
	x[aloneIndex], x[loadIndex] = 1, load
	for _, k := range slices.Sorted(maps.Keys(shares)) {
		n := f.index(k)
		if n < 0 {
			return // no coefficient for the kind, so its effect can't be separated
		}
		for len(x) <= n {
			x = append(x, 0)
		}
		x[n] = shares[k] * load
	}
	predicted := 0.0
	gain := make([]float64, len(x))
	for n := range x {
		predicted += f.mean[n] * x[n]
		for m := range x {
			gain[n] += f.cov[n][m] * x[m]
		}
	}
	predictedVar := 0.0 // variance of the prediction without sample noise
	for n := range x {
		predictedVar += x[n] * gain[n]
	}
	sd := f.noise * max(predicted, minLatency)
	noise := sd * sd
	residual := y - predicted
	if bound := outlierBound * math.Sqrt(predictedVar+noise); math.Abs(residual) > bound {
		noise *= residual * residual / (bound * bound)
	}
	total := predictedVar + noise
	for n := range x {
		f.mean[n] += gain[n] / total * residual
		for m := range x {
			f.cov[n][m] -= gain[n] * gain[m] / total
		}
	}
	for n := firstKindIndex; n < len(f.mean); n++ {
		f.mean[n] = max(f.mean[n], 0) // a task never lowers the latency of a service
	}
	f.mean[aloneIndex] = max(f.mean[aloneIndex], minLatency)
	bound := outlierBound * outlierBound * (predictedVar + sd*sd)
	f.learnNoise(min(residual*residual, bound)-predictedVar, predicted)
}

// minLatency is the least latency relative to scale. It keeps predictions,
// which are divisors, positive.
const minLatency = 0.05

// learnNoise updates the relative noise with the part of a squared residual that
// the variance of the prediction doesn't explain.
func (f *filter) learnNoise(variance, predicted float64) {
	p := max(predicted, minLatency)
	v := f.noise*f.noise*(1-noiseWeight) + noiseWeight*max(variance, 0)/(p*p)
	f.noise = min(max(math.Sqrt(v), noiseFloor), noiseCap)
}

// decayConfidence raises the variance of each coefficient with the time since
// the last update, up to the variance of its prior.
func (f *filter) decayConfidence(now time.Time) {
	d := now.Sub(f.lastUpdate)
	if f.lastUpdate.IsZero() { // the filter was created by Load
		f.lastUpdate, d = now, 0
	}
	if d <= 0 {
		return
	}
	f.lastUpdate = now
	part := min(1, d.Seconds()/decayTime.Seconds())
	for n := range f.cov {
		prior := riseSD
		switch n {
		case aloneIndex:
			prior = aloneSD
		case loadIndex:
			prior = loadSD
		}
		f.cov[n][n] = min(f.cov[n][n]+part*prior*prior, max(f.cov[n][n], prior*prior))
	}
}
