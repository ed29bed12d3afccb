// Package peer is the RPC service between entry instances, over connect-go. It
// carries heartbeats, the configuration in force and the events of the time
// line. Handwritten functions convert the protobuf messages to and from the
// types of package sched.
package peer
