package sched

import "context"

// InstanceID names an instance: an entry instance, a worker or a backend
// server.
type InstanceID string

// DataCentre names a data centre.
type DataCentre string

// Region names a region.
type Region string

// Incarnation tells two runs of a process under the same InstanceID apart. It
// rises with every start.
type Incarnation uint64

// Role is what an instance does.
type Role int

// Roles of instances.
const (
	RoleEntry Role = iota + 1
	RoleWorker
	RoleBackend
)

// State is the state of an instance as one source sees it.
type State int

// States of instances. StateUnreachable is a local observation and proves
// nothing about what the instance still runs.
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
	// Address is host:port by IP number.
	Address string
	// Service, Slots and Connections are set for backend servers.
	Service     string
	Slots       int
	Connections int
	// Host is the worker that a backend server runs on.
	Host InstanceID
	// Capacity is set for workers.
	Capacity Resources
}

// WithState returns a copy with the given state.
func (m Member) WithState(s State) Member {
	m.State = s
	return m
}

// Roster is the platform's lagging list of live and leaving instances.
type Roster interface {
	// Members returns the list as the platform shows it now, or
	// ErrUnavailable.
	Members(c context.Context) ([]Member, error)
}
