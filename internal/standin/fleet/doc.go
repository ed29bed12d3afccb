// Package fleet builds a simulated platform from a Setup: the
// log, the list, workers and backend servers, in memory or on loopback ports.
// Tests, the demo, the soak and the standin process use it.
//
// On loopback every data centre has its own listener for log, list and
// workers, so that it can be cut off from the platform. One more listener
// serves the admin endpoint, which configures faults and returns the totals
// of the observers.
package fleet
