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
// changed, and against a share far from keys/instances.
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
				t.Fatalf("%d instances: %s moved from %s to %s when another joined", n, key, before, after)
			}
			// Leaving is the reverse: the second in rank is the one before.
			if r := key.Rank(joined); r[0] != after || r[1] != before {
				t.Fatalf("%s: rank begins with %v, expected %s and %s", key, r[:2], after, before)
			}
		}
		// The number is binomial with mean keys/(n+1); 5 standard deviations
		// are exceeded by chance less than once in a million.
		mean := float64(keys) / float64(n+1)
		if d := float64(moved) - mean; d*d > 25*mean {
			t.Errorf("%d instances: %d of %d keys moved, expected about %.0f", n, moved, keys, mean)
		}
	}
}

// Guards against an owner where there is none.
func TestNoCandidates(t *testing.T) {
	if o, ok := rendez.Planner("dc").Owner(nil); ok {
		t.Fatalf("owner %s of no candidates", o)
	}
}
