// Package order decides which waiting tasks are placed first, and estimates how
// long tasks take. It is made for backlogs: jobs that can still meet their
// objective go first, so that the jobs that are late anyway become later, and not
// every job that comes after them.
package order
