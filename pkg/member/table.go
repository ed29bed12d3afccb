package member

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Limits of the table.
const (
	// goneRetention is how long a gone instance stays in the table. During that
	// time a late list can't add an older incarnation of it.
	goneRetention = time.Hour
	// maxMembers bounds the table against a faulty list or faulty peers. The
	// intended scale is below 10,000 instances.
	maxMembers = 100_000
)

// Options are the parameters of a Table. They don't change after New.
type Options struct {
	// Self is this instance. It is live until MarkSelfLeaving is called or until traffic
	// or a list shows it as leaving. Its other attributes don't change.
	Self sched.Member
	// Silence is the time without a heartbeat or an answer after which an
	// instance is unreachable, if it should have been heard. 0 means
	// DefaultSilence.
	Silence time.Duration
	// Hysteresis is the time for which an instance must not be live before its
	// responsibilities move, and be live before they move back. 0 means
	// DefaultHysteresis.
	Hysteresis time.Duration
}

// Default durations of Options.
const (
	DefaultSilence    = 3 * time.Second
	DefaultHysteresis = 5 * time.Second
)

// entry is the state of one instance.
type entry struct {
	member sched.Member
	// knownSince is the time at which this incarnation became known.
	knownSince time.Time
	// heardAt is the time of the newest heartbeat or answer, missedAt that of
	// the newest failed attempt to reach the instance.
	heardAt  time.Time
	missedAt time.Time
	// listed is set if the newest list contains the instance.
	listed bool
	goneAt time.Time
	// eligible is set if the instance can hold responsibilities. It follows the
	// state live with a delay of Options.Hysteresis, which starts at
	// changingSince.
	eligible      bool
	changingSince time.Time
	// version is the newest version that a heartbeat of the instance reported.
	version sched.Offset
}

// Table is the membership as one instance knows it. It is not safe for
// concurrent use; other goroutines may use the immutable results of View.
type Table struct {
	options Options
	entries map[sched.InstanceID]*entry
	// startedAt is the time of New. Live instances that become known within
	// Options.Hysteresis after it are eligible at once.
	startedAt  time.Time
	lastListAt time.Time
	// dataCentreHeardAt is the time of the newest heartbeat from any instance
	// of a data centre.
	dataCentreHeardAt map[sched.DataCentre]time.Time
	// largestEntries is the largest number of entry instances that were not
	// gone at any one time.
	largestEntries int
	view           *View
	// dirty is set if view has to be built anew.
	dirty bool
}

// New returns a table that contains only the instance itself, as live and
// eligible.
func New(now time.Time, o Options) *Table {
	if o.Silence == 0 {
		o.Silence = DefaultSilence
	}
	if o.Hysteresis == 0 {
		o.Hysteresis = DefaultHysteresis
	}
	t := &Table{
		options: o, startedAt: now, dirty: true,
		entries: map[sched.InstanceID]*entry{}, dataCentreHeardAt: map[sched.DataCentre]time.Time{},
	}
	self := o.Self.WithState(sched.StateLive)
	t.entries[self.ID] = &entry{member: self, knownSince: now, heardAt: now, eligible: true}
	t.Tick(now)
	return t
}

// MarkSelfLeaving marks the instance itself as leaving.
func (t *Table) MarkSelfLeaving(now time.Time) {
	t.setState(now, t.entries[t.options.Self.ID], sched.StateLeaving)
}

