// Package audit checks the events of emulated workers and the answers to callers
// against the rules of the platform. It reports, among others, a task that runs
// twice, a run beyond a worker's capacity, a start without a job or too early, a
// lost job, and a wrong job state.
package audit
