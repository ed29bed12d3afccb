package daemon

import (
	"context"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/rendez"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/versn"
)

// snapshotInterval is the time between two looks at whether a snapshot is due.
const snapshotInterval = 5 * time.Second

// snapshotLoop appends snapshots of the configuration before the retention
// ends.
func (d *Daemon) snapshotLoop(c context.Context) {
	for d.Clock.Sleep(c, snapshotInterval) == nil {
		var s *versn.Snapshot
		err := d.ask(c, func(k *control) {
			now := d.Clock.Now()
			owner, ok := rendez.SnapshotWriter(sched.ConfigStream).Owner(k.table.View().AllCandidates())
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
