// Package gate lets the goroutines of requests wait for the decisions of
// package admit.
package gate
