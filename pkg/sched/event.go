package sched

import "time"

// Stamp is the time of a hybrid logical clock.
type Stamp struct {
	// Wall is in nanoseconds since the Unix epoch.
	Wall int64
	// Logical orders events of the same Wall.
	Logical uint32
}

// Before tells whether s orders before o.
func (s Stamp) Before(o Stamp) bool {
	if s.Wall != o.Wall {
		return s.Wall < o.Wall
	}
	return s.Logical < o.Logical
}

// EventKind is what happened, such as "placed" or "versionInForce".
type EventKind string

// Event is one entry of the time line.
type Event struct {
	Stamp    Stamp
	Instance InstanceID
	Kind     EventKind
	Request  string
	Task     TaskID
	Version  Offset
	Detail   string
}

// Filter selects events. Empty fields select all.
type Filter struct {
	Instance InstanceID
	Request  string
	Task     TaskID
	Since    time.Time
	Limit    int
}
