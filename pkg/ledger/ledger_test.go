package ledger_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

func workerSeen(w int, processors int64) sched.TaskEntry {
	return sched.TaskEntry{
		Kind: sched.EntryWorkerSeen, Worker: workerName(w), Boot: 1,
		Capacity: sched.Resources{Processors: processors, Memory: 60 << 30, Accelerators: 1},
	}
}

func term(i sched.InstanceID) sched.TaskEntry {
	return sched.TaskEntry{Kind: sched.EntryTerm, Instance: i, Incarnation: 1}
}

// ended returns an entry that ends an attempt of task 1.
func ended(a sched.Attempt, r sched.AttemptState) sched.TaskEntry {
	return sched.TaskEntry{
		Kind: sched.EntryEnded, TaskID: taskName(1), Attempt: a, Result: r, RunTime: time.Hour, Reason: "exit status 1",
	}
}

// withAttempt returns a placement with another attempt and term.
func withAttempt(e sched.TaskEntry, a sched.Attempt, t sched.Offset) sched.TaskEntry {
	e.Attempt, e.Term = a, t
	return e
}

func ahead(e sched.TaskEntry) sched.TaskEntry {
	e.Ahead = true
	return e
}

func quota(e sched.TaskEntry, processors int64) sched.TaskEntry {
	e.Quota.Processors = processors
	return e
}

// Guards against placements that overcommit a worker, run a task twice, exceed a
// quota or come from a planner whose term is not the newest.
func TestPlacedRules(t *testing.T) {
	base := []sched.TaskEntry{workerSeen(0, 1000), workerSeen(1, 1000), accepted(1), accepted(2), accepted(3)}
	for _, c := range []struct {
		name  string
		given []sched.TaskEntry
		entry sched.TaskEntry
		valid bool
	}{
		{"fits", nil, placed(1, 0), true},
		{"second of two fits", []sched.TaskEntry{placed(2, 0)}, placed(1, 0), true},
		{"worker full", []sched.TaskEntry{placed(2, 0), placed(3, 0)}, placed(1, 0), false},
		{"room is bound", []sched.TaskEntry{placed(2, 0), ahead(placed(3, 0))}, placed(1, 0), false},
		{"bound behind a full worker", []sched.TaskEntry{placed(2, 0), placed(3, 0)}, ahead(placed(1, 0)), true},
		{"already placed", []sched.TaskEntry{placed(1, 1)}, placed(1, 0), false},
		{"wrong attempt", nil, withAttempt(placed(1, 0), 2, 1), false},
		{"old attempt", []sched.TaskEntry{placed(1, 0), ended(1, sched.AttemptFailed)}, placed(1, 0), false},
		{
			"next attempt",
			[]sched.TaskEntry{placed(1, 0), ended(1, sched.AttemptFailed)},
			withAttempt(placed(1, 0), 2, 1), true,
		},
		{"no term", nil, withAttempt(placed(1, 0), 1, 0), false},
		{"unknown worker", nil, placed(1, 7), false},
		{"unknown task", nil, placed(9, 0), false},
		{"drained", []sched.TaskEntry{{Kind: sched.EntryDrained, Worker: workerName(0), Drained: true}}, placed(1, 0), false},
		{"withdrawn", []sched.TaskEntry{{Kind: sched.EntryCancelled, TaskID: taskName(1)}}, placed(1, 0), false},
		{"quota reached", []sched.TaskEntry{placed(2, 1)}, quota(placed(1, 0), 999), false},
		{"quota left", []sched.TaskEntry{placed(2, 1)}, quota(placed(1, 0), 1000), true},
		{
			"worker declared dead",
			[]sched.TaskEntry{{Kind: sched.EntryDeclaredDead, Instance: workerName(0)}},
			placed(1, 0), false,
		},
		{"term ended", []sched.TaskEntry{{Kind: sched.EntryTermEnded, Term: 1}}, placed(1, 0), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStream(t)
			s.add(term("entry-0"))
			s.add(base...)
			s.add(c.given...)
			is.New(t).Equal(len(s.add(c.entry)) == 1, c.valid)
		})
	}
}

// Guards against a planner that goes on placing and expiring tasks after a newer
// term began.
func TestOnlyNewestTermDecides(t *testing.T) {
	is := is.New(t)
	s := newStream(t)
	s.add(term("entry-0"))
	s.add(workerSeen(0, 1000), accepted(1), accepted(2), placed(1, 0))
	s.add(term("entry-1"))
	is.Equal(len(s.add(placed(2, 0))), 0)
	expired := sched.TaskEntry{Kind: sched.EntryExpired, TaskID: taskName(1), Attempt: 1, Term: 1}
	is.Equal(len(s.add(expired)), 0)
	expired.Term = 3
	is.Equal(len(s.add(expired)), 1)
	is.Equal(len(s.add(withAttempt(placed(2, 0), 1, 3))), 1)
	is.Equal(len(s.ledger.Terms()), 2)
}

