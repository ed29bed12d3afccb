package versn

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// ownerRetentionPart and otherRetentionPart are the fractions of the retention
	// time after which the responsible instance and any other instance write a
	// snapshot. The others write one in case the responsible instance can't reach
	// the log.
	ownerRetentionPart = 0.5
	otherRetentionPart = 0.75
	// otherDelay is how long the other instances leave the snapshot to the
	// responsible one after the log has become reachable again. After an outage
	// the snapshot is overdue for all of them, and if all wrote one, every
	// instance would have to read all of these snapshots.
	otherDelay = 10 * time.Second
	// snapshotPause is the minimum time between two snapshots of one instance, so
	// that it doesn't write another one before it has read the first one back.
	snapshotPause = 15 * time.Second
)

// snapshotState describes the newest snapshot in the log and the last one that
// this instance created.
type snapshotState struct {
	// readTo and writtenAt belong to the newest snapshot in the log.
	readTo    sched.Offset
	writtenAt time.Time
	// madeAt is when this instance last created a snapshot.
	madeAt time.Time
}

// observe records a snapshot that was read from the log.
func (s *snapshotState) observe(now time.Time, n numberedEntry) {
	if n.entry.Snapshot.ReadTo < s.readTo {
		return
	}
	s.readTo = n.entry.Snapshot.ReadTo
	s.writtenAt = n.entry.Snapshot.WrittenAt
	if s.writtenAt.After(now) {
		s.writtenAt = now // the writer's clock is ahead
	}
}

// SnapshotDue reports whether this instance should append a snapshot now. owner
// is set for the instance that is responsible for the stream's snapshots. It does
// no harm if several instances write one.
func (r *Replay) SnapshotDue(now time.Time, owner bool) bool {
	if !r.CaughtUp() || r.log.number == 0 || now.Sub(r.snapshot.madeAt) < snapshotPause {
		return false
	}
	if !owner && now.Sub(r.peers.logReadSince) < otherDelay {
		return false
	}
	part, tail := ownerRetentionPart, sched.Offset(snapshotRecords)
	if !owner {
		part, tail = otherRetentionPart, 2*snapshotRecords
	}
	if r.log.asOf-r.snapshot.readTo >= tail {
		return true
	}
	if r.snapshot.readTo > 0 && now.Sub(r.snapshot.writtenAt) >= time.Duration(part*float64(r.options.Retention)) {
		return true
	}
	if r.earliest <= 1 {
		return r.snapshot.readTo == 0 && owner // the stream has no snapshot yet
	}
	// The log trims records, so the newest snapshot must not be among the oldest
	// ones. The last term keeps a stream of few records from needing a snapshot.
	kept, behind := r.end-r.earliest, r.snapshot.readTo+1-r.earliest
	return float64(behind) < (1-part)*float64(kept)-1
}

// Snapshot returns the snapshot to append. Afterwards SnapshotDue returns false
// for snapshotPause.
func (r *Replay) Snapshot(now time.Time) Snapshot {
	r.snapshot.madeAt = now
	return Snapshot{
		Version:   r.log.number,
		Document:  r.log.doc.Bytes(),
		ReadTo:    r.log.asOf,
		Writer:    r.options.Self,
		WrittenAt: now,
	}
}
