// Package lease keeps a planner's account of the leases that it grants to
// workers, and tells when an attempt can no longer be alive.
//
// Three rules carry the guarantee. A planner sends only while it has heard
// from the log, or from the failure of a read, less than half a lease ago.
// While the log answers, no lease ends later than one lease after the start
// of the last successful read, so that a command that a pause delays is void
// when it arrives. An attempt on an unreachable worker is dead once the
// planner's own latest deadline has passed on every clock and every earlier
// term ended at least a lease and the clock error bound ago.
package lease
