package mixed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a policy that misses its targets: service p99 within 1.2 times
// that without tasks, 80% of the processors used by tasks, and at most half of
// the baseline's evictions.
func TestInterferenceTargets(t *testing.T) {
	i := is.New(t)
	s := Interference()
	s.Duration = 20 * time.Minute
	baseline, err := Run(s, Baseline(), 4)
	i.NoErr(err)
	current, err := Run(s, Current(), 4)
	i.NoErr(err)
	t.Logf("baseline %+v, current %+v", baseline, current)
	i.True(current.P99Ratio <= 1.2)
	i.True(current.BatchShare >= 0.8)
	i.True(2*current.Evictions <= baseline.Evictions)
}

// Guards against results that differ between two runs with the same seed, for
// instance because a decision depends on map order.
func TestRunIsDeterministic(t *testing.T) {
	i := is.New(t)
	s := Interference()
	s.Duration = 4 * time.Minute
	first, err := Run(s, Current(), 5)
	i.NoErr(err)
	again, err := Run(s, Current(), 5)
	i.NoErr(err)
	i.Equal(first, again)
}
