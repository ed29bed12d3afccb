// Package event keeps the time line of one process in a bounded ring buffer,
// and merges the time lines of several processes into one order.
package event
