// Package suspct distinguishes failing workers from failing tasks by comparison
// across workers: a worker is suspected if tasks fail on it that succeed on
// others, and a failure counts against a task if the task fails on different
// workers.
//
// A suspected worker gets no tasks for a pause, which doubles each time up to a
// limit, and is then probed with a few tasks. The package does no I/O and takes
// the time as an argument.
package suspct
