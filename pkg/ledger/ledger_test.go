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

func seen(w int, processors int64) sched.TaskEntry {
	return sched.TaskEntry{
		Kind: sched.EntryWorkerSeen, Worker: workerName(w), Boot: 1,
		Capacity: sched.Resources{Processors: processors, Memory: 60 << 30, Accelerators: 1},
	}
}

func term(i sched.InstanceID) sched.TaskEntry {
	return sched.TaskEntry{Kind: sched.EntryTerm, Instance: i, Incarnation: 1}
}

// ended ends an attempt of task 1.
func ended(a sched.Attempt, r sched.AttemptState) sched.TaskEntry {
	return sched.TaskEntry{
		Kind: sched.EntryEnded, TaskID: taskName(1), Attempt: a, Result: r, RunTime: time.Hour, Reason: "exit status 1",
	}
}

// on changes the attempt and the term of a placement.
func on(e sched.TaskEntry, a sched.Attempt, t sched.Offset) sched.TaskEntry {
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

// Guards against placements that overcommit a worker, run a task twice,
// exceed a quota or come from a planner that was replaced.
func TestPlacedRules(t *testing.T) {
	base := []sched.TaskEntry{seen(0, 1000), seen(1, 1000), accepted(1), accepted(2), accepted(3)}
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
		{"wrong attempt", nil, on(placed(1, 0), 2, 1), false},
		{"old attempt", []sched.TaskEntry{placed(1, 0), ended(1, sched.AttemptFailed)}, placed(1, 0), false},
		{"next attempt", []sched.TaskEntry{placed(1, 0), ended(1, sched.AttemptFailed)}, on(placed(1, 0), 2, 1), true},
		{"no term", nil, on(placed(1, 0), 1, 0), false},
		{"unknown worker", nil, placed(1, 7), false},
		{"unknown task", nil, placed(9, 0), false},
		{"drained", []sched.TaskEntry{{Kind: sched.EntryDrained, Worker: workerName(0), Drained: true}}, placed(1, 0), false},
		{"withdrawn", []sched.TaskEntry{{Kind: sched.EntryCancelled, TaskID: taskName(1)}}, placed(1, 0), false},
		{"quota reached", []sched.TaskEntry{placed(2, 1)}, quota(placed(1, 0), 999), false},
		{"quota left", []sched.TaskEntry{placed(2, 1)}, quota(placed(1, 0), 1000), true},
		{"worker declared dead", []sched.TaskEntry{{Kind: sched.EntryDeclaredDead, Instance: workerName(0)}}, placed(1, 0), false},
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

// Guards against a planner that was replaced but goes on to place and expire.
func TestOnlyNewestTermDecides(t *testing.T) {
	is := is.New(t)
	s := newStream(t)
	s.add(term("entry-0"))
	s.add(seen(0, 1000), accepted(1), accepted(2), placed(1, 0))
	s.add(term("entry-1"))
	is.Equal(len(s.add(placed(2, 0))), 0)
	expired := sched.TaskEntry{Kind: sched.EntryExpired, TaskID: taskName(1), Attempt: 1, Term: 1}
	is.Equal(len(s.add(expired)), 0)
	expired.Term = 3
	is.Equal(len(s.add(expired)), 1)
	is.Equal(len(s.add(on(placed(2, 0), 1, 3))), 1)
	is.Equal(len(s.l.Terms()), 2)
}

// Guards against runs that are billed twice, or not at all.
func TestUsageCountsOnce(t *testing.T) {
	is := is.New(t)
	s := newStream(t)
	s.add(term("entry-0"))
	s.add(seen(0, 1000), accepted(1), placed(1, 0))
	s.add(accepted(1))
	s.add(ended(1, sched.AttemptDone), ended(1, sched.AttemptDone))
	s.add(ended(1, sched.AttemptFailed), accepted(1))
	u := s.l.Usage("kooperatiba", at)
	is.Equal(u.Runs, int64(1))
	is.Equal(u.ProcessorMillis, time.Hour.Milliseconds()/2)
	is.Equal(s.l.Open(), 0)
	k, _ := s.l.Task(taskName(1))
	is.Equal(k.State, sched.TaskDone)
	is.Equal(s.l.Team("acoustics"), sched.Resources{})
}

// Guards against a checkpoint that two attempts use, and against one that is
// lost because an attempt never came to run.
func TestCheckpointBelongsToOneAttempt(t *testing.T) {
	is := is.New(t)
	s := newStream(t)
	s.add(term("entry-0"))
	s.add(seen(0, 1000), accepted(1), placed(1, 0))
	written := sched.TaskEntry{
		Kind: sched.EntryCheckpointed, TaskID: taskName(1), Attempt: 1, Checkpoint: "c1", RunTime: time.Minute,
	}
	s.add(ended(1, sched.AttemptCheckpointed))
	s.add(written)
	k, _ := s.l.Task(taskName(1))
	is.Equal(k.Checkpoint, sched.CheckpointID("c1"))
	is.Equal(k.Evictions, 1)

	s.add(on(placed(1, 0), 2, 1))
	refused := ended(2, sched.AttemptStopped)
	refused.RunTime = 0
	s.add(refused)
	is.Equal(k.Checkpoint, sched.CheckpointID("c1")) // attempt 2 never ran

	s.add(on(placed(1, 0), 3, 1))
	is.Equal(len(s.add(written)), 0) // of an older attempt
	s.add(sched.TaskEntry{Kind: sched.EntryExpired, TaskID: taskName(1), Attempt: 3, Term: 1})
	is.Equal(k.State, sched.TaskQueued)
	is.Equal(k.Checkpoint, sched.CheckpointID(""))
}

// Guards against a withdrawn task whose attempt is forgotten, and against a
// cancellation that takes back a finished run.
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
		s.add(seen(0, 1000), accepted(1), placed(1, 0))
		s.add(sched.TaskEntry{Kind: sched.EntryCancelled, TaskID: taskName(1)})
		w, _ := s.l.Worker(workerName(0))
		is.Equal(w.Committed.Processors, int64(500)) // until the worker says that it ended
		s.add(ended(1, c.result))
		k, _ := s.l.Task(taskName(1))
		is.Equal(k.State, c.state)
		is.Equal(w.Committed, sched.Resources{})
	}
}

