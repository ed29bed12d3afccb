package codec

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

func drawTask(t *rapid.T) sched.Task {
	return sched.Task{
		ID: sched.TaskID(rapid.String().Draw(t, "id")), Kind: "sweep", Partner: "p", Team: rapid.String().Draw(t, "team"),
		Urgency: sched.UrgencyUrgent, Needs: drawResources(t), RunTime: time.Duration(rapid.Int64().Draw(t, "run")),
		SubmittedAt: time.Unix(0, rapid.Int64Range(1, 1<<62).Draw(t, "at")).UTC(),
	}
}

func drawResources(t *rapid.T) sched.Resources {
	n := func(name string) int64 { return rapid.Int64().Draw(t, name) }
	return sched.Resources{Processors: n("processors"), Memory: n("memory"), Accelerators: n("accelerators")}
}

func drawImage(t *rapid.T) *sched.TaskImage {
	status := sched.TaskStatus{
		Task: drawTask(t), State: sched.TaskBound, Accepted: 3, Attempt: 4, Worker: "w", Term: 5, Started: true,
		CancelRequested: true, Checkpoint: "c", CheckpointOf: 3, Progress: 7, Evictions: 8, Failures: 9, Reason: "r", LastWorker: "l",
	}
	return &sched.TaskImage{
		AsOf: 1, NewestTerm: 2, Tasks: []sched.TaskStatus{status}, Ended: []sched.TaskStatus{status},
		Workers: []sched.WorkerStatus{{
			Worker: "w", Rack: "r", Boot: 1, Capacity: drawResources(t), Drained: true, Placed: []sched.TaskID{"a", "b"},
		}},
		Terms:  []sched.TermStatus{{Term: 2, Instance: "e", Incarnation: 3}},
		Usage:  []sched.PartnerUsage{{Partner: "p", Month: 202603, Runs: 4, ProcessorMillis: 5}},
		Scores: []byte{1, 2},
	}
}

// Guards against a field that the codec leaves out or maps to another field.
func TestTaskRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := sched.TaskRecord{
			Writer: "entry-0", Incarnation: 7, Serial: 8, At: time.Unix(0, 9).UTC(),
			Entries: []sched.TaskEntry{
				{Kind: sched.EntryAccepted, Task: drawTask(t)},
				{
					Kind: sched.EntryEnded, TaskID: "t", Attempt: 2, Worker: "w", Boot: 3, Rack: "r", Capacity: drawResources(t),
					Term: 4, Ahead: true, Quota: drawResources(t), Result: sched.AttemptFailed, RunTime: 5, Final: true,
					Reason: "x", Checkpoint: "c", Drained: true, Instance: "i", Incarnation: 6,
				},
				{Kind: sched.EntrySnapshot, Snapshot: drawImage(t)},
			},
		}
		b, err := EncodeTaskRecord(in)
		if err != nil {
			t.Fatal(err)
		}
		out, err := DecodeTaskRecord(b)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(in, out) {
			t.Fatalf("%+v became %+v", in, out)
		}
	})
}

// Guards against a new field that the round trip test doesn't set, so that it would
// not notice if the codec left the field out.
func TestEntryFieldsAreCovered(t *testing.T) {
	is := is.New(t)
	is.Equal(reflect.TypeFor[sched.TaskEntry]().NumField(), 20)
	is.Equal(reflect.TypeFor[sched.TaskStatus]().NumField(), 15)
	is.Equal(reflect.TypeFor[sched.TaskImage]().NumField(), 8)
}

// FuzzDecodeTaskRecord guards against bytes that stop every reader of a task
// stream. Decoding must not panic, and a decoded record must be equal after it is
// encoded and decoded again.
func FuzzDecodeTaskRecord(f *testing.F) {
	seed, _ := EncodeTaskRecord(sched.TaskRecord{Writer: "e", Entries: []sched.TaskEntry{
		{Kind: sched.EntryAccepted, Task: sched.Task{ID: "t"}},
		{Kind: sched.EntrySnapshot, Snapshot: &sched.TaskImage{Tasks: []sched.TaskStatus{{State: 1}}}},
	}})
	f.Add(seed)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeTaskRecord(b)
		if err != nil {
			return
		}
		for k := range r.Entries {
			if r.Entries[k].Kind != sched.EntryAccepted {
				r.Entries[k].Task = sched.Task{} // only encoded for EntryAccepted
			}
		}
		again, err := EncodeTaskRecord(r)
		if err != nil {
			t.Fatal(err)
		}
		out, err := DecodeTaskRecord(again)
		if err != nil || !reflect.DeepEqual(r, out) {
			t.Fatalf("%+v became %+v (%v)", r, out, err)
		}
	})
}
