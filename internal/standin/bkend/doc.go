// Package bkend simulates the backend servers of a service for tests: net/http
// servers with a number of slots, a limit on connections, service times drawn
// from a seeded source, and injected faults.
//
// Observer counts the runs per request id at the servers themselves,
// independent of what entry instances report.
package bkend