// Guards against runs that are billed twice or not at all when submissions and ends
// are recorded repeatedly.
func TestUsageCountsOnce(t *testing.T) {
	is := is.New(t)
	s := newStream(t)
	s.add(term("entry-0"))
	s.add(workerSeen(0, 1000), accepted(1), placed(1, 0))
	s.add(accepted(1))
	s.add(ended(1, sched.AttemptDone), ended(1, sched.AttemptDone))
	s.add(ended(1, sched.AttemptFailed), accepted(1))
	u := s.ledger.Usage("kooperatiba", at)
	is.Equal(u.Runs, int64(1))
	is.Equal(u.ProcessorMillis, time.Hour.Milliseconds()/2)
	is.Equal(s.ledger.OpenTasks(), 0)
	k, _ := s.ledger.Task(taskName(1))
	is.Equal(k.State, sched.TaskDone)
	is.Equal(s.ledger.TeamUse("acoustics"), sched.Resources{})
}

// Guards against a checkpoint that two attempts use, and against one that is lost
// because the next attempt was stopped before it ran.
func TestCheckpointBelongsToOneAttempt(t *testing.T) {
	is := is.New(t)
	s := newStream(t)
	s.add(term("entry-0"))
	s.add(workerSeen(0, 1000), accepted(1), placed(1, 0))
	written := sched.TaskEntry{
		Kind: sched.EntryCheckpointed, TaskID: taskName(1), Attempt: 1, Checkpoint: "c1", RunTime: time.Minute,
	}
	s.add(ended(1, sched.AttemptCheckpointed))
	s.add(written)
	k, _ := s.ledger.Task(taskName(1))
	is.Equal(k.Checkpoint, sched.CheckpointID("c1"))
	is.Equal(k.Evictions, 1)

	s.add(withAttempt(placed(1, 0), 2, 1))
	refused := ended(2, sched.AttemptStopped)
	refused.RunTime = 0
	s.add(refused)
	is.Equal(k.Checkpoint, sched.CheckpointID("c1")) // attempt 2 never ran

	s.add(withAttempt(placed(1, 0), 3, 1))
	is.Equal(len(s.add(written)), 0) // the checkpoint is of an older attempt
	s.add(sched.TaskEntry{Kind: sched.EntryExpired, TaskID: taskName(1), Attempt: 3, Term: 1})
	is.Equal(k.State, sched.TaskQueued)
	is.Equal(k.Checkpoint, sched.CheckpointID(""))
}

// Guards against a cancellation that frees the resources of an attempt that still
// runs, and against one that overrides a completed run.
func TestCancelWhilePlaced(t *testing.T) {
	for _, c := range []struct {
		result sched.AttemptState
		state  sched.TaskState
	}{
		{sched.AttemptStopped, sched.TaskCancelled},
		{sched.AttemptFailed, sched.TaskCancelled},
		{sched.AttemptDone, sched.TaskDone},
	} {
		is := is.New(t)
		s := newStream(t)
		s.add(term("entry-0"))
		s.add(workerSeen(0, 1000), accepted(1), placed(1, 0))
		s.add(sched.TaskEntry{Kind: sched.EntryCancelled, TaskID: taskName(1)})
		w, _ := s.ledger.Worker(workerName(0))
		is.Equal(w.Committed.Processors, int64(500)) // held until the worker reports the end
		s.add(ended(1, c.result))
		k, _ := s.ledger.Task(taskName(1))
		is.Equal(k.State, c.state)
		is.Equal(w.Committed, sched.Resources{})
	}
}

// Guards against a refusal of tasks that fit some worker, and against a refusal that
// names another capacity than the closest one.
func TestFitsEver(t *testing.T) {
	is := is.New(t)
	s := newStream(t)
	ok, _ := s.ledger.FitsAnyWorker(sched.Resources{Processors: 5000})
	is.True(ok) // no worker is known yet
	s.add(workerSeen(0, 1000), workerSeen(1, 3000))
	ok, _ = s.ledger.FitsAnyWorker(sched.Resources{Processors: 3000})
	is.True(ok)
	ok, largest := s.ledger.FitsAnyWorker(sched.Resources{Processors: 5000})
	is.True(!ok)
	is.Equal(largest.Processors, int64(3000))
	s.add(sched.TaskEntry{Kind: sched.EntryDeclaredDead, Instance: workerName(1)})
	ok, _ = s.ledger.FitsAnyWorker(sched.Resources{Processors: 3000})
	is.True(!ok)
}

