// Package watch decides when an instance takes over the planning of a cell from
// a planner that has failed. An unnecessary takeover breaks nothing, since the
// store accepts writes of the newest planner only, but it interrupts the
// planning of the cell.
package watch
