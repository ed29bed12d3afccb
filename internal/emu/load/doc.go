// Package load generates jobs of every shape that the job protocol allows,
// together with the real behavior of their tasks, and emulates the callers that
// submit, poll and cancel them.
package load
