// Package place chooses the worker for a task, and the order in which waiting
// tasks are considered.
//
// The index keeps workers in buckets by their free processors and memory, so that
// a decision compares a bounded number of workers whatever the size of the fleet.
// Of the workers with room it takes the one with the best fit, little interference
// and few tasks of the same kind in its rack.
package place
