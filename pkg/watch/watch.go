package watch

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// refusedTimeout is the time since the first failed call after which a
	// planner counts as failed if its address refuses connections,
	// silentTimeout that for a planner that doesn't answer. Both require that
	// another instance can't reach the planner either, or that there is no
	// other instance.
	refusedTimeout = 80 * time.Millisecond
	silentTimeout  = 600 * time.Millisecond
	// rankDelay is the additional wait per rank. It is long enough for a
	// candidate to complete its takeover before the next one begins.
	rankDelay = 350 * time.Millisecond
	// partitionQuietTime is the time without growth of the cell's partition
	// after which the planner counts as failed. A planner appends at least once
	// per KeepAlive.
	partitionQuietTime = 1300 * time.Millisecond
	// opinionLifetime is the age at which the report of another instance no
	// longer counts.
	opinionLifetime = 1500 * time.Millisecond
	// staleProofAge is the age of the planner's last proof from the store above
	// which the candidate observes the partition.
	staleProofAge = 800 * time.Millisecond
)

const (
	// appendingPeriod is the time without growth of the partition after which the
	// planner no longer counts as appending: KeepAlive and the round trip of an append.
	appendingPeriod = KeepAlive + 60*time.Millisecond
	// maxReadTime is the longest time of a read of the end of the partition with which
	// the candidate reaches the store well enough to replace a planner that still
	// appends. One that takes longer would be no better planner.
	maxReadTime = 120 * time.Millisecond
)

// KeepAlive is the longest time between two appends of a planner.
const KeepAlive = 500 * time.Millisecond

// Monitor is what one candidate knows of the planner of one cell. It isn't safe
// for concurrent use.
type Monitor struct {
	// Rank is the candidate's position in the order of takeover, from 0.
	Rank int
	// Near is set if the candidate is in the planner's region or near the store, so that
	// a call to the planner without an answer isn't explained by a link between regions.
	Near bool

	firstMissed  time.Time // first call without an answer since the last answer
	connRefused  bool
	firstIdle    time.Time // first answer that the instance doesn't plan the cell
	proofStale   bool
	partitionEnd sched.Offset
	lastGrown    time.Time     // newest observed growth of the partition, or start of the observation
	lastRead     time.Time     // when the newest read of the end was sent
	readTime     time.Duration // of the newest read of the end
	agreedAt     time.Time     // newest report of another instance that it can't reach the planner
	agreedNearAt time.Time     // the same, of an instance with Near set
	alone        bool
	opposedAt    time.Time // newest report of another instance that it reaches the planner
}

// RecordAnswer records an answer from the planner's instance. plans is set if the
// instance plans the cell, and age is the age of its last proof from the store.
// The caller also uses it, with plans unset and age 0, if no planner is known.
func (w *Monitor) RecordAnswer(now time.Time, plans bool, age time.Duration) {
	w.firstMissed, w.connRefused = time.Time{}, false
	w.proofStale = age > staleProofAge
	if !w.proofStale {
		w.lastGrown = time.Time{}
	}
	switch {
	case plans:
		w.firstIdle = time.Time{}
	case w.firstIdle.IsZero():
		w.firstIdle = now
	}
}

// RecordNoAnswer records a call without an answer. closed is set if the address refused
// the connection.
func (w *Monitor) RecordNoAnswer(now time.Time, closed bool) {
	if w.firstMissed.IsZero() {
		w.firstMissed = now
	}
	w.connRefused = closed
}

// Observes reports whether the candidate should read the end of the partition
// and ask other instances whether they reach the planner.
func (w *Monitor) Observes() bool { return !w.firstMissed.IsZero() || w.proofStale }

// Idle reports whether no instance is known to plan the cell.
func (w *Monitor) Idle() bool { return !w.firstIdle.IsZero() }

// RecordEnd records the end of the partition as read by a call from sent to now.
func (w *Monitor) RecordEnd(sent, now time.Time, end sched.Offset) {
	if w.lastGrown.IsZero() || end != w.partitionEnd {
		w.partitionEnd, w.lastGrown = end, now
	}
	w.lastRead, w.readTime = sent, now.Sub(sent)
}

// quiet returns for how long the partition certainly hasn't grown: from the answer to the
// first read that gave its present end until the newest read was sent.
func (w *Monitor) quiet() time.Duration {
	if w.lastGrown.IsZero() {
		return 0
	}
	return max(w.lastRead.Sub(w.lastGrown), 0)
}

// RecordReadFailure records that the partition couldn't be read, which restarts the
// observation of its growth.
func (w *Monitor) RecordReadFailure() { w.lastGrown, w.lastRead = time.Time{}, time.Time{} }

// RecordPeerReport records the report of another instance on whether it reaches the
// planner. near is the other instance's Monitor.Near.
func (w *Monitor) RecordPeerReport(now time.Time, reaches, near bool) {
	if reaches {
		w.opposedAt = now
		return
	}
	w.agreedAt = now
	if near {
		w.agreedNearAt = now
	}
}

// SetAlone records whether no other instance could be asked.
func (w *Monitor) SetAlone(alone bool) { w.alone = alone }

// mayReplace reports whether the candidate may replace a planner that doesn't answer. To
// read the whole partition for that is futile while the planner appends: an append of the
// candidate then fails. It may be only the candidate's link that is cut or full. So the
// partition has to be quiet, or no process to listen at the planner's address, or an
// instance with Near set not to reach the planner while the store answers this one fast.
func (w *Monitor) mayReplace(now time.Time) bool {
	isolated := (w.Near || now.Sub(w.agreedNearAt) < opinionLifetime) && w.readTime <= maxReadTime && !w.lastRead.IsZero()
	return w.connRefused || w.quiet() >= appendingPeriod || isolated
}

// TakeOver reports whether the candidate should begin a term, and why.
func (w *Monitor) TakeOver(now time.Time) (bool, string) {
	wait := time.Duration(w.Rank) * rankDelay
	if !w.firstIdle.IsZero() && now.Sub(w.firstIdle) >= wait {
		return true, "planner restarted"
	}
	if !w.lastGrown.IsZero() && w.Observes() && w.quiet() >= partitionQuietTime+wait {
		return true, "partition is quiet"
	}
	if w.firstMissed.IsZero() {
		return false, ""
	}
	timeout := silentTimeout
	if w.connRefused {
		timeout = refusedTimeout
	}
	confirmed := now.Sub(w.agreedAt) < opinionLifetime && now.Sub(w.opposedAt) >= opinionLifetime
	if now.Sub(w.firstMissed) >= timeout+wait && (confirmed || w.alone) && w.mayReplace(now) {
		return true, "planner can't be reached"
	}
	return false, ""
}
