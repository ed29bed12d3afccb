package sched

import (
	"context"
	"time"
)

// Clock tells the time and waits. Implementations are in package clock.
type Clock interface {
	// Now returns the current time. Differences between two results are
	// monotonic where the implementation allows it.
	Now() time.Time
	// Sleep waits for d or until the context ends, and returns the context's
	// error in the second case.
	Sleep(c context.Context, d time.Duration) error
}
