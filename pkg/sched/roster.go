package sched

import "context"

// InstanceID identifies an instance: an entry instance, a worker or a backend
// server.
type InstanceID string

// DataCentre is the name of a data centre.
type DataCentre string

// Region is the name of a region, which consists of data centres.
type Region string

// Incarnation distinguishes the starts of a process under the same InstanceID.
// It rises with every start.
type Incarnation uint64

// Role is the function of an instance.
type Role int

// Roles of instances.
const (
	RoleEntry Role = iota + 1
	RoleWorker
	RoleBackend
)

// State is the state of an instance according to one source, such as the
// platform's list or a peer.
type State int

// States of instances. StateUnreachable is a local observation: the instance
// may still be running and doing work.
const (
	StateLive State = iota + 1
	StateLeaving
	StateUnreachable
	StateGone
)

// Member is one entry of the list of instances.
type Member struct {
	ID          InstanceID
	Incarnation Incarnation
	Role        Role
	State       State
	Region      Region
	DataCentre  DataCentre
	Rack        string
	// Address has the form host:port, with an IP address as the host.
	Address string
	// Service, Slots and Connections are set for backend servers.
	Service     string
	Slots       int
	Connections int
	// Host is the worker on which a backend server runs.
	Host InstanceID
	// Capacity is set for workers.
	Capacity Resources
}

// WithState returns a copy of the member with the given state.
func (m Member) WithState(s State) Member {
	m.State = s
	return m
}

// Roster is the platform's list of live and leaving instances. The list lags
// behind the actual state.
type Roster interface {
	// Members returns the current list, or ErrUnavailable if the platform can't
	// be reached.
	Members(c context.Context) ([]Member, error)
}
