package site_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// crashesPerOutage is the number of workers that tasks crash between two outages
	// of the planners.
	crashesPerOutage = 4
	// maxOutageDelay is the longest time from a crash to the outage. Planners learn of
	// a crash within it, so that some outages begin before that and some after.
	maxOutageDelay = 1500 * time.Millisecond
	// outageTime is longer than it takes other instances to plan the cells instead.
	outageTime = 4 * time.Second
)

// stopPlanners kills and freezes, in turn, the instances that plan the cells, each time
// shortly after a task has crashed a worker, until the faults end.
func (t *trial) stopPlanners() {
	r := rand.New(rand.NewPCG(t.seed, 11))
	end := time.Now().Add(faultTime - maxOutageDelay - outageTime)
	due := 1
	for kill := true; time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if n, _ := t.world.Audit.Crashes(); n < due {
			continue
		}
		time.Sleep(time.Duration(r.Int64N(int64(maxOutageDelay))))
		begin, stop := t.world.Freeze, t.world.Thaw
		if kill {
			begin, stop = t.site.Kill, t.startIfDown
		}
		var planners []sched.InstanceID
		for cell := range t.cells {
			if id := t.site.Planner(cell); id != "" {
				begin(id)
				planners = append(planners, id)
			}
		}
		time.Sleep(outageTime)
		for _, id := range planners {
			stop(id)
		}
		n, _ := t.world.Audit.Crashes()
		due, kill = n+crashesPerOutage, !kill
	}
}

// startIfDown starts an instance that isn't running.
func (t *trial) startIfDown(id sched.InstanceID) {
	if t.site.Desk(id) == nil {
		t.site.Start(id)
	}
}

// Guards against a task that goes on crashing the workers that start it, also while the
// planners that have seen the crashes are killed or frozen, and against a job with such
// a task that never ends.
func TestSiteWithTasksThatCrashTheirWorkers(t *testing.T) {
	first, last := seeds(4)
	for seed := first; seed <= last; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newTrial(seed)
				// Four seeds in a row play each pair once.
				x.world.CrashChangesID = seed%2 == 0
				x.setGuards(seed/2%2 == 0)
				x.crashShare = 0.05 + 0.05*x.random.Float64()
				outages := fault{0, "outages of planners after crashes", func(t *trial) { go t.stopPlanners() }, 0}
				x.check(t, append([]fault{outages}, x.plan()...))
				a := x.world.Audit
				n, lost := a.Crashes()
				t.Logf("findings %d, workers crashed by tasks %d, runs of other tasks lost %d, innocent jobs shown as failed %d",
					len(a.Findings()), n, lost, a.InnocentFailed())
			})
		})
	}
}
