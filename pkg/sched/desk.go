package sched

import (
	"context"
	"time"
)

// JobService is the set of operations on jobs that an entry instance offers to
// callers.
type JobService interface {
	// Match returns the route for a host and path, and whether there is one.
	// known is false while the instance has no catalog.
	Match(host, path string) (r Route, found, known bool)
	// Limits returns the limits of the catalog in force.
	Limits() HTTPLimits
	// Submit submits a job. CodeAccepted means that the job is stored durably.
	Submit(c context.Context, r Route, j Job) Verdict
	// State returns the state of a job. It is valid if the verdict's code is
	// CodeAccepted.
	State(c context.Context, r Route, id JobID) (JobState, Verdict)
	// Cancel requests the cancellation of a job.
	Cancel(c context.Context, r Route, id JobID) Verdict
	// Pending returns the number of accepted jobs in the route's queue of which
	// no task has started.
	Pending(c context.Context, r Route) (int, Verdict)
	// Ready reports whether the instance can serve calls.
	Ready() bool
}

// Verdict is the result of a call about a job.
type Verdict struct {
	Code Code
	// RetryAfter is the time after which the caller should try again, 0 if
	// unknown.
	RetryAfter time.Duration
	// Reason explains the code in words, for the caller's log.
	Reason string
}
