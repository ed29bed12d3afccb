package sched

import "time"

// Stamp is a timestamp of a hybrid logical clock.
type Stamp struct {
	// Wall is in nanoseconds since the Unix epoch.
	Wall int64
	// Logical orders stamps with the same Wall.
	Logical uint32
}

// Before reports whether s is earlier than o.
func (s Stamp) Before(o Stamp) bool {
	if s.Wall != o.Wall {
		return s.Wall < o.Wall
	}
	return s.Logical < o.Logical
}

// EventKind is the type of an event, such as "placed" or "versionInForce".
type EventKind string

// Event is one event in an instance's event log. Fields that don't apply to the
// kind are empty.
type Event struct {
	Stamp    Stamp
	Instance InstanceID
	Kind     EventKind
	Request  string
	Task     TaskID
	Version  Offset
	Detail   string
}

// Filter selects events. A field with its zero value doesn't restrict the
// selection.
type Filter struct {
	Instance InstanceID
	Request  string
	Task     TaskID
	Since    time.Time
	Limit    int
}
