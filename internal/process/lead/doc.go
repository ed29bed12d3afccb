// Package lead runs the planner of one cell for one term: it appends the
// planner's records to the store, sends its orders to workers, answers calls
// about jobs, and ends when another instance has begun a later term.
package lead
