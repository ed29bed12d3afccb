package hosts_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// TestALeaseHasEndedOnceTheWorkerHasEndedItsRuns guards against runs that are given up, and started elsewhere, at the very time
// at which the slowest clock shows the end of their lease, while the worker is still ending them.
func TestALeaseHasEndedOnceTheWorkerHasEndedItsRuns(t *testing.T) {
	i := is.New(t)
	now := time.Unix(1e9, 0)
	h := hosts.New(sched.Worker{ID: "w1"}, now, 0)
	h.Read(sched.OrderAnswer{Clock: sched.WorkerClock(time.Second), Incarnation: 1}, now, now)
	deadline := h.Grant(now, 6*time.Second)
	const slowest, ending = 0.98, 100 * time.Millisecond
	lapse := now.Add(time.Duration(float64(deadline-sched.WorkerClock(time.Second)) / slowest))
	i.True(h.LeaseEnd().Sub(lapse) >= ending)
}
