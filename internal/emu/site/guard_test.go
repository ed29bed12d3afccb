package site_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// handOvers returns a plan that stops the planner of the first cell in an orderly way
// again and again, and starts it again.
func handOvers() []fault {
	const pause = 3 * time.Second
	var plan []fault
	for at := pause; at < faultTime; at += pause {
		var stopped sched.InstanceID
		plan = append(plan,
			fault{at, "stop the planner", func(t *trial) {
				if stopped = t.site.Planner(0); stopped != "" {
					t.site.Stop(stopped)
				}
			}, 0},
			fault{at + pause/2, "start it again", func(t *trial) {
				if stopped != "" {
					t.site.Start(stopped)
				}
			}, 0})
	}
	return plan
}

// Guards against starts beyond the capacity of workers that start whatever they are
// told to, while the runs of cancelled jobs are being stopped at a hand-over.
func TestSiteWithoutGuardsUnderHandOvers(t *testing.T) {
	first, last := seeds(6)
	for seed := first; seed <= last; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newTrial(seed)
				x.setGuards(false)
				x.check(t, handOvers())
			})
		})
	}
}
