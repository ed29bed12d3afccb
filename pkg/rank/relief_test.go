package rank_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/rank"
)

// Guards against an instance that isn't ready for an eighth of the time, although it isn't
// behind, or as the last one of its data centre.
func TestReliefIsShortAndNeverOfTheLastInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r rank.Relief
		var relieved time.Duration
		const steps = 480 // two minutes
		for k := range steps {
			behind := rapid.IntRange(0, 4).Draw(t, "behind") > 0
			others := rapid.IntRange(0, 2).Draw(t, "others")
			if r.Due(begin.Add(time.Duration(k)*step), behind, others) {
				relieved += step
				if !behind || others == 0 {
					t.Fatal("relieved without need, or the last one")
				}
			}
		}
		if relieved > steps*step/8 {
			t.Fatalf("not ready for %v of %v", relieved, steps*step)
		}
	})
}
