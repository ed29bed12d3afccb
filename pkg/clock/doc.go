// Package clock implements sched.Clock: System reads the machine's clock, and
// Manual is moved by hand in tests and simulations.
package clock
