package lease

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Limits are the durations that the lease rules depend on. They must be the same
// on all instances of a data centre.
type Limits struct {
	// Lease is the duration of a lease.
	Lease time.Duration
	// ClockBound is the largest difference between two clocks.
	ClockBound time.Duration
	// Isolation is the time without contact to the log, the list and any peer
	// after which an instance stops renewing leases.
	Isolation time.Duration
}

// Contact holds the times at which an instance last had contact with the list and
// with its peers.
type Contact struct {
	// List and Peer are the times of the last successful read of the list of
	// instances and of the last message of a peer in the data centre.
	List time.Time
	Peer time.Time
	// Alone is set if the instance was the only one in its data centre when it
	// last reached the list.
	Alone bool
}

// Tracker holds the leases granted by one planner. All times are those of the
// planner's clock. It is not safe for concurrent use.
type Tracker struct {
	limits Limits

	lastReadStart    time.Time // start of the last successful read of the log to its end
	lastFailureStart time.Time // start of the last failed read, or time at which one took too long
	contact          Contact
	// isolated is set when the instance becomes isolated. The others may have
	// treated it as gone since, which only a read of the log can show.
	isolated bool

	term sched.Offset
	// earlierTerms holds the terms before the own one that have not ended.
	earlierTerms map[sched.Offset]bool
	// earlierEndedAt is the time at which the own term began or, if later, the
	// time at which the last end of an earlier term was recorded.
	earlierEndedAt time.Time
	// latestDeadlines holds the latest deadline sent under the own term, per
	// worker.
	latestDeadlines map[sched.InstanceID]time.Time
}

// New returns a book without a term.
func New(l Limits) *Tracker {
	return &Tracker{limits: l, earlierTerms: map[sched.Offset]bool{}, latestDeadlines: map[sched.InstanceID]time.Time{}}
}

// SetLimits changes the durations. Calls with a longer lease or clock bound may
// still be in flight, so within a term these two are never shortened.
func (b *Tracker) SetLimits(l Limits) {
	if b.term != 0 {
		l.Lease = max(l.Lease, b.limits.Lease)
		l.ClockBound = max(l.ClockBound, b.limits.ClockBound)
	}
	b.limits = l
}

// BeginTerm starts the own term. The argument open holds the terms that have not ended
// as read from the log; those before the own one count as earlier terms.
func (b *Tracker) BeginTerm(term sched.Offset, open []sched.TermStatus, now time.Time) {
	b.term = term
	b.earlierEndedAt = now
	clear(b.earlierTerms)
	for _, t := range open {
		if t.Term < term {
			b.earlierTerms[t.Term] = true
		}
	}
	clear(b.latestDeadlines)
}

// EndTerm gives up the own term.
func (b *Tracker) EndTerm() { b.term = 0 }

// Term returns the own term, or 0 if there is none.
func (b *Tracker) Term() sched.Offset { return b.term }

// Earlier reports whether an earlier term may still be in use.
func (b *Tracker) Earlier() bool { return len(b.earlierTerms) > 0 }

// EarlierTermEnded records that nothing is sent under an earlier term from now on.
func (b *Tracker) EarlierTermEnded(term sched.Offset, now time.Time) {
	if b.earlierTerms[term] {
		delete(b.earlierTerms, term)
		b.earlierEndedAt = now
	}
}

// LogRead records a successful read of the log that began at the given time and
// reached the end of the stream.
func (b *Tracker) LogRead(began time.Time) {
	if began.After(b.lastReadStart) {
		b.lastReadStart = began
		b.isolated = false
	}
}

// LogFailed records a failed read of the log that began at the given time, or one
// that has been outstanding for too long at that time.
func (b *Tracker) LogFailed(began time.Time) {
	if began.After(b.lastFailureStart) {
		b.lastFailureStart = began
	}
}

// RecordContact records the contact with others as known at the given time.
func (b *Tracker) RecordContact(c Contact, now time.Time) {
	b.Isolated(now)
	b.contact = c
}

// LogAvailable reports whether the last read of the log succeeded.
func (b *Tracker) LogAvailable() bool {
	return !b.lastReadStart.IsZero() && !b.lastReadStart.Before(b.lastFailureStart)
}

