// Package event keeps the events of one process in a bounded ring buffer, and
// merges the events of several processes into one order.
package event
