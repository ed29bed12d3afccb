// Package lease keeps track of the leases that a planner grants to workers, and
// determines when an attempt can no longer be alive.
//
// The guarantee rests on three rules. A planner sends only if its last read of the
// log, successful or failed, began less than half a lease ago. While the log
// answers, no lease ends later than one lease after the start of the last
// successful read, so that a command that is delayed by a pause is void when it
// arrives. An attempt on an unreachable worker is dead once the planner's own
// latest deadline has passed on every clock and every earlier term ended at least
// a lease and the clock error bound ago.
package lease
