package daemon

import (
	"context"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/rendez"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/versn"
)

// snapshotInterval is the time between two checks whether a snapshot is due.
const snapshotInterval = 5 * time.Second

// snapshotLoop appends a snapshot of the configuration whenever one is due, so
// that the log still holds the configuration when the records that it was made
// from pass their retention. If an append fails, a later check finds the
// snapshot due again.
func (d *Daemon) snapshotLoop(c context.Context) {
	for d.Clock.Sleep(c, snapshotInterval) == nil {
		var s *versn.Snapshot
		err := d.callControl(c, func(k *control) {
			now := d.Clock.Now()
			owner, ok := rendez.SnapshotWriterKey(sched.ConfigStream).Owner(k.table.View().AllCandidates())
			if k.versions.SnapshotDue(now, ok && owner == d.ID) {
				made := k.versions.Snapshot(now)
				s = &made
			}
		})
		if err != nil || s == nil {
			continue
		}
		if data, err := codec.EncodeConfig(versn.Entry{Snapshot: s}); err == nil {
			_ = d.append(c, sched.ConfigStream, data)
		}
	}
}
