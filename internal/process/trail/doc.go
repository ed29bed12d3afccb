// Package trail merges the structured logs of many processes into one timeline and
// selects the lines about one job, worker or instance.
package trail
