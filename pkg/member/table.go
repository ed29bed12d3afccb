package member

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Bounds of the table.
const (
	// goneFor is how long a gone instance is remembered, so that a list that is
	// late doesn't bring it back.
	goneFor = time.Hour
	// maxMembers bounds the table against a list or peers that run wild. The
	// target scale is below 10,000 instances.
	maxMembers = 100_000
)

// Options are set once.
type Options struct {
	// Self is this instance; its incarnation and state are its own.
	Self sched.Member
	// Silence is the time after which an instance that should be heard counts
	// as unreachable.
	Silence time.Duration
	// Hysteresis is the time for which an instance must be silent before its
	// responsibilities move, and heard before they move back.
	Hysteresis time.Duration
}

// Defaults of Options.
const (
	DefaultSilence    = 3 * time.Second
	DefaultHysteresis = 5 * time.Second
)

// entry is what is known of one instance.
type entry struct {
	member sched.Member
	// since is the time at which this incarnation became known.
	since time.Time
	// heardAt is the newest proof of life, missedAt the newest failed attempt
	// to reach the instance.
	heardAt  time.Time
	missedAt time.Time
	listed   bool
	goneAt   time.Time
	// steady tells whether the instance can hold responsibilities. It changes
	// after changingSince has been set for the hysteresis time.
	steady        bool
	changingSince time.Time
	// news of the newest heartbeat.
	version sched.Offset
}

// Table is the membership as one instance knows it. It is not safe for
// concurrent use; View returns what other goroutines may read.
type Table struct {
	options Options
	entries map[sched.InstanceID]*entry
	// settled ends the start: instances that are known by then count as steady
	// at once.
	startedAt time.Time
	listAt    time.Time
	// heardOf is the newest contact with any instance of a data centre.
	heardOf map[sched.DataCentre]time.Time
	largest int
	view    *View
	dirty   bool
}

// New returns a table that knows only the instance itself.
func New(now time.Time, o Options) *Table {
	if o.Silence == 0 {
		o.Silence = DefaultSilence
	}
	if o.Hysteresis == 0 {
		o.Hysteresis = DefaultHysteresis
	}
	t := &Table{options: o, entries: map[sched.InstanceID]*entry{}, heardOf: map[sched.DataCentre]time.Time{}, startedAt: now, dirty: true}
	self := o.Self.WithState(sched.StateLive)
	t.entries[self.ID] = &entry{member: self, since: now, heardAt: now, steady: true}
	t.Tick(now)
	return t
}

// Leave marks the instance itself as leaving.
func (t *Table) Leave(now time.Time) {
	t.setState(now, t.entries[t.options.Self.ID], sched.StateLeaving)
}

// List takes the platform's list. It is the only source of gone instances.
func (t *Table) List(now time.Time, members []sched.Member) {
	t.listAt = now
	seen := make(map[sched.InstanceID]bool, len(members))
	for _, m := range members {
		seen[m.ID] = true
		e := t.get(now, m)
		if e == nil || m.Incarnation < e.member.Incarnation {
			continue // the list is late
		}
		if m.ID != t.options.Self.ID {
			t.describe(e, m)
		}
		e.listed = true
		if m.State == sched.StateLeaving {
			t.setState(now, e, sched.StateLeaving)
		}
	}
	for id, e := range t.entries {
		if !seen[id] {
			e.listed = false
		}
	}
	t.Tick(now)
}

// describe takes over what the list says besides the state.
func (t *Table) describe(e *entry, m sched.Member) {
	m.State = e.member.State
	if e.member != m {
		e.member = m
		t.dirty = true
	}
}

// Heartbeat takes a peer's heartbeat, which proves that it runs.
func (t *Table) Heartbeat(now time.Time, h sched.Heartbeat) {
	e := t.get(now, sched.Member{
		ID: h.From, Incarnation: h.Incarnation, Role: sched.RoleEntry, State: sched.StateLive,
		Region: h.Region, DataCentre: h.DataCentre, Address: h.Address,
	})
	if e == nil || h.Incarnation < e.member.Incarnation || h.From == t.options.Self.ID {
		return
	}
	e.heardAt = now
	t.heardOf[h.DataCentre] = now
	e.version = max(e.version, h.Version)
	if h.State == sched.StateLeaving {
		t.setState(now, e, sched.StateLeaving)
	}
	t.refresh(now, e)
}

// Heard records that an instance has answered.
func (t *Table) Heard(now time.Time, id sched.InstanceID, n sched.Incarnation) {
	if e := t.entries[id]; e != nil && e.member.Incarnation == n {
		e.heardAt = now
		t.refresh(now, e)
	}
}

