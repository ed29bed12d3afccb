package site_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// advice makes the service bear about as many calls as the trial's jobs need, so that they
// wait for it after each fault.
var advice = sched.AdviceSettings{Decision: 150 * time.Millisecond, PerWorker: 4 * time.Millisecond, Validity: 3 * time.Second}

// useAdvice makes the steps of all jobs need advice. The validity of tickets counts from the
// arrival of the call, or from its answer.
func (t *trial) useAdvice(fromArrival bool) {
	t.queue.Advice = &advice
	r := route
	r.Queue = t.queue
	t.world.Catalog.Routes = []sched.Route{r}
	t.world.TicketsFromArrival = fromArrival
}

// Guards against jobs of a queue that needs advice that never end, run twice or run without
// a valid ticket, while instances, the store and the way to the advice service fail.
func TestSiteWithAdviceUnderFaults(t *testing.T) {
	first, last := seeds(3)
	for seed := first; seed <= last; seed++ {
		for _, fromArrival := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d/fromArrival=%t", seed, fromArrival), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					x := newTrial(seed)
					x.useAdvice(fromArrival)
					x.check(t, x.plan())
				})
			})
		}
	}
}

// Guards against findings of the audit and jobs that don't end where a queue needs advice,
// without faults.
func TestSiteWithAdviceOnACalmDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newTrial(1)
		x.useAdvice(true)
		x.check(t, nil)
	})
}
