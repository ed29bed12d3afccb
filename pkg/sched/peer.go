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

// AreaDemand is the demand of all entry instances of one data centre together,
// as passed on by any instance.
type AreaDemand struct {
	DataCentre DataCentre
	// Instances is the number of entry instances that the demand covers.
	Instances int
	// AsOf is the time at which an instance of that data centre summed it up.
	AsOf time.Time
	// Partial is set if an instance there doesn't hear every other one.
	Partial bool
	// Demand holds the teams whose demand changed; it doesn't list the others.
	Demand []TeamDemand
}

// ConfigStep is one accepted change of the configuration.
type ConfigStep struct {
	Base    Offset
	Version Offset
	// Changes is a merge patch, Hash that of the resulting document.
	Changes []byte
	Hash    [32]byte
}

// ConfigNews brings a peer that can't read the log from its version to that of
// the sender.
type ConfigNews struct {
	// AsOf is the offset up to which the sender has read the config stream.
	AsOf  Offset
	Steps []ConfigStep
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
	// Demand holds the teams whose demand at the sender changed.
	Demand []TeamDemand
	Areas  []AreaDemand
	// Unheard is set if the sender has not heard the receiver's data centre, or
	// inside the data centre the receiver, for a while: the way back is cut.
	Unheard bool
	// Partial is set if the sender doesn't hear every entry instance, directly
	// or through its data centre.
	Partial bool
	// Config is set for receivers whose LogReached is old.
	Config ConfigNews
	Totals []PartnerTotal
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
