package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

var at = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// stream passes records through the codec to a ledger, at consecutive offsets.
type stream struct {
	tb     testing.TB
	ledger *ledger.Ledger
	next   sched.Offset
}

func newStream(tb testing.TB) *stream { return &stream{tb: tb, ledger: ledger.New(), next: 1} }

func (s *stream) add(entries ...sched.TaskEntry) []ledger.Change {
	b, err := codec.EncodeTaskRecord(sched.TaskRecord{Writer: "entry-0", At: at, Entries: entries})
	if err != nil {
		s.tb.Fatal(err)
	}
	return s.feed(b)
}

func (s *stream) feed(b []byte) []ledger.Change {
	r, err := codec.DecodeTaskRecord(b)
	if err != nil {
		s.tb.Fatal(err)
	}
	c, err := s.ledger.Apply(s.next, &r)
	if err != nil {
		s.tb.Fatal(err)
	}
	s.next++
	return c
}

func taskName(i int) sched.TaskID { return sched.TaskID(fmt.Sprintf("sweep-2026-03-%08d", i)) }

func workerName(i int) sched.InstanceID { return sched.InstanceID(fmt.Sprintf("quezon-a-w%04d", i)) }

func accepted(i int) sched.TaskEntry {
	return sched.TaskEntry{Kind: sched.EntryAccepted, Task: sched.Task{
		ID: taskName(i), Kind: "enclosureSweep", Partner: "kooperatiba", Team: "acoustics",
		Urgency: sched.UrgencyStandard, Needs: sched.Resources{Processors: 500, Memory: 1 << 30},
		RunTime: time.Hour, SubmittedAt: at,
	}}
}

func placed(i, worker int) sched.TaskEntry {
	return sched.TaskEntry{
		Kind: sched.EntryPlaced, TaskID: taskName(i), Attempt: 1, Worker: workerName(worker), Term: 1,
		Quota: sched.Resources{Processors: 1 << 40},
	}
}

// running returns a stream that has recorded running tasks, 24 on each worker.
func running(tb testing.TB, tasks int) *stream {
	s := newStream(tb)
	s.add(sched.TaskEntry{Kind: sched.EntryTerm, Instance: "entry-0", Incarnation: 1})
	const perWorker = 24
	for w := range (tasks + perWorker - 1) / perWorker {
		s.add(sched.TaskEntry{
			Kind: sched.EntryWorkerSeen, Worker: workerName(w), Boot: 1, Rack: "r",
			Capacity: sched.Resources{Processors: 16_000, Memory: 60 << 30},
		})
		for i := w * perWorker; i < min((w+1)*perWorker, tasks); i++ {
			s.add(accepted(i), placed(i, w), sched.TaskEntry{
				Kind: sched.EntryStarted, TaskID: taskName(i), Attempt: 1, Worker: workerName(w),
			})
		}
	}
	return s
}

// BenchmarkReplay replays the four records of a task from acceptance to its end,
// encoding and decoding included, while many other tasks run.
func BenchmarkReplay(b *testing.B) {
	for _, n := range []int{9400, 94_000} {
		b.Run(fmt.Sprintf("running=%d", n), func(b *testing.B) {
			s := running(b, n)
			i := n
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				i++
				w := i % (n / 24)
				s.add(accepted(i))
				s.add(placed(i, w))
				s.add(sched.TaskEntry{Kind: sched.EntryStarted, TaskID: taskName(i), Attempt: 1, Worker: workerName(w)})
				s.add(sched.TaskEntry{
					Kind: sched.EntryEnded, TaskID: taskName(i), Attempt: 1, Worker: workerName(w),
					Result: sched.AttemptDone, RunTime: time.Hour,
				})
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(4*b.N), "ns/record")
		})
	}
}

// BenchmarkCancel cancels a queued task among many running ones; the time must not
// depend on their number.
func BenchmarkCancel(b *testing.B) {
	for _, n := range []int{9400, 94_000} {
		b.Run(fmt.Sprintf("running=%d", n), func(b *testing.B) {
			s := running(b, n)
			i := n
			for b.Loop() {
				b.StopTimer()
				i++
				s.add(accepted(i))
				r := &sched.TaskRecord{Entries: []sched.TaskEntry{{Kind: sched.EntryCancelled, TaskID: taskName(i)}}}
				b.StartTimer()
				if c, err := s.ledger.Apply(s.next, r); err != nil || len(c) != 1 {
					b.Fatal(c, err)
				}
				s.next++
			}
		})
	}
}

// BenchmarkRecordSize reports the bytes per entry of each kind, in a record of ten
// entries, and the bytes per task of a snapshot.
func BenchmarkRecordSize(b *testing.B) {
	w := workerName(1234)
	kinds := []struct {
		name  string
		entry sched.TaskEntry
	}{
		{"accepted", accepted(1)},
		{"placed", placed(1, 1234)},
		{"started", sched.TaskEntry{Kind: sched.EntryStarted, TaskID: taskName(1), Attempt: 1, Worker: w}},
		{"ended", sched.TaskEntry{
			Kind: sched.EntryEnded, TaskID: taskName(1), Attempt: 1, Worker: w, Result: sched.AttemptDone, RunTime: time.Hour,
		}},
		{"checkpointed", sched.TaskEntry{
			Kind: sched.EntryCheckpointed, TaskID: taskName(1), Attempt: 1, Worker: w,
			Checkpoint: "checkpoint-12345-sweep", RunTime: time.Hour,
		}},
		{"expired", sched.TaskEntry{Kind: sched.EntryExpired, TaskID: taskName(1), Attempt: 1, Worker: w, Term: 123_456}},
		{"cancel", sched.TaskEntry{Kind: sched.EntryCancelled, TaskID: taskName(1)}},
		{"term", sched.TaskEntry{Kind: sched.EntryTerm, Instance: "quezon-a-e1", Incarnation: 1_772_000_000}},
	}
	for _, k := range kinds {
		b.Run(k.name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				r := sched.TaskRecord{Writer: "quezon-a-e1", Incarnation: 1_772_000_000, Serial: 100_000, At: at}
				for range 10 {
					r.Entries = append(r.Entries, k.entry)
				}
				data, err := codec.EncodeTaskRecord(r)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/10, "bytes/entry")
		})
	}
	b.Run("snapshot", func(b *testing.B) {
		const n = 94_000
		l := running(b, n).ledger
		size := 0
		for b.Loop() {
			data, err := codec.EncodeTaskRecord(sched.TaskRecord{Entries: []sched.TaskEntry{
				{Kind: sched.EntrySnapshot, Snapshot: l.Image()},
			}})
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
		}
		b.ReportMetric(float64(size)/n, "bytes/task")
	})
}
