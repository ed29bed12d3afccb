package clock

import (
	"context"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// System is the machine's clock. The zero value is ready for use.
type System struct{}

var _ sched.Clock = System{}

// Now implements sched.Clock.
func (System) Now() time.Time { return time.Now() }

// Sleep implements sched.Clock. It returns at once if d is not positive.
func (System) Sleep(c context.Context, d time.Duration) error {
	if d <= 0 {
		return c.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-c.Done():
		return c.Err()
	}
}