// ApplyList updates the table with the platform's list. Only instances that are
// missing from it become gone.
func (t *Table) ApplyList(now time.Time, members []sched.Member) {
	t.lastListAt = now
	seen := make(map[sched.InstanceID]bool, len(members))
	for _, m := range members {
		seen[m.ID] = true
		e := t.entryFor(now, m)
		if e == nil || m.Incarnation < e.member.Incarnation {
			continue // the list still shows an older incarnation, or the table is full
		}
		if m.ID != t.options.Self.ID {
			t.updateAttributes(e, m)
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

// updateAttributes updates all attributes of an entry except the state from the
// list.
func (t *Table) updateAttributes(e *entry, m sched.Member) {
	m.State = e.member.State
	if e.member != m {
		e.member = m
		t.dirty = true
	}
}

// ApplyHeartbeat updates the table with a peer's heartbeat, which proves that the
// peer runs. It is ignored if it comes from an older incarnation.
func (t *Table) ApplyHeartbeat(now time.Time, h sched.Heartbeat) {
	e := t.entryFor(now, sched.Member{
		ID: h.From, Incarnation: h.Incarnation, Role: sched.RoleEntry, State: sched.StateLive,
		Region: h.Region, DataCentre: h.DataCentre, Address: h.Address,
	})
	if e == nil || h.Incarnation < e.member.Incarnation || h.From == t.options.Self.ID {
		return
	}
	e.heardAt = now
	t.dataCentreHeardAt[h.DataCentre] = now
	e.version = max(e.version, h.Version)
	if h.State == sched.StateLeaving {
		t.setState(now, e, sched.StateLeaving)
	}
	t.updateState(now, e)
}

// RecordAnswer records that incarnation n of an instance has answered.
func (t *Table) RecordAnswer(now time.Time, id sched.InstanceID, n sched.Incarnation) {
	if e := t.entries[id]; e != nil && e.member.Incarnation == n {
		e.heardAt = now
		t.updateState(now, e)
	}
}

// RecordFailedContact records that incarnation n of an instance could not be reached. The
// instance becomes unreachable if nothing is heard of it for Options.Silence.
func (t *Table) RecordFailedContact(now time.Time, id sched.InstanceID, n sched.Incarnation) {
	if e := t.entries[id]; e != nil && e.member.Incarnation == n {
		e.missedAt = now
		t.updateState(now, e)
	}
}

// MarkLeaving records that incarnation n of an instance has announced in an answer
// that it takes no new work.
func (t *Table) MarkLeaving(now time.Time, id sched.InstanceID, n sched.Incarnation) {
	if e := t.entries[id]; e != nil && e.member.Incarnation == n {
		t.setState(now, e, sched.StateLeaving)
	}
}

// entryFor returns the entry of an instance. It creates the entry of a new
// instance and replaces that of an older incarnation. It returns nil if the
// table is full.
func (t *Table) entryFor(now time.Time, m sched.Member) *entry {
	e := t.entries[m.ID]
	if e != nil && m.Incarnation <= e.member.Incarnation {
		return e
	}
	if e != nil && m.ID == t.options.Self.ID {
		return e // this process itself decides on its incarnation
	}
	if e == nil && len(t.entries) >= maxMembers {
		return nil
	}
	state := m.State
	if state != sched.StateLeaving {
		state = sched.StateLive
	}
	fresh := &entry{member: m.WithState(state), knownSince: now}
	// Shortly after the start this instance knows no earlier holders from which
	// responsibilities could move, so there is no delay.
	fresh.eligible = now.Sub(t.startedAt) < t.options.Hysteresis && state == sched.StateLive
	if e != nil && m.Address == "" {
		fresh.member.Address = e.member.Address
	}
	t.entries[m.ID] = fresh
	t.dirty = true
	return fresh
}

// setState changes the state of an entry. A leaving instance doesn't become live.
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
		e.eligible = false // the state is definite, so no hysteresis is needed
		e.changingSince = time.Time{}
	}
}

// Tick updates the states for the given time and removes instances that have
// been gone for goneRetention. It returns true if members or candidates have
// changed since the last call of View.
func (t *Table) Tick(now time.Time) bool {
	entries := 0
	for id, e := range t.entries {
		t.updateState(now, e)
		if e.member.State == sched.StateGone && now.Sub(e.goneAt) > goneRetention {
			delete(t.entries, id)
			continue
		}
		if e.member.Role == sched.RoleEntry && e.member.State != sched.StateGone {
			entries++
		}
	}
	t.largestEntries = max(t.largestEntries, entries)
	return t.dirty
}

// expectsHeartbeats reports whether the instance of e sends heartbeats to this
// one regularly.
func (t *Table) expectsHeartbeats(e *entry) bool {
	return e.member.Role == sched.RoleEntry && e.member.DataCentre == t.options.Self.DataCentre
}

// contactFailed reports whether an attempt to reach the instance has failed
// since last, the time of the last contact. Entry instances of other data
// centres are contacted rarely. If any instance of the data centre has been
// heard since the failed attempt, the network path works and the attempt
// doesn't count; the list then shows whether the instance runs.
func (t *Table) contactFailed(e *entry, last time.Time) bool {
	if e.member.Role == sched.RoleEntry && t.dataCentreHeardAt[e.member.DataCentre].After(e.missedAt) {
		return false
	}
	return e.missedAt.After(last)
}

// updateState derives the state and the eligibility of an entry from the list
// and the contacts.
func (t *Table) updateState(now time.Time, e *entry) {
	if e.member.ID == t.options.Self.ID {
		return
	}
	last := e.heardAt
	if last.Before(e.knownSince) {
		last = e.knownSince // a new instance has Options.Silence to be heard
	}
	silent := now.Sub(last) > t.options.Silence && (t.expectsHeartbeats(e) || t.contactFailed(e, last))
	heard := !e.heardAt.IsZero() && now.Sub(e.heardAt) <= t.options.Silence
	// An instance that is too new for the lagging list is missing from it but
	// heard; one that has ended is missing and silent.
	dropped := !e.listed && !heard && t.lastListAt.After(last.Add(t.options.Silence))
	switch {
	case dropped:
		t.setState(now, e, sched.StateGone)
	case e.member.State == sched.StateLeaving:
	case silent:
		t.setState(now, e, sched.StateUnreachable)
	default:
		t.setState(now, e, sched.StateLive)
	}
	t.updateEligibility(now, e)
}

// updateEligibility changes eligible once the state has differed from it for
// the hysteresis time.
func (t *Table) updateEligibility(now time.Time, e *entry) {
	want := e.member.State == sched.StateLive
	if e.eligible == want {
		e.changingSince = time.Time{}
		return
	}
	if e.changingSince.IsZero() {
		e.changingSince = now
	}
	if now.Sub(e.changingSince) >= t.options.Hysteresis {
		e.eligible = want
		e.changingSince = time.Time{}
		t.dirty = true
	}
}
