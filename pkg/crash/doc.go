// Package crash decides which of the tasks that ran on a worker when it crashed
// may have crashed it, and when a task has crashed so many workers that it must
// not start again. It has no state: the counts belong to the tasks, whose records
// outlast the process.
package crash
