package entry

import "time"

const (
	// maxFailureDelay bounds the delay after a term whose planner has failed.
	maxFailureDelay = 5 * time.Second
	// failureMemory is the time after which an earlier failure no longer counts.
	failureMemory = 30 * time.Second
)

// termBackoff spaces out the terms that an instance begins for a cell whose planner fails
// in each of them, as it does if the cause is in what is recorded.
type termBackoff struct {
	delay time.Duration // after the newest failure
	until time.Time
}

// recordFailure records that the planner has failed. The delay is lostTermDelay after the
// first failure and doubles with each further one.
func (b *termBackoff) recordFailure(now time.Time) {
	if now.Sub(b.until) >= failureMemory {
		b.delay = 0
	}
	b.delay = min(max(2*b.delay, lostTermDelay), maxFailureDelay)
	b.until = now.Add(b.delay)
}
