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

// Book holds the leases granted by one planner. All times are those of the
// planner's clock. It is not safe for concurrent use.
type Book struct {
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
func New(l Limits) *Book {
	return &Book{limits: l, earlierTerms: map[sched.Offset]bool{}, latestDeadlines: map[sched.InstanceID]time.Time{}}
}

// SetLimits changes the durations. Calls with a longer lease or clock bound may
// still be in flight, so within a term these two are never shortened.
func (b *Book) SetLimits(l Limits) {
	if b.term != 0 {
		l.Lease = max(l.Lease, b.limits.Lease)
		l.ClockBound = max(l.ClockBound, b.limits.ClockBound)
	}
	b.limits = l
}

// Begin starts the own term. The argument open holds the terms that have not ended
// as read from the log; those before the own one count as earlier terms.
func (b *Book) Begin(term sched.Offset, open []sched.TermStatus, now time.Time) {
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

// End gives up the own term.
func (b *Book) End() { b.term = 0 }

// Term returns the own term, or 0 if there is none.
func (b *Book) Term() sched.Offset { return b.term }

// Earlier reports whether an earlier term may still be in use.
func (b *Book) Earlier() bool { return len(b.earlierTerms) > 0 }

// TermEnded records that nothing is sent under an earlier term from now on.
func (b *Book) TermEnded(term sched.Offset, now time.Time) {
	if b.earlierTerms[term] {
		delete(b.earlierTerms, term)
		b.earlierEndedAt = now
	}
}

// LogRead records a successful read of the log that began at the given time and
// reached the end of the stream.
func (b *Book) LogRead(began time.Time) {
	if began.After(b.lastReadStart) {
		b.lastReadStart = began
		b.isolated = false
	}
}

// LogFailed records a failed read of the log that began at the given time, or one
// that has been outstanding for too long at that time.
func (b *Book) LogFailed(began time.Time) {
	if began.After(b.lastFailureStart) {
		b.lastFailureStart = began
	}
}

// Reached records the contact with others as known at the given time.
func (b *Book) Reached(c Contact, now time.Time) {
	b.Isolated(now)
	b.contact = c
}

// LogAnswers reports whether the last read of the log succeeded.
func (b *Book) LogAnswers() bool {
	return !b.lastReadStart.IsZero() && !b.lastReadStart.Before(b.lastFailureStart)
}

// Stale reports whether the planner has to read the log before it acts: the last
// read, successful or failed, began half a lease ago or earlier. This is also the
// case after a pause of the process.
func (b *Book) Stale(now time.Time) bool {
	last := b.lastReadStart
	if b.lastFailureStart.After(last) {
		last = b.lastFailureStart
	}
	return now.Sub(last) >= b.limits.Lease/2
}

// lastContactAt returns the latest time of contact with the log, the list or a
// peer.
func (b *Book) lastContactAt() time.Time {
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
func (b *Book) Isolated(now time.Time) bool {
	if !b.contact.Alone && now.Sub(b.lastContactAt()) >= b.limits.Isolation {
		b.isolated = true
	}
	return b.isolated
}

// NotAfter returns the deadline for a call that is made now, and false if no
// call may be made: there is no term, the log has to be read first, or the
// instance is isolated.
func (b *Book) NotAfter(now time.Time) (time.Time, bool) {
	if b.term == 0 || b.Stale(now) || b.Isolated(now) {
		return time.Time{}, false
	}
	if b.LogAnswers() {
		return b.lastReadStart.Add(b.limits.Lease), true
	}
	return now.Add(b.limits.Lease), true
}

// Sent records the deadline of a call to a worker. It must be called before the
// call to the worker is made.
func (b *Book) Sent(worker sched.InstanceID, notAfter time.Time) {
	if notAfter.After(b.latestDeadlines[worker]) {
		b.latestDeadlines[worker] = notAfter
	}
}

// Settled reports whether nothing that was sent under an earlier term can still
// take effect at a worker.
func (b *Book) Settled(now time.Time) bool {
	return b.term != 0 && len(b.earlierTerms) == 0 && now.After(b.settledAt())
}

func (b *Book) settledAt() time.Time {
	return b.earlierEndedAt.Add(b.limits.Lease + b.limits.ClockBound)
}

// VoidBy returns the time after which neither a call of the own term with this
// deadline nor any call of an earlier term can take effect. It returns false
// without an own term, or while an earlier term is open.
func (b *Book) VoidBy(notAfter time.Time) (time.Time, bool) {
	if b.term == 0 || len(b.earlierTerms) > 0 {
		return time.Time{}, false
	}
	void := notAfter.Add(b.limits.ClockBound)
	if s := b.settledAt(); s.After(void) {
		void = s
	}
	return void, true
}

// Void reports whether a call of the own term with this deadline can no longer
// take effect at any worker.
func (b *Book) Void(notAfter, now time.Time) bool {
	return now.After(notAfter.Add(b.limits.ClockBound))
}

// Lapsed reports whether no attempt on an unreachable worker can be alive. It
// becomes true only if the planner stops calling the worker.
func (b *Book) Lapsed(worker sched.InstanceID, now time.Time) bool {
	return b.Settled(now) && b.Void(b.latestDeadlines[worker], now)
}

// Forget drops the latest deadline of a worker that left, if that deadline has
// passed on every clock. Otherwise it does nothing.
func (b *Book) Forget(worker sched.InstanceID, now time.Time) {
	if b.Void(b.latestDeadlines[worker], now) {
		delete(b.latestDeadlines, worker)
	}
}

// Open returns the earlier terms that may still be in use, in no particular order.
func (b *Book) Open() []sched.Offset {
	open := make([]sched.Offset, 0, len(b.earlierTerms))
	for t := range b.earlierTerms {
		open = append(open, t)
	}
	return open
}
