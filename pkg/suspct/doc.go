// Package suspct tells failing workers from failing tasks by comparing across
// workers: a worker is suspected if it fails what others run, and a task is to
// blame if it fails on different workers.
//
// A suspected worker gets no tasks for a pause that doubles each time, and is
// then probed with few. The package does no I/O and takes the time as an
// argument.
package suspct
