package sched

import (
	"context"
	"time"
)

// TeamDemand is the rate of a team's requests at one instance in the last
// interval, in requests per second: those that arrived (Offered) and those that
// passed admission control (Admitted).
type TeamDemand struct {
	Team     string
	Offered  float64
	Admitted float64
}

// AreaDemand is the summed demand at all entry instances of one data centre. Any
// instance may forward it.
type AreaDemand struct {
	DataCentre DataCentre
	// Instances is the number of entry instances that the sum includes.
	Instances int
	// AsOf is the time at which an instance of that data centre computed the
	// sum.
	AsOf time.Time
	// Partial is set if an instance of that data centre receives no heartbeats
	// from some other entry instance.
	Partial bool
	// Demand holds only the teams whose demand has changed.
	Demand []TeamDemand
}

// ConfigStep is one accepted change of the configuration.
type ConfigStep struct {
	Base    Offset
	Version Offset
	// Changes is a merge patch. Hash is the hash of the resulting document.
	Changes []byte
	Hash    [32]byte
}

// ConfigNews is an incremental update of the configuration for a peer that can't
// read the log. It starts at the version in force at that peer.
type ConfigNews struct {
	// AsOf is the offset up to which the sender has read the config stream.
	AsOf Offset
	// Steps holds consecutive changes. The update may end before the sender's
	// version; later heartbeats then carry the rest.
	Steps []ConfigStep
}

// PartnerTotal is the number of requests to a service that an instance has
// answered for a partner since its start.
type PartnerTotal struct {
	Partner string
	Service string
	Answers int64
}

// Heartbeat is the message that entry instances exchange at regular intervals.
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
	// TaskApplied is the offset up to which the sender has read the task stream
	// of its data centre.
	TaskApplied Offset
	// TermSeen is the newest planner term that the sender has read. The sender
	// no longer acts under any older term.
	TermSeen Offset
	// LogReached is the time of the sender's last successful read of the log.
	LogReached time.Time
	// Demand holds the teams whose demand at the sender has changed.
	Demand []TeamDemand
	// Areas holds the demand of data centres.
	Areas []AreaDemand
	// Unheard is set if the sender has received no recent heartbeat from the
	// receiver or, if the receiver is in another data centre, no recent demand
	// of that data centre. The connection then works in one direction only.
	Unheard bool
	// Partial is set if the sender hears of fewer entry instances than there
	// are, either directly or through the demand of their data centre.
	Partial bool
	// Config is set only for receivers whose own LogReached is old.
	Config ConfigNews
	Totals []PartnerTotal
}

// ConfigCopy is a full copy of a configuration version, sent from one peer to
// another.
type ConfigCopy struct {
	Version  Offset
	Document []byte
	// AsOf is the offset up to which the sender has read the config stream.
	AsOf Offset
}

// PeerClient is the client of the other entry instances.
type PeerClient interface {
	// Exchange sends a heartbeat and returns the peer's heartbeat.
	Exchange(c context.Context, address string, h Heartbeat) (Heartbeat, error)
	// FetchConfig returns the peer's configuration in force.
	FetchConfig(c context.Context, address string) (ConfigCopy, error)
	// Events returns the events in the peer's event log that match the filter.
	Events(c context.Context, address string, f Filter) ([]Event, error)
}
