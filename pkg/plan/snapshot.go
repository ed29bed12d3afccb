package plan

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// snapshotTime is the longest time between snapshots while records come
	// in. The log keeps records for longer than the dedup window, of which at
	// most half is used.
	snapshotTime = time.Hour
	// snapshotGap is the shortest time between two snapshots.
	snapshotGap = 10 * time.Second
	// snapshotRecords is the least number of records that make another
	// snapshot worth its size.
	snapshotRecords = 100
)

// snapshot records the state if the last snapshot is old, or is about to be
// trimmed.
func (p *Planner) snapshot() {
	applied, last := p.ledger.Applied(), p.ledger.SnapshotAt()
	if p.snapshotAt.IsZero() {
		p.snapshotAt = p.now
	}
	since := applied - last
	age := p.now.Sub(p.snapshotAt)
	if since < snapshotRecords || age < snapshotGap {
		return
	}
	limit := snapshotTime
	if w := p.settings.Limits.DedupWindow; w > 0 {
		limit = min(limit, w/2)
	}
	trimming := p.earliest > 1 && last-p.earliest < (applied-p.earliest)/2
	if int(since) < p.options.SnapshotEvery && age < limit && !trimming {
		return
	}
	p.snapshotAt = p.now
	i := p.ledger.Image()
	i.Scores = p.scores()
	p.note(sched.TaskEntry{Kind: sched.EntrySnapshot, Snapshot: i})
	p.event("snapshotWritten", "", "")
}

// Scorer is implemented by an Interference whose scores outlive the planner.
type Scorer interface {
	// Save returns the learned scores.
	Save() []byte
	// Load replaces them.
	Load(scores []byte)
}

func (p *Planner) scores() []byte {
	if s, ok := p.options.Interference.(Scorer); ok {
		return s.Save()
	}
	return p.ledger.Scores()
}