// Stale reports whether the planner has to read the log before it acts: the last
// read, successful or failed, began half a lease ago or earlier. This is also the
// case after a pause of the process.
func (b *Tracker) Stale(now time.Time) bool {
	last := b.lastReadStart
	if b.lastFailureStart.After(last) {
		last = b.lastFailureStart
	}
	return now.Sub(last) >= b.limits.Lease/2
}

// lastContactAt returns the latest time of contact with the log, the list or a
// peer.
func (b *Tracker) lastContactAt() time.Time {
	last := b.lastReadStart
	for _, t := range []time.Time{b.contact.List, b.contact.Peer} {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// Isolated reports whether the instance has had no contact for the isolation
// limit, so that the others may treat it as gone. It stays isolated until it has
// read the log. An instance that is alone in its data centre does not become
// isolated.
func (b *Tracker) Isolated(now time.Time) bool {
	if !b.contact.Alone && now.Sub(b.lastContactAt()) >= b.limits.Isolation {
		b.isolated = true
	}
	return b.isolated
}

// NotAfter returns the deadline for a call that is made now, and false if no
// call may be made: there is no term, the log has to be read first, or the
// instance is isolated.
func (b *Tracker) NotAfter(now time.Time) (time.Time, bool) {
	if b.term == 0 || b.Stale(now) || b.Isolated(now) {
		return time.Time{}, false
	}
	if b.LogAvailable() {
		return b.lastReadStart.Add(b.limits.Lease), true
	}
	return now.Add(b.limits.Lease), true
}

// RecordDeadline records the deadline of a call to a worker. It must be called before the
// call to the worker is made.
func (b *Tracker) RecordDeadline(worker sched.InstanceID, notAfter time.Time) {
	if notAfter.After(b.latestDeadlines[worker]) {
		b.latestDeadlines[worker] = notAfter
	}
}

// EarlierTermsExpired reports whether nothing that was sent under an earlier term can still
// take effect at a worker.
func (b *Tracker) EarlierTermsExpired(now time.Time) bool {
	return b.term != 0 && len(b.earlierTerms) == 0 && now.After(b.settledAt())
}

func (b *Tracker) settledAt() time.Time {
	return b.earlierEndedAt.Add(b.limits.Lease + b.limits.ClockBound)
}

// NoEffectAfter returns the time after which neither a call of the own term with this
// deadline nor any call of an earlier term can take effect. It returns false
// without an own term, or while an earlier term is open.
func (b *Tracker) NoEffectAfter(notAfter time.Time) (time.Time, bool) {
	if b.term == 0 || len(b.earlierTerms) > 0 {
		return time.Time{}, false
	}
	void := notAfter.Add(b.limits.ClockBound)
	if s := b.settledAt(); s.After(void) {
		void = s
	}
	return void, true
}

// DeadlinePassed reports whether a call of the own term with this deadline can no longer
// take effect at any worker.
func (b *Tracker) DeadlinePassed(notAfter, now time.Time) bool {
	return now.After(notAfter.Add(b.limits.ClockBound))
}

// LeaseExpired reports whether no attempt on an unreachable worker can be alive. It
// becomes true only if the planner stops calling the worker.
func (b *Tracker) LeaseExpired(worker sched.InstanceID, now time.Time) bool {
	return b.EarlierTermsExpired(now) && b.DeadlinePassed(b.latestDeadlines[worker], now)
}

// DropWorker drops the latest deadline of a worker that left, if that deadline has
// passed on every clock. Otherwise it does nothing.
func (b *Tracker) DropWorker(worker sched.InstanceID, now time.Time) {
	if b.DeadlinePassed(b.latestDeadlines[worker], now) {
		delete(b.latestDeadlines, worker)
	}
}

// EarlierTerms returns the earlier terms that may still be in use, in no particular order.
func (b *Tracker) EarlierTerms() []sched.Offset {
	open := make([]sched.Offset, 0, len(b.earlierTerms))
	for t := range b.earlierTerms {
		open = append(open, t)
	}
	return open
}
