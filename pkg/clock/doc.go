// Package clock implements sched.Clock. System reads the machine's clock,
// Steady is unaffected by steps of the time of day, and Manual is advanced by
// tests and simulations.
package clock
