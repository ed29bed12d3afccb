// Package worker stands in for the platform's workers. They run batch tasks
// next to services under leases, report with a lag, and fail in the ways that
// the design page lists. They run in memory and over HTTP.
//
// A worker computes what happened since the last call when it is called:
// events take effect in the order and at the exact time of the clock, without
// goroutines, so a run on a manual clock is deterministic.
//
// Observer counts what really ran, independent of what the workers report and
// of what the scheduler believes.
package worker