// randomEntry draws an entry that is often valid in the current state.
func randomEntry(r *rapid.T, s *stream) sched.TaskEntry {
	i := rapid.IntRange(0, 8).Draw(r, "task")
	w := rapid.IntRange(0, 2).Draw(r, "worker")
	a := sched.Attempt(1)
	if k, ok := s.ledger.Task(taskName(i)); ok {
		a = k.Attempt + sched.Attempt(rapid.IntRange(0, 1).Draw(r, "next"))
	}
	e := sched.TaskEntry{
		Kind: sched.EntryKind(rapid.IntRange(1, 14).Draw(r, "kind")), TaskID: taskName(i), Task: accepted(i).Task,
		Attempt: a, Worker: workerName(w), Boot: 1, Term: s.ledger.NewestTerm(), Instance: "entry-0", Incarnation: 1,
		Capacity: sched.Resources{Processors: 1500, Memory: 60 << 30}, Ahead: rapid.Bool().Draw(r, "ahead"),
		Result: sched.AttemptState(rapid.IntRange(0, 8).Draw(r, "result")), Final: rapid.Bool().Draw(r, "final"),
		Checkpoint: "c", RunTime: time.Duration(rapid.IntRange(-1, 100).Draw(r, "run")) * time.Second,
		Drained: rapid.IntRange(0, 3).Draw(r, "drained") == 0,
	}
	if k, ok := s.ledger.Task(taskName(i)); ok && k.Worker != "" {
		e.Worker = k.Worker
	}
	if e.Kind == sched.EntryDeclaredDead {
		e.Instance = sched.InstanceID(rapid.SampledFrom([]string{"entry-0", string(workerName(w)), ""}).Draw(r, "dead"))
	}
	if e.Kind == sched.EntrySnapshot {
		e.Snapshot = s.ledger.Image()
	}
	return e
}

func encodeImage(l *ledger.Ledger) []byte {
	b, _ := codec.EncodeTaskRecord(sched.TaskRecord{
		Entries: []sched.TaskEntry{{Kind: sched.EntrySnapshot, Snapshot: l.Image()}},
	})
	return b
}

// Guards against a reader that starts at a snapshot and then differs from one that
// read the whole stream, for instance because it has missed records after the
// snapshot, and against sums per worker that don't match its tasks.
func TestSnapshotAndTail(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newStream(t)
		var log [][]byte
		images := []*sched.TaskImage{s.ledger.Image()}
		for range rapid.IntRange(5, 80).Draw(r, "records") {
			entries := make([]sched.TaskEntry, rapid.IntRange(1, 3).Draw(r, "entries"))
			for i := range entries {
				entries[i] = randomEntry(r, s)
				if entries[i].Kind == sched.EntrySnapshot {
					// The writer of the snapshot may not have read the latest records.
					entries[i].Snapshot = images[max(0, len(images)-1-rapid.IntRange(0, 5).Draw(r, "lag"))]
				}
			}
			b, err := codec.EncodeTaskRecord(sched.TaskRecord{At: at, Entries: entries})
			if err != nil {
				r.Fatal(err)
			}
			log = append(log, b)
			s.feed(b)
			images = append(images, s.ledger.Image())
			s.ledger.EachWorker(func(w *ledger.Worker) { checkSums(r, s.ledger, w) })
		}
		from := rapid.IntRange(1, len(log)).Draw(r, "from")
		late := ledger.New()
		for i := from; i <= len(log); i++ {
			record, err := codec.DecodeTaskRecord(log[i-1])
			if err != nil {
				r.Fatal(err)
			}
			if _, err := late.Apply(sched.Offset(i), &record); err != nil {
				r.Fatal(err)
			}
		}
		if late.Ready() && !bytes.Equal(encodeImage(late), encodeImage(s.ledger)) {
			r.Fatalf("reader from %d differs:\n%+v\n%+v", from, late.Image(), s.ledger.Image())
		}
	})
}

// checkSums checks that a worker's tasks are known as placed on it, and that its
// sums equal theirs and fit its capacity.
func checkSums(r *rapid.T, l *ledger.Ledger, w *ledger.Worker) {
	var committed, bound sched.Resources
	for _, k := range w.Tasks {
		if known, _ := l.Task(k.Task.ID); known != k || k.Worker != w.Worker {
			r.Fatalf("%s is listed on %s but placed on %q", k.Task.ID, w.Worker, k.Worker)
		}
		if k.State == sched.TaskBound {
			bound = bound.Plus(k.Task.Needs)
		} else {
			committed = committed.Plus(k.Task.Needs)
		}
	}
	if committed != w.Committed || bound != w.Bound || !committed.Fits(w.Capacity) {
		r.Fatalf("%s: tasks hold %+v and %+v, worker says %+v", w.Worker, committed, bound, *w)
	}
}
