package sched

import (
	"context"
	"time"
)

// Clock is the source of time. Package clock has the implementations.
type Clock interface {
	// Now returns the current time. The time between two results is measured by
	// a monotonic clock if the implementation has one.
	Now() time.Time
	// Sleep waits for d and returns nil, or returns the context's error as soon
	// as the context ends.
	Sleep(c context.Context, d time.Duration) error
}
