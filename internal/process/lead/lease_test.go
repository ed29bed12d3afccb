package lead

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// TestLeaseOrdersOverAFullLinkGetMoreTime guards against answers that arrive after the timeout of every attempt: the worker counts
// as silent although it answers, its lease lapses, and tasks whose ends it has listed are started again.
func TestLeaseOrdersOverAFullLinkGetMoreTime(t *testing.T) {
	cases := []struct {
		failures int
		wait     time.Duration
		timeout  time.Duration
	}{
		{0, 0, 900 * time.Millisecond},
		{0, time.Second, 1900 * time.Millisecond},
		{1, 0, 1300 * time.Millisecond},
		{3, 0, 2100 * time.Millisecond},
		{100, 0, 2100 * time.Millisecond},
	}
	for _, k := range cases {
		o := cell.LeaseCall{Order: sched.LeaseOrder{Wait: k.wait}, Failures: k.failures}
		is.New(t).Equal(leaseTimeout(o), k.timeout)
	}
}