// Guards against a refusal of tasks that fit, and a reason that names a worker
// other than the nearest.
func TestFitsEver(t *testing.T) {
	is := is.New(t)
	s := newStream(t)
	ok, _ := s.l.FitsEver(sched.Resources{Processors: 5000})
	is.True(ok) // no worker is known yet
	s.add(seen(0, 1000), seen(1, 3000))
	ok, _ = s.l.FitsEver(sched.Resources{Processors: 3000})
	is.True(ok)
	ok, largest := s.l.FitsEver(sched.Resources{Processors: 5000})
	is.True(!ok)
	is.Equal(largest.Processors, int64(3000))
	s.add(sched.TaskEntry{Kind: sched.EntryDeclaredDead, Instance: workerName(1)})
	ok, _ = s.l.FitsEver(sched.Resources{Processors: 3000})
	is.True(!ok)
}

// randomEntry draws an entry that is often valid.
func randomEntry(r *rapid.T, s *stream) sched.TaskEntry {
	i := rapid.IntRange(0, 8).Draw(r, "task")
	w := rapid.IntRange(0, 2).Draw(r, "worker")
	a := sched.Attempt(1)
	if k, ok := s.l.Task(taskName(i)); ok {
		a = k.Attempt + sched.Attempt(rapid.IntRange(0, 1).Draw(r, "next"))
	}
	e := sched.TaskEntry{
		Kind: sched.EntryKind(rapid.IntRange(1, 14).Draw(r, "kind")), TaskID: taskName(i), Task: accepted(i).Task,
		Attempt: a, Worker: workerName(w), Boot: 1, Term: s.l.NewestTerm(), Instance: "entry-0", Incarnation: 1,
		Capacity: sched.Resources{Processors: 1500, Memory: 60 << 30}, Ahead: rapid.Bool().Draw(r, "ahead"),
		Result: sched.AttemptState(rapid.IntRange(0, 8).Draw(r, "result")), Final: rapid.Bool().Draw(r, "final"),
		Checkpoint: "c", RunTime: time.Duration(rapid.IntRange(-1, 100).Draw(r, "run")) * time.Second,
		Drained: rapid.IntRange(0, 3).Draw(r, "drained") == 0,
	}
	if k, ok := s.l.Task(taskName(i)); ok && k.Worker != "" {
		e.Worker = k.Worker
	}
	if e.Kind == sched.EntryDeclaredDead {
		e.Instance = sched.InstanceID(rapid.SampledFrom([]string{"entry-0", string(workerName(w)), ""}).Draw(r, "dead"))
	}
	if e.Kind == sched.EntrySnapshot {
		e.Snapshot = s.l.Image()
	}
	return e
}

func encodeImage(l *ledger.Ledger) []byte {
	b, _ := codec.EncodeTaskRecord(sched.TaskRecord{
		Entries: []sched.TaskEntry{{Kind: sched.EntrySnapshot, Snapshot: l.Image()}},
	})
	return b
}

// Guards against a reader that starts at a snapshot and differs from one that
// read everything, against one that takes a snapshot after which it misses
// records, and against sums that don't match the tasks.
func TestSnapshotAndTail(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newStream(t)
		var log [][]byte
		lag := []*sched.TaskImage{s.l.Image()}
		for range rapid.IntRange(5, 80).Draw(r, "records") {
			entries := make([]sched.TaskEntry, rapid.IntRange(1, 3).Draw(r, "entries"))
			for i := range entries {
				entries[i] = randomEntry(r, s)
				if entries[i].Kind == sched.EntrySnapshot {
					// The writer had read less than what is now before the record.
					entries[i].Snapshot = lag[max(0, len(lag)-1-rapid.IntRange(0, 5).Draw(r, "lag"))]
				}
			}
			b, err := codec.EncodeTaskRecord(sched.TaskRecord{At: at, Entries: entries})
			if err != nil {
				r.Fatal(err)
			}
			log = append(log, b)
			s.feed(b)
			lag = append(lag, s.l.Image())
			s.l.EachWorker(func(w *ledger.Worker) { checkSums(r, s.l, w) })
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
		if late.Ready() && !bytes.Equal(encodeImage(late), encodeImage(s.l)) {
			r.Fatalf("reader from %d differs:\n%+v\n%+v", from, late.Image(), s.l.Image())
		}
	})
}

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
