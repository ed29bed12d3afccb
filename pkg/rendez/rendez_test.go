package rendez_test

import (
	"fmt"
	"testing"

	"github.com/parsleybarrow/parsleybarrow/pkg/rendez"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

func instances(n int) []sched.InstanceID {
	var all []sched.InstanceID
	for k := range n {
		all = append(all, sched.InstanceID(fmt.Sprintf("entry-%d", k)))
	}
	return all
}

// Guards against keys that move although neither their old nor their new owner
// joined or left, and against a share of moved keys far from 1/(instances+1).
func TestOnlyTheKeysOfTheChangedInstanceMove(t *testing.T) {
	const keys = 10_000
	for _, n := range []int{3, 9, 36, 162} {
		all := instances(n)
		joined := append(all[:n:n], "joiner")
		moved := 0
		for k := range keys {
			key := rendez.Key(fmt.Sprint("key/", k))
			before, _ := key.Owner(all)
			after, _ := key.Owner(joined)
			if before == after {
				continue
			}
			moved++
			if after != "joiner" {
				t.Fatalf("%d instances: %s moved from %s to %s, but only moves to the joiner are expected", n, key, before, after)
			}
			// If the joiner leaves again, the key returns to the second in rank,
			// which must be the owner before.
			if r := key.Rank(joined); r[0] != after || r[1] != before {
				t.Fatalf("%s: rank begins with %v, expected %s and %s", key, r[:2], after, before)
			}
		}
		// The number of moved keys is binomial with mean keys/(n+1). Chance
		// alone exceeds 5 standard deviations less than once in a million.
		mean := float64(keys) / float64(n+1)
		if d := float64(moved) - mean; d*d > 25*mean {
			t.Errorf("%d instances: %d of %d keys moved, expected about %.0f", n, moved, keys, mean)
		}
	}
}

// Guards against an owner that is reported although there are no candidates.
func TestNoCandidates(t *testing.T) {
	if o, ok := rendez.PlannerKey("dc").Owner(nil); ok {
		t.Fatalf("owner is %q although there are no candidates", o)
	}
}
