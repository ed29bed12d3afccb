// Package bkend stands in for the backend servers of a service: net/http
// servers with slots, a bound on connections, seeded service times and faults.
//
// Observer counts the runs per request id at the servers themselves,
// independent of what entry instances report.
package bkend