// Missed records that an instance could not be reached. It turns unreachable
// if it stays silent.
func (t *Table) Missed(now time.Time, id sched.InstanceID, n sched.Incarnation) {
	if e := t.entries[id]; e != nil && e.member.Incarnation == n {
		e.missedAt = now
		t.refresh(now, e)
	}
}

// Leaving records that traffic showed an instance to take no new work.
func (t *Table) Leaving(now time.Time, id sched.InstanceID, n sched.Incarnation) {
	if e := t.entries[id]; e != nil && e.member.Incarnation == n {
		t.setState(now, e, sched.StateLeaving)
	}
}

// get returns the entry of an instance and makes one for a new instance or a
// newer incarnation. It returns nil if the table is full.
func (t *Table) get(now time.Time, m sched.Member) *entry {
	e := t.entries[m.ID]
	if e != nil && m.Incarnation <= e.member.Incarnation {
		return e
	}
	if e != nil && m.ID == t.options.Self.ID {
		return e // only a start of this process makes a newer incarnation
	}
	if e == nil && len(t.entries) >= maxMembers {
		return nil
	}
	state := m.State
	if state != sched.StateLeaving {
		state = sched.StateLive
	}
	fresh := &entry{member: m.WithState(state), since: now}
	// At the start there is nothing that could move.
	fresh.steady = now.Sub(t.startedAt) < t.options.Hysteresis && state == sched.StateLive
	if e != nil && m.Address == "" {
		fresh.member.Address = e.member.Address
	}
	t.entries[m.ID] = fresh
	t.dirty = true
	return fresh
}

func (t *Table) setState(now time.Time, e *entry, s sched.State) {
	if e.member.State == s || e.member.State == sched.StateLeaving && s == sched.StateLive {
		return
	}
	e.member.State = s
	t.dirty = true
	if s == sched.StateGone {
		e.goneAt = now
	}
	if s == sched.StateLeaving || s == sched.StateGone {
		e.steady = false // announced, so nothing is gained by waiting
		e.changingSince = time.Time{}
	}
}

// Tick moves the states on with the time. It returns true if the view changed.
func (t *Table) Tick(now time.Time) bool {
	entries := 0
	for id, e := range t.entries {
		t.refresh(now, e)
		if e.member.State == sched.StateGone && now.Sub(e.goneAt) > goneFor {
			delete(t.entries, id)
			continue
		}
		if e.member.Role == sched.RoleEntry && e.member.State != sched.StateGone {
			entries++
		}
	}
	t.largest = max(t.largest, entries)
	return t.dirty
}

// expected tells whether the instance sends this one heartbeats.
func (t *Table) expected(e *entry) bool {
	return e.member.Role == sched.RoleEntry && e.member.DataCentre == t.options.Self.DataCentre
}

// missed tells whether the last contact with the instance failed. An entry
// instance outside is contacted rarely; if others of its data centre have been
// heard since, the way there is open, and the list tells whether it runs.
func (t *Table) missed(e *entry, last time.Time) bool {
	if e.member.Role == sched.RoleEntry && t.heardOf[e.member.DataCentre].After(e.missedAt) {
		return false
	}
	return e.missedAt.After(last)
}

// refresh derives state and steadiness of one entry.
func (t *Table) refresh(now time.Time, e *entry) {
	if e.member.ID == t.options.Self.ID {
		return
	}
	last := e.heardAt
	if last.Before(e.since) {
		last = e.since // a new instance gets the time to be heard
	}
	silent := now.Sub(last) > t.options.Silence && (t.expected(e) || t.missed(e, last))
	heard := !e.heardAt.IsZero() && now.Sub(e.heardAt) <= t.options.Silence
	// An instance that is too new for the list is heard; one that the list has
	// dropped is not.
	dropped := !e.listed && !heard && t.listAt.After(last.Add(t.options.Silence))
	switch {
	case dropped:
		t.setState(now, e, sched.StateGone)
	case e.member.State == sched.StateLeaving:
	case silent:
		t.setState(now, e, sched.StateUnreachable)
	default:
		t.setState(now, e, sched.StateLive)
	}
	t.settle(now, e)
}

// settle lets the steadiness follow the state after the hysteresis time.
func (t *Table) settle(now time.Time, e *entry) {
	want := e.member.State == sched.StateLive
	if e.steady == want {
		e.changingSince = time.Time{}
		return
	}
	if e.changingSince.IsZero() {
		e.changingSince = now
	}
	if now.Sub(e.changingSince) >= t.options.Hysteresis {
		e.steady = want
		e.changingSince = time.Time{}
		t.dirty = true
	}
}
