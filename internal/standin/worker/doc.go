// Package worker simulates the platform's workers for tests. They run batch tasks
// next to services under leases, report measurements with a lag, and fail in the
// ways that Faults lists. They run in memory and over HTTP.
//
// A worker has no goroutines. Each call first processes the events since the last
// call, in order and each at its exact time by the clock, so a run on a manual
// clock is deterministic.
//
// Observer counts the runs at the workers themselves, independent of what the workers report and
// of what the scheduler believes.
package worker
