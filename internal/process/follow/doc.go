// Package follow tails one stream of the platform's log and hands its records
// over in order.
package follow
