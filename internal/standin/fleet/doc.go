// Package fleet builds a whole platform of stand-ins from a description: the
// log, the list, workers and backend servers, in memory or on loopback ports.
// Tests, the demo, the soak and the standin process use it.
//
// On loopback every data centre has its own listener for log, list and
// workers, so that it can be cut off from the platform. One more listener
// serves the admin endpoint, which switches faults and prints what the
// observers counted.
package fleet
