package versn

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// ownerPart and otherPart are the parts of the retention time after which
	// the responsible instance and any other one write a snapshot. The second
	// covers an owner that can't reach the log.
	ownerPart = 0.5
	otherPart = 0.75
	// otherDelay is how long other instances leave it to the responsible one
	// after the log became reachable again. After an outage all find the
	// snapshot overdue, and everyone would have to read all of theirs.
	otherDelay = 10 * time.Second
	// snapshotPause is the time between two snapshots of one instance, so that
	// it doesn't repeat one whose record it has not read back.
	snapshotPause = 15 * time.Second
)

// snapshotState tells how far back the newest snapshot is.
type snapshotState struct {
	readTo    sched.Offset
	writtenAt time.Time
	madeAt    time.Time
}

func (s *snapshotState) saw(now time.Time, n numbered) {
	if n.entry.Snapshot.ReadTo < s.readTo {
		return
	}
	s.readTo = n.entry.Snapshot.ReadTo
	s.writtenAt = n.entry.Snapshot.WrittenAt
	if s.writtenAt.After(now) {
		s.writtenAt = now // the writer's clock is ahead
	}
}

// SnapshotDue tells whether this instance should append a snapshot now. Owner
// is set for the instance that is responsible for the stream. Snapshots by
// several instances do no harm.
func (r *Replay) SnapshotDue(now time.Time, owner bool) bool {
	if !r.CaughtUp() || r.log.number == 0 || now.Sub(r.snapshot.madeAt) < snapshotPause {
		return false
	}
	if !owner && now.Sub(r.peers.logSince) < otherDelay {
		return false
	}
	part, tail := ownerPart, sched.Offset(snapshotEvery)
	if !owner {
		part, tail = otherPart, 2*snapshotEvery
	}
	if r.log.asOf-r.snapshot.readTo >= tail {
		return true
	}
	if r.snapshot.readTo > 0 && now.Sub(r.snapshot.writtenAt) >= time.Duration(part*float64(r.options.Retention)) {
		return true
	}
	if r.earliest <= 1 {
		return r.snapshot.readTo == 0 && owner // the first one
	}
	// The log trims: the newest snapshot must not be among the oldest records.
	// One record less, so that a stream of few records needs none.
	kept, behind := r.end-r.earliest, r.snapshot.readTo+1-r.earliest
	return float64(behind) < (1-part)*float64(kept)-1
}

// Snapshot returns the record to append. It marks the snapshot as made, so
// that the next one is due only after a pause.
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
