// Package peer is the service between entry instances over connect-go:
// heartbeats, the configuration in force and the time line. Messages are
// mapped to the types of package sched by hand.
package peer
