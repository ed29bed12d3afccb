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

// KeepAlive is the longest time between two appends of a planner.
const KeepAlive = 500 * time.Millisecond

// Monitor is what one candidate knows of the planner of one cell. It isn't safe
// for concurrent use.
type Monitor struct {
	// Rank is the candidate's position in the order of takeover, from 0.
	Rank int

	firstMissed  time.Time // first call without an answer since the last answer
	connRefused  bool
	firstIdle    time.Time // first answer that the instance doesn't plan the cell
	proofStale   bool
	partitionEnd sched.Offset
	lastGrown    time.Time // newest observed growth of the partition, or start of the observation
	agreedAt     time.Time // newest report of another instance that it can't reach the planner
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

// RecordEnd records the end of the partition as just read.
func (w *Monitor) RecordEnd(now time.Time, end sched.Offset) {
	if w.lastGrown.IsZero() || end != w.partitionEnd {
		w.partitionEnd, w.lastGrown = end, now
	}
}

// RecordReadFailure records that the partition couldn't be read, which restarts the
// observation of its growth.
func (w *Monitor) RecordReadFailure() { w.lastGrown = time.Time{} }

// RecordPeerReport records the report of another instance on whether it reaches the
// planner.
func (w *Monitor) RecordPeerReport(now time.Time, reaches bool) {
	if reaches {
		w.opposedAt = now
		return
	}
	w.agreedAt = now
}

// SetAlone records whether no other instance could be asked.
func (w *Monitor) SetAlone(alone bool) { w.alone = alone }

// TakeOver reports whether the candidate should begin a term, and why.
func (w *Monitor) TakeOver(now time.Time) (bool, string) {
	wait := time.Duration(w.Rank) * rankDelay
	if !w.firstIdle.IsZero() && now.Sub(w.firstIdle) >= wait {
		return true, "planner restarted"
	}
	if !w.lastGrown.IsZero() && w.Observes() && now.Sub(w.lastGrown) >= partitionQuietTime+wait {
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
	if now.Sub(w.firstMissed) >= timeout+wait && (confirmed || w.alone) {
		return true, "planner can't be reached"
	}
	return false, ""
}
