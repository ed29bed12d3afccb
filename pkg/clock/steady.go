package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Steady shows the time of day at the call of NewSteady plus the time since
// then, including the time in which the machine was suspended. Steps of the
// time of day don't affect it. It is safe for concurrent use.
type Steady struct {
	start time.Time
	// startSinceBoot is the time since boot at start.
	startSinceBoot time.Duration
}

var _ sched.Clock = (*Steady)(nil)

// NewSteady returns a clock that starts at the current time of day.
func NewSteady() *Steady {
	// Round removes Go's own monotonic reading, which stands still while the
	// machine is suspended.
	return &Steady{start: time.Now().Round(0), startSinceBoot: sinceBoot()}
}

// sinceBoot returns the time since the machine was booted.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Not expected: Linux has had this clock since 2.6.39.
		panic("reading CLOCK_BOOTTIME failed: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Now implements sched.Clock.
func (s *Steady) Now() time.Time { return s.start.Add(sinceBoot() - s.startSinceBoot) }

// Sleep implements sched.Clock.
func (s *Steady) Sleep(c context.Context, d time.Duration) error { return System{}.Sleep(c, d) }
