package order

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a late time that a few runs of many times the usual length make useless,
// and against one that most runs exceed.
func TestFewLongRunsDoNotMakeTheLateTimeLong(t *testing.T) {
	i := is.New(t)
	s := &sched.Step{Estimate: 2 * time.Second} // twice what the tasks take
	var sum time.Duration
	for seed := range uint64(50) {
		r, x, later := rand.New(rand.NewPCG(seed, 1)), NewRunTimes(), 0
		for n := range 1000 {
			took := time.Duration((0.5 + r.Float64()) * float64(time.Second))
			if r.IntN(100) < 3 {
				took *= 7
			}
			if n >= 100 && took > x.Late("q", s) {
				later++
			}
			if n >= 100 {
				sum += x.Late("q", s)
			}
			x.Observe("q", s, took)
		}
		i.True(later < 90) // a tenth of the runs, of which 3% are the long ones
	}
	i.True(sum/(50*900) < 2*time.Second) // twice the usual time in the mean
}
