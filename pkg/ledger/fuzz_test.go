package ledger_test

import (
	"testing"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// FuzzReplay guards against a record that makes the replay panic: one bad record
// would stop every instance of a data centre.
func FuzzReplay(f *testing.F) {
	for _, e := range []sched.TaskEntry{
		accepted(1), placed(1, 0), ended(1, sched.AttemptDone), workerSeen(0, 1000),
		{Kind: sched.EntrySnapshot, Snapshot: running(f, 3).ledger.Image()},
		{Kind: sched.EntryDeclaredDead},
	} {
		b, _ := codec.EncodeTaskRecord(sched.TaskRecord{Entries: []sched.TaskEntry{e, e}})
		f.Add(b, true)
		f.Add(b, false)
	}
	f.Fuzz(func(_ *testing.T, b []byte, fresh bool) {
		r, err := codec.DecodeTaskRecord(b)
		if err != nil {
			return
		}
		l := ledger.New()
		if !fresh {
			l.Start(1)
			_, _ = l.Apply(1, &sched.TaskRecord{Entries: []sched.TaskEntry{
				term("entry-0"), workerSeen(0, 1000), accepted(1), placed(1, 0),
			}})
		} else {
			l.Start(2)
		}
		_, _ = l.Apply(2, &r)
		_, _ = l.Apply(3, &r)
		_, _ = l.Apply(4, &sched.TaskRecord{Entries: []sched.TaskEntry{
			ended(1, sched.AttemptDone), {Kind: sched.EntryDeclaredDead},
		}})
		_ = l.Image()
	})
}
