package dedup

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Status is what the log says about an id.
type Status int

// States of an id.
const (
	StatusFree Status = iota
	StatusOpen
	StatusFinished
)

// State is the state of an id at the offset up to which the table has read.
type State struct {
	Status Status
	// Nonce is that of the winning intent of an open or finished id.
	Nonce   uint64
	Outcome sched.Outcome
	Answer  AnswerRef
}

// live is the compact form of the winning intent of an id.
type live struct {
	nonce   uint64
	offset  int64
	index   uint16
	outcome uint8
}

// voidKey names a claim that was given up.
type voidKey struct {
	id    ID
	nonce uint64
}

// bucketWidth is the granularity of expiry. Entries live up to one width
// longer than needed, which is harmless.
const bucketWidth = time.Minute

type bucket struct {
	ids   []ID
	voids []voidKey
}

// Table is the replay of one shard. It isn't safe for concurrent use.
type Table struct {
	// Window is the age up to which ids are accepted, ClockBound the largest
	// difference between two clocks. Both may change: ids that were forgotten
	// under a shorter window stay refused under a longer one.
	Window     time.Duration
	ClockBound time.Duration

	next    sched.Offset
	live    map[ID]live
	void    map[voidKey]struct{}
	buckets map[int64]*bucket
	swept   int64
	// floor is the time up to which ids can be forgotten: those of trimmed
	// records, and those that expired under the window in force at the time.
	floor  time.Time
	latest time.Time
}

// Next returns the offset of the first record that was not applied yet.
func (t *Table) Next() sched.Offset { return max(t.next, 1) }

// Len returns the number of ids and of void claims in memory.
func (t *Table) Len() (ids, voids int) { return len(t.live), len(t.void) }

// Check returns the code that refuses an id of the given time, or 0. It must
// hold at the decision, not only when the request arrives, because entries of
// older ids are dropped.
func (t *Table) Check(idTime, now time.Time) sched.Code {
	now = t.clamp(now)
	switch {
	case idTime.Before(now.Add(-t.Window)):
		return sched.CodeIDTooOld
	case idTime.After(now.Add(t.ClockBound)):
		return sched.CodeIDFromFuture
	case !idTime.After(t.floor):
		return sched.CodeIDTooOld
	}
	return 0
}

// clamp keeps time from running backwards, since an expired id must stay
// expired.
func (t *Table) clamp(now time.Time) time.Time {
	if now.After(t.latest) {
		t.latest = now
	}
	return t.latest
}

// Skip tells that the records before next are gone from the log. first is the
// oldest record that is left, nil if there is none. Ids that a trimmed record
// may hold are refused from then on; if the log retains its records for longer
// than the window, these ids are too old anyway.
func (t *Table) Skip(next sched.Offset, first *Batch, now time.Time) {
	if next <= t.Next() {
		return
	}
	t.next = next
	edge := t.clamp(now)
	if first != nil && first.WrittenAt.Before(edge) {
		edge = first.WrittenAt
	}
	// An id can be ahead of its writer's clock by one bound, and the writer of
	// a trimmed record ahead of the writer of the first one by another.
	t.raise(edge.Add(2 * t.ClockBound))
}

func (t *Table) raise(floor time.Time) {
	if floor.After(t.floor) {
		t.floor = floor
	}
}

// Apply replays the record at the given offset. A record that was applied
// before is a no-op. It returns false if records before it are missing.
func (t *Table) Apply(offset sched.Offset, b Batch, now time.Time) bool {
	if offset != t.Next() {
		return offset < t.Next()
	}
	t.next = offset + 1
	now = t.clamp(now)
	if t.live == nil {
		t.live, t.void, t.buckets = map[ID]live{}, map[voidKey]struct{}{}, map[int64]*bucket{}
	}
	t.forget(now)
	for _, e := range b.Entries {
		if t.expired(e.IDTime, now) {
			continue
		}
		t.step(e)
	}
	return true
}

func (t *Table) step(e Entry) {
	c := voidKey{e.ID, e.Nonce}
	l, known := t.live[e.ID]
	switch e.Kind {
	case KindIntent:
		if _, void := t.void[c]; void || known {
			return
		}
		t.live[e.ID] = live{nonce: e.Nonce}
		b := t.bucket(e.IDTime)
		b.ids = append(b.ids, e.ID)
	case KindOutcome:
		if !known || l.nonce != e.Nonce || l.outcome != 0 {
			return
		}
		l.outcome, l.offset, l.index = uint8(e.Outcome), int64(e.Answer.Offset), uint16(e.Answer.Index)
		t.live[e.ID] = l
	case KindAbandoned:
		if known && l.nonce == e.Nonce && l.outcome == 0 {
			delete(t.live, e.ID)
		}
		if _, void := t.void[c]; !void {
			t.void[c] = struct{}{}
			b := t.bucket(e.IDTime)
			b.voids = append(b.voids, c)
		}
	}
}

// State returns what the log says about an id.
func (t *Table) State(i ID) State {
	l, known := t.live[i]
	switch {
	case !known:
		return State{}
	case l.outcome == 0:
		return State{Status: StatusOpen, Nonce: l.nonce}
	}
	return State{
		Status: StatusFinished, Nonce: l.nonce, Outcome: sched.Outcome(l.outcome),
		Answer: AnswerRef{sched.Offset(l.offset), int(l.index)},
	}
}

// Wins tells whether the claim with this nonce holds the id at the offset up
// to which the table has read, and is still young enough to be sent.
func (t *Table) Wins(i ID, nonce uint64, idTime, now time.Time) bool {
	l, known := t.live[i]
	return known && l.nonce == nonce && l.outcome == 0 && t.Check(idTime, now) == 0
}

// keep is how long entries of an id are kept after the time of the id. Check
// refuses an id one clock bound earlier.
func (t *Table) keep() time.Duration { return t.Window + t.ClockBound }

func (t *Table) expired(idTime, now time.Time) bool { return now.Sub(idTime) > t.keep() }

func (t *Table) bucket(idTime time.Time) *bucket {
	k := idTime.UnixNano() / int64(bucketWidth)
	b := t.buckets[k]
	if b == nil {
		b = &bucket{}
		t.buckets[k] = b
	}
	return b
}

// forget drops the buckets whose newest entry has expired. It notes how far
// ids may be forgotten before any of them is.
func (t *Table) forget(now time.Time) {
	t.raise(now.Add(-t.keep()))
	edge := now.Add(-t.keep()).UnixNano()/int64(bucketWidth) - 1
	if edge <= t.swept {
		return
	}
	t.swept = edge
	for k, b := range t.buckets {
		if k > edge {
			continue
		}
		for _, i := range b.ids {
			delete(t.live, i)
		}
		for _, c := range b.voids {
			delete(t.void, c)
		}
		delete(t.buckets, k)
	}
}
