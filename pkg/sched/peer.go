package sched

import (
	"context"
	"time"
)

// TeamDemand is what one instance saw of a team in the last interval, in
// requests per second.
type TeamDemand struct {
	Team     string
	Offered  float64
	Admitted float64
}

// PartnerTotal is the number of requests that an incarnation answered for a
// partner since its start.
type PartnerTotal struct {
	Partner string
	Service string
	Answers int64
}

// Heartbeat is what instances tell each other.
type Heartbeat struct {
	From        InstanceID
	Incarnation Incarnation
	DataCentre  DataCentre
	Region      Region
	Address     string
	State       State
	SentAt      time.Time
	// Version is the configuration version in force at the sender.
	Version Offset
	// TaskApplied is the offset in the task stream of the sender's data
	// centre up to which the sender has read.
	TaskApplied Offset
	// TermSeen is the newest planner term that the sender has read. A sender
	// that reports it has stopped to act under any older term.
	TermSeen Offset
	// LogReached is the time of the sender's last successful read of the log.
	LogReached time.Time
	Demand     []TeamDemand
	Totals     []PartnerTotal
}

// ConfigCopy is a configuration version with its full text, as passed between
// peers.
type ConfigCopy struct {
	Version  Offset
	Document []byte
	// AsOf is the offset in the config stream up to which the sender has
	// read.
	AsOf Offset
}

// Peers reaches the other entry instances.
type Peers interface {
	// Exchange sends a heartbeat and returns the peer's own.
	Exchange(c context.Context, address string, h Heartbeat) (Heartbeat, error)
	// FetchConfig returns the peer's configuration in force.
	FetchConfig(c context.Context, address string) (ConfigCopy, error)
	// Events returns the peer's part of the time line.
	Events(c context.Context, address string, f Filter) ([]Event, error)
}
