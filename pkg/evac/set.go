package evac

import (
	"maps"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// knownMargin is taken off the time within which an evacuation must be in force. It
	// covers a start order between its last check and its arrival at the worker: the longest
	// timeout of an order is 900 ms.
	knownMargin = time.Second
	// minHoldAge is the least age of the newest read from which on starts are held. In normal
	// operation the age reaches 0.9 s.
	minHoldAge = 2 * time.Second
	// maxHold is the longest time for which starts are held while the records can't be read
	// and none has named a data centre yet. A store that is down holds starts by itself, so a
	// longer hold would only cost where appends succeed and reads don't.
	maxHold = 4 * time.Second
)

// Set holds which data centres are being evacuated, as of a read of the operator's records.
// A Set isn't changed: each read gives a new one. The nil Set is that before the first read.
type Set struct {
	marks map[sched.DataCentre]Mark
	// end is the offset up to which all records are known.
	end sched.Offset
	// readAt is when the newest successful read was sent.
	readAt time.Time
}

// Mark is the newest that is known of the evacuation of a data centre.
type Mark struct {
	InForce bool
	// Offset is that of the record. If the evacuation was withdrawn by a record that wasn't
	// read, it is the last offset before the end of the read that showed it.
	Offset sched.Offset
	// ReadAt is when the record was received.
	ReadAt time.Time
}

// WithFullRead returns the set after a read of the newest records of all keys, as of the
// offset end. Data centres without a record aren't evacuated any more. The read was sent and
// received at the given times. A read that is older than what is known changes nothing.
func (s *Set) WithFullRead(sent, received time.Time, records []sched.Evacuation, end sched.Offset) *Set {
	if s != nil && end < s.end {
		return s
	}
	n := &Set{marks: map[sched.DataCentre]Mark{}, end: end, readAt: sent}
	listed := map[sched.DataCentre]bool{}
	for _, e := range records {
		listed[e.DataCentre] = true
	}
	if s != nil {
		n.readAt = latest(sent, s.readAt)
		for d, m := range s.marks {
			switch {
			case listed[d]:
				n.marks[d] = m
			case m.InForce:
				n.marks[d] = Mark{Offset: end - 1, ReadAt: received}
			}
		}
	}
	for _, e := range records {
		n.apply(e, received)
	}
	return n
}

// WithAppended returns the set after a read of the records up to the offset end. The read
// was sent and received at the given times. Records that were known before change nothing.
func (s *Set) WithAppended(sent, received time.Time, records []sched.Evacuation, end sched.Offset) *Set {
	if s == nil {
		return nil // earlier records aren't known
	}
	n := &Set{marks: s.marks, end: max(s.end, end), readAt: latest(sent, s.readAt)}
	if len(records) == 0 {
		return n
	}
	n.marks = maps.Clone(s.marks)
	for _, e := range records {
		if e.Offset >= s.end {
			n.apply(e, received)
		}
	}
	return n
}

// apply takes a record unless a newer one of the data centre is known.
func (s *Set) apply(e sched.Evacuation, received time.Time) {
	m, known := s.marks[e.DataCentre]
	if known && m.Offset >= e.Offset {
		return
	}
	s.marks[e.DataCentre] = Mark{e.InForce, e.Offset, received}
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// Covers reports whether a data centre is being evacuated.
func (s *Set) Covers(d sched.DataCentre) bool { return s != nil && s.marks[d].InForce }

// DataCentres returns the data centres that are being evacuated, in order of name.
func (s *Set) DataCentres() []sched.DataCentre {
	var out []sched.DataCentre
	if s != nil {
		for d, m := range s.marks {
			if m.InForce {
				out = append(out, d)
			}
		}
	}
	slices.Sort(out)
	return out
}

// Marks returns what is known of each data centre that a record has named. The map must not
// be changed.
func (s *Set) Marks() map[sched.DataCentre]Mark {
	if s == nil {
		return nil
	}
	return s.marks
}

// Age returns the time since the newest successful read was sent. It must not be called
// before the first one.
func (s *Set) Age(now time.Time) time.Duration { return now.Sub(s.readAt) }

// Held reports whether starts must wait for a read, since an evacuation that must be in
// force within limit may not be known yet: before the first read, and while the newest is
// too old. Where no record has named a data centre, starts are held for maxHold at most.
func (s *Set) Held(now time.Time, limit time.Duration) bool {
	if s == nil {
		return true
	}
	over := s.Age(now) - max(minHoldAge, limit-knownMargin)
	return over >= 0 && (len(s.marks) > 0 || over < maxHold)
}
