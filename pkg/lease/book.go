package lease

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Limits are the durations that the rules depend on. They must be the same at
// all instances of a data centre.
type Limits struct {
	// Lease is the time for which a call grants the worker its lease.
	Lease time.Duration
	// ClockBound is the largest difference between two clocks.
	ClockBound time.Duration
	// Isolation is the time after which an instance that reaches nobody stops
	// to renew leases.
	Isolation time.Duration
}

// Contact is when an instance last reached the others.
type Contact struct {
	// List and Peer are the times of the last successful read of the list of
	// instances and of the last message of a peer in the data centre.
	List time.Time
	Peer time.Time
	// Alone is set if the instance was the only one in its data centre when it
	// last reached the list.
	Alone bool
}

// Book holds the leases of one planner. All times are of the planner's clock.
type Book struct {
	limits Limits

	read    time.Time // start of the last successful read of the log
	failed  time.Time // last failed read of the log
	contact Contact
	// cut is set once the instance was isolated. The others may have taken it
	// as gone since, and only the log tells.
	cut bool

	term sched.Offset
	// earlier holds the terms before the own one that have not ended.
	earlier map[sched.Offset]bool
	// quiet is the time from which on no earlier term was in use, as far as
	// its end is known.
	quiet time.Time
	// latest is the latest deadline sent under the own term, per worker.
	latest map[sched.InstanceID]time.Time
}

// New returns a book without a term.
func New(l Limits) *Book {
	return &Book{limits: l, earlier: map[sched.Offset]bool{}, latest: map[sched.InstanceID]time.Time{}}
}

// SetLimits changes the durations. A shorter lease must not be set while
// calls with the longer one may be on their way; the planner therefore keeps
// the longest lease that it has used within a term.
func (b *Book) SetLimits(l Limits) {
	if b.term != 0 {
		l.Lease = max(l.Lease, b.limits.Lease)
		l.ClockBound = max(l.ClockBound, b.limits.ClockBound)
	}
	b.limits = l
}

// Begin starts the own term. The open terms are those before it that have not
// ended, as read from the log.
func (b *Book) Begin(term sched.Offset, open []sched.TermStatus, now time.Time) {
	b.term = term
	b.quiet = now
	clear(b.earlier)
	for _, t := range open {
		if t.Term < term {
			b.earlier[t.Term] = true
		}
	}
	clear(b.latest)
}

// End gives the own term up.
func (b *Book) End() { b.term = 0 }

// Term returns the own term, or 0.
func (b *Book) Term() sched.Offset { return b.term }

// Earlier tells whether an earlier term may still be in use.
func (b *Book) Earlier() bool { return len(b.earlier) > 0 }

// TermEnded notes that nothing is sent under an earlier term from now on.
func (b *Book) TermEnded(term sched.Offset, now time.Time) {
	if b.earlier[term] {
		delete(b.earlier, term)
		b.quiet = now
	}
}

// LogRead notes a successful read of the log that began at the given time and
// reached the end of the stream.
func (b *Book) LogRead(began time.Time) {
	if began.After(b.read) {
		b.read = began
		b.cut = false
	}
}

// LogFailed notes a read of the log that failed at the given time.
func (b *Book) LogFailed(now time.Time) {
	if now.After(b.failed) {
		b.failed = now
	}
}

// Reached notes contact with others at the given time.
func (b *Book) Reached(c Contact, now time.Time) {
	b.Isolated(now)
	b.contact = c
}

// LogAnswers tells whether the last attempt to read the log succeeded.
func (b *Book) LogAnswers() bool { return !b.read.IsZero() && !b.read.Before(b.failed) }

// Stale tells whether the planner has to read the log before it acts: it was
// paused, or it has not read for half a lease.
func (b *Book) Stale(now time.Time) bool {
	last := b.read
	if b.failed.After(last) {
		last = b.failed
	}
	return now.Sub(last) >= b.limits.Lease/2
}

// lastContact is the latest time at which anybody was reached.
func (b *Book) lastContact() time.Time {
	last := b.read
	for _, t := range []time.Time{b.contact.List, b.contact.Peer} {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// Isolated tells whether the instance has reached nobody for the isolation
// limit, so that the others may take it as gone. It stays isolated until it
// has read the log.
func (b *Book) Isolated(now time.Time) bool {
	if !b.contact.Alone && now.Sub(b.lastContact()) >= b.limits.Isolation {
		b.cut = true
	}
	return b.cut
}

// NotAfter returns the deadline for a call that is made now, and false if no
// call may be made: there is no term, the log has to be read first, or the
// instance is isolated.
func (b *Book) NotAfter(now time.Time) (time.Time, bool) {
	if b.term == 0 || b.Stale(now) || b.Isolated(now) {
		return time.Time{}, false
	}
	if b.LogAnswers() {
		return b.read.Add(b.limits.Lease), true
	}
	return now.Add(b.limits.Lease), true
}

// Sent notes the deadline of a call to a worker. It must be noted before the
// call is made.
func (b *Book) Sent(worker sched.InstanceID, notAfter time.Time) {
	if notAfter.After(b.latest[worker]) {
		b.latest[worker] = notAfter
	}
}

// Settled tells whether nothing that was sent under an earlier term can still
// take effect at a worker.
func (b *Book) Settled(now time.Time) bool {
	return b.term != 0 && len(b.earlier) == 0 && now.After(b.settledAt())
}

func (b *Book) settledAt() time.Time {
	return b.quiet.Add(b.limits.Lease + b.limits.ClockBound)
}

// VoidBy returns the time after which neither a call of the own term with this
// deadline nor any call of an earlier term can take effect, and false while
// that is not known.
func (b *Book) VoidBy(notAfter time.Time) (time.Time, bool) {
	if b.term == 0 || len(b.earlier) > 0 {
		return time.Time{}, false
	}
	void := notAfter.Add(b.limits.ClockBound)
	if s := b.settledAt(); s.After(void) {
		void = s
	}
	return void, true
}

// Void tells whether a call of the own term with this deadline can no longer
// take effect at any worker.
func (b *Book) Void(notAfter, now time.Time) bool {
	return now.After(notAfter.Add(b.limits.ClockBound))
}

// Lapsed tells whether no attempt on an unreachable worker can be alive. Calls
// to the worker have to stop for this to become true.
func (b *Book) Lapsed(worker sched.InstanceID, now time.Time) bool {
	return b.Settled(now) && b.Void(b.latest[worker], now)
}

// Forget drops the account of a worker that left, once its lease is void.
func (b *Book) Forget(worker sched.InstanceID, now time.Time) {
	if b.Void(b.latest[worker], now) {
		delete(b.latest, worker)
	}
}

// Open returns the earlier terms that may still be in use, in no certain order.
func (b *Book) Open() []sched.Offset {
	open := make([]sched.Offset, 0, len(b.earlier))
	for t := range b.earlier {
		open = append(open, t)
	}
	return open
}
