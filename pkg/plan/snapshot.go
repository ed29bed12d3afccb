package plan

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// maxSnapshotInterval is the longest time between snapshots while records
	// arrive. It is capped at half of the dedup window, since the log retains
	// records for longer than that window.
	maxSnapshotInterval = time.Hour
	// minSnapshotInterval is the shortest time between two snapshots.
	minSnapshotInterval = 10 * time.Second
	// minSnapshotRecords is the number of records since the last snapshot below
	// which another one is not worth its size.
	minSnapshotRecords = 100
)

// snapshotIfDue appends a snapshot of the state if many records or much time have
// passed since the last one, or if the last one may soon be trimmed.
func (p *Planner) snapshotIfDue() {
	applied, last := p.ledger.Applied(), p.ledger.SnapshotOffset()
	if p.snapshotAt.IsZero() {
		p.snapshotAt = p.now
	}
	since := applied - last
	age := p.now.Sub(p.snapshotAt)
	if since < minSnapshotRecords || age < minSnapshotInterval {
		return
	}
	limit := maxSnapshotInterval
	if w := p.settings.Limits.DedupWindow; w > 0 {
		limit = min(limit, w/2)
	}
	trimming := p.earliestRetained > 1 && last-p.earliestRetained < (applied-p.earliestRetained)/2
	if int(since) < p.options.SnapshotEvery && age < limit && !trimming {
		return
	}
	p.snapshotAt = p.now
	i := p.ledger.Image()
	i.Scores = p.currentScores()
	p.enqueue(sched.TaskEntry{Kind: sched.EntrySnapshot, Snapshot: i})
	p.emitEvent("snapshotWritten", "", "")
}

// Scorer is implemented by an Interference whose scores are kept in snapshots, so
// that a planner which started from a snapshot can load them.
type Scorer interface {
	// Save returns the learned scores in encoded form.
	Save() []byte
	// Load replaces the learned scores.
	Load(scores []byte)
}

func (p *Planner) currentScores() []byte {
	if s, ok := p.options.Interference.(Scorer); ok {
		return s.Save()
	}
	return p.ledger.Scores()
}
