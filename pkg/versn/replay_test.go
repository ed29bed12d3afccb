package versn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/versn"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// stream simulates the stream "config", whose oldest records can be trimmed.
type stream struct {
	records  []sched.Record
	earliest sched.Offset
}

func (s *stream) append(e versn.Entry) sched.Offset {
	data, err := codec.EncodeConfig(e)
	if err != nil {
		panic(err)
	}
	o := sched.Offset(len(s.records) + 1)
	s.records = append(s.records, sched.Record{Offset: o, Data: data})
	return o
}

func (s *stream) first() sched.Offset { return max(s.earliest, 1) }

// read lets a replay read to the end of the stream.
func (s *stream) read(now time.Time, r *versn.Replay) {
	for range 10_000 {
		from := r.Next()
		if from < s.first() {
			r.Trimmed(s.first())
			continue
		}
		end := sched.Offset(len(s.records) + 1)
		to := min(from+sched.Offset(r.Limit()), end)
		r.LogReached(now)
		r.Page(now, sched.Page{Records: s.records[from-1 : max(to, from)-1], Earliest: s.first(), Next: end})
		if r.Next() >= end {
			return
		}
	}
}

func newReplay(id sched.InstanceID) *versn.Replay {
	return versn.New(versn.Options{Self: id, Retention: 24 * time.Hour, Decode: codec.DecodeConfig})
}

func document(text string) config.Document {
	d, err := config.Decode([]byte(text))
	if err != nil {
		panic(err)
	}
	return d
}

func patch(id string, base sched.Offset, from, to config.Document) versn.Entry {
	return versn.Entry{Patch: &versn.Patch{
		ID: id, Base: base, Changes: config.NewPatch(from, to).Bytes(), Hash: to.Hash(), Operator: "op-" + id,
	}}
}

// Guards against two concurrent patches of the same base that both come into
// force, and against a patch that takes effect twice because its append was
// retried after a lost acknowledgement.
func TestFirstPatchInLogOrderWins(t *testing.T) {
	i := is.New(t)
	empty, one, two := config.Document{}, document(`{"a":"1"}`), document(`{"b":"2"}`)
	s := &stream{}
	first := s.append(patch("x", 0, empty, one))
	s.append(patch("y", 0, empty, two))
	s.append(patch("x", 0, empty, one))
	s.append(versn.Entry{Patch: &versn.Patch{ID: "z", Base: first, Changes: []byte(`{"c":"3"}`)}})
	r := newReplay("i")
	s.read(epoch, r)
	v, doc := r.InForce()
	i.Equal(v, first)
	i.Equal(doc.Hash(), one.Hash())
	i.Equal(r.Answer("x").Verdict, versn.Accepted)
	i.Equal(r.Answer("x").Offset, first)
	i.Equal(r.Answer("z").Verdict, versn.Invalid) // the hash doesn't match
	i.Equal(r.Answer("w").Verdict, versn.NotSeen)
	y := r.Answer("y")
	i.Equal(y.Verdict, versn.Conflict)
	i.Equal(y.InForce, first)
	i.Equal(y.PatchChanges, []config.Change{{Field: "b", New: `"2"`}})
	i.Equal(y.ConcurrentChanges, []config.Change{{Field: "a", New: `"1"`}})
}

// grow appends n patches that are accepted and returns the newest version.
func grow(s *stream, r *versn.Replay, n int) sched.Offset {
	for k := range n {
		s.read(epoch, r)
		base, from := r.InForce()
		s.append(patch(fmt.Sprintf("g%d-%d", len(s.records), k), base, from, document(fmt.Sprintf(`{"n":"%d"}`, len(s.records)))))
	}
	s.read(epoch, r)
	v, _ := r.InForce()
	return v
}

// Guards against a new reader that starts from a snapshot although records after
// the snapshot's ReadTo have been trimmed.
func TestFreshReaderNeedsAllRecordsAfterTheSnapshot(t *testing.T) {
	i := is.New(t)
	s, writer := &stream{}, newReplay("writer")
	grow(s, writer, 30)
	snap := writer.Snapshot(epoch)
	between := grow(s, writer, 5)
	s.append(versn.Entry{Snapshot: &snap})
	last := grow(s, writer, 700)

	s.earliest = snap.ReadTo + 1
	r := newReplay("fresh")
	s.read(epoch, r)
	v, doc := r.InForce()
	_, want := writer.InForce()
	i.Equal(v, last)
	i.Equal(doc.Hash(), want.Hash())

	s.earliest = snap.ReadTo + 2 // the first record that the snapshot needs is trimmed
	r = newReplay("late")
	s.read(epoch, r)
	v, _ = r.InForce()
	i.Equal(v, sched.Offset(0))
	i.True(!r.Ready(epoch))
	i.True(between > snap.ReadTo)
	i.True(r.TakeCopy(writer.Copy())) // a peer's copy provides the document
	grow(s, writer, 1)
	s.read(epoch, r)
	got, _ := r.InForce()
	i.Equal(got, last+1)
	i.True(r.Ready(epoch))
}

