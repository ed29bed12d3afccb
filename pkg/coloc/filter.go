package coloc

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Prior knowledge and noise of a filter. Latencies are relative to the first
// one that was measured.
const (
	// aloneSD, loadSD and riseSD are standard deviations of the prior.
	aloneSD = 0.5
	loadSD  = 0.1
	riseSD  = 0.25
	// riseMean is assumed of a task kind that was never seen: a little more
	// than nothing, so that it is first put where there is headroom.
	riseMean = 0.05
	// forgetTime is the time in which unused knowledge of a coefficient decays
	// to the prior.
	forgetTime = 12 * time.Hour
	// clip is how far off a sample can be, in standard deviations, before it
	// counts as noisier than others: one outlier moves little, and a kind that
	// disturbs far more than expected is still learned, as its variance stays.
	clip = 2.0
	// noiseFloor and noiseCap bound the learned relative noise of a sample.
	noiseFloor = 0.03
	noiseCap   = 0.5
	noiseStart = 0.15
	noiseRate  = 0.02
	// maxKinds bounds the size of a filter. Kinds beyond it keep the prior.
	maxKinds = 48
)

// Fixed coefficients of a filter.
const (
	atAlone = iota
	atLoad
	atKinds
)

// filter is the Kalman filter of one service.
type filter struct {
	// scale is the first measured latency, in seconds.
	scale float64
	mean  []float64
	// cov is the covariance of mean.
	cov   [][]float64
	kinds map[string]int
	noise float64
	last  time.Time
}

func newFilter(scale float64, now time.Time) *filter {
	f := &filter{scale: scale, kinds: map[string]int{}, noise: noiseStart, last: now}
	f.extend(1, aloneSD)
	f.extend(0, loadSD)
	return f
}

func (f *filter) extend(mean, sd float64) {
	f.mean = append(f.mean, mean)
	for n := range f.cov {
		f.cov[n] = append(f.cov[n], 0)
	}
	row := make([]float64, len(f.mean))
	row[len(row)-1] = sd * sd
	f.cov = append(f.cov, row)
}

// index returns the coefficient of a task kind, or -1 if there is no room.
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

// rise returns the mean and the standard deviation of a kind's coefficient.
func (f *filter) rise(kind string) (mean, sd float64) {
	n, ok := f.kinds[kind]
	if !ok {
		return riseMean, riseSD
	}
	return f.mean[n], math.Sqrt(f.cov[n][n])
}

// alone is the latency at a load without tasks.
func (f *filter) alone(load float64) float64 { return f.mean[atAlone] + f.mean[atLoad]*load }

// predict is the latency at a load next to tasks with the given sums of shares
// per kind.
func (f *filter) predict(load float64, shares map[string]float64) float64 {
	y := f.alone(load)
	for _, k := range slices.Sorted(maps.Keys(shares)) {
		r, _ := f.rise(k)
		y += r * shares[k] * load
	}
	return y
}

// update learns from one measured latency.
func (f *filter) update(now time.Time, y, load float64, shares map[string]float64) {
	f.age(now)
	x := make([]float64, len(f.mean), len(f.mean)+len(shares))
	x[atAlone], x[atLoad] = 1, load
	for _, k := range slices.Sorted(maps.Keys(shares)) {
		n := f.index(k)
		if n < 0 {
			return // the sample can't be explained
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
	model := 0.0 // variance of the prediction
	for n := range x {
		model += x[n] * gain[n]
	}
	sd := f.noise * max(predicted, atLeast)
	noise := sd * sd
	miss := y - predicted
	if bound := clip * math.Sqrt(model+noise); math.Abs(miss) > bound {
		noise *= miss * miss / (bound * bound)
	}
	total := model + noise
	for n := range x {
		f.mean[n] += gain[n] / total * miss
		for m := range x {
			f.cov[n][m] -= gain[n] * gain[m] / total
		}
	}
	for n := atKinds; n < len(f.mean); n++ {
		f.mean[n] = max(f.mean[n], 0) // a task doesn't speed a service up
	}
	f.mean[atAlone] = max(f.mean[atAlone], atLeast)
	bound := clip * clip * (model + sd*sd)
	f.learnNoise(min(miss*miss, bound)-model, predicted)
}

// atLeast keeps a latency from becoming zero or negative, relative to scale.
const atLeast = 0.05

func (f *filter) learnNoise(variance, predicted float64) {
	p := max(predicted, atLeast)
	v := f.noise*f.noise*(1-noiseRate) + noiseRate*max(variance, 0)/(p*p)
	f.noise = min(max(math.Sqrt(v), noiseFloor), noiseCap)
}

// age lowers the confidence in all coefficients with time.
func (f *filter) age(now time.Time) {
	d := now.Sub(f.last)
	if f.last.IsZero() { // just loaded
		f.last, d = now, 0
	}
	if d <= 0 {
		return
	}
	f.last = now
	part := min(1, d.Seconds()/forgetTime.Seconds())
	for n := range f.cov {
		prior := riseSD
		switch n {
		case atAlone:
			prior = aloneSD
		case atLoad:
			prior = loadSD
		}
		f.cov[n][n] = min(f.cov[n][n]+part*prior*prior, max(f.cov[n][n], prior*prior))
	}
}