// Guards against a version in force that decreases, because of a stale copy from
// a peer or of a gap in the log.
func TestVersionNeverFalls(t *testing.T) {
	i := is.New(t)
	s, r := &stream{}, newReplay("i")
	grow(s, r, 3)
	stale := r.Copy()
	last := grow(s, r, 3)
	i.True(!r.TakeCopy(stale))
	v, _ := r.InForce()
	i.Equal(v, last)
	other := newReplay("other")
	i.True(other.TakeCopy(r.Copy()))
	i.True(!other.TakeCopy(stale))
	s.earliest = last + 1
	s.append(patch("nobase", 0, config.Document{}, config.Document{}))
	other.Trimmed(last + 2)
	v, _ = other.InForce()
	i.Equal(v, last)

	// A peer's copy is newer than the records read from the log.
	s, behind := &stream{}, newReplay("behind")
	grow(s, behind, 3)
	ahead := newReplay("ahead")
	newest := grow(s, ahead, 40)
	i.True(behind.TakeCopy(ahead.Copy()))
	next := behind.Next()
	i.True(!behind.Page(epoch, sched.Page{Records: s.records[next-1 : next+9], Earliest: 1, Next: newest + 1}))
	v, _ = behind.InForce()
	i.Equal(v, newest)
}

// Guards against records that are trimmed before the next snapshot is written, and
// against a snapshot that makes the next one due.
func TestSnapshotIsDueBeforeRetentionEnds(t *testing.T) {
	i := is.New(t)
	s, r := &stream{}, newReplay("i")
	grow(s, r, 2)
	i.True(r.SnapshotDue(epoch, true)) // the stream has no snapshot yet
	i.True(!r.SnapshotDue(epoch, false))
	snap := r.Snapshot(epoch)
	i.True(!r.SnapshotDue(epoch, true)) // the record has not been read back
	s.append(versn.Entry{Snapshot: &snap})
	s.read(epoch, r)
	s.earliest = 3 // only the snapshot's record is retained
	s.read(epoch, r)
	i.True(!r.SnapshotDue(epoch.Add(11*time.Hour), true))
	i.True(r.SnapshotDue(epoch.Add(13*time.Hour), true))
	i.True(!r.SnapshotDue(epoch.Add(13*time.Hour), false))
	i.True(r.SnapshotDue(epoch.Add(19*time.Hour), false))
	grow(s, r, 300)
	i.True(r.SnapshotDue(epoch.Add(time.Hour), true))
}

// Guards against an instance that stays unanchored after the log was trimmed past
// its position. It already has the newest version in force, so it would never
// fetch a copy.
func TestGapWithTheNewestVersionAsksForACopy(t *testing.T) {
	i := is.New(t)
	s, writer, cut := &stream{}, newReplay("writer"), newReplay("cut")
	grow(s, writer, 3)
	s.read(epoch, cut)
	newest := grow(s, writer, 3)
	i.True(cut.TakeNews(sched.ConfigNews{AsOf: newest, Steps: news(s, 3, newest)}))
	s.append(versn.Entry{Patch: &versn.Patch{ID: "conflict"}})
	s.append(versn.Entry{Patch: &versn.Patch{ID: "conflict again"}})
	s.read(epoch, writer)
	s.earliest = newest + 2
	s.read(epoch, cut)
	i.True(!cut.CaughtUp())
	i.True(cut.ShouldFetchCopy(epoch, newest))
	i.True(!cut.TakeCopy(writer.Copy())) // the same version, which now anchors the replay
	i.True(cut.CaughtUp())
	i.True(!cut.ShouldFetchCopy(epoch.Add(time.Hour), newest))
}

// news returns the changes after one version, up to and including another.
func news(s *stream, after, to sched.Offset) []sched.ConfigStep {
	var steps []sched.ConfigStep
	for o := after + 1; o <= to; o++ {
		e, _ := codec.DecodeConfig(s.records[o-1].Data)
		steps = append(steps, sched.ConfigStep{Base: o - 1, Version: o, Changes: e.Patch.Changes, Hash: e.Patch.Hash})
	}
	return steps
}
