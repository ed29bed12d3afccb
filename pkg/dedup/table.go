package dedup

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Status is the stage that an id has reached according to the log.
type Status int

// Statuses of an id.
const (
	// StatusFree means that no claim holds the id.
	StatusFree Status = iota
	// StatusOpen means that a claim holds the id and has no recorded outcome.
	StatusOpen
	// StatusFinished means that the outcome is recorded.
	StatusFinished
)

// State is the state of an id after the records that the table has applied.
type State struct {
	Status Status
	// Nonce is the nonce of the winning intent of an open or finished id.
	Nonce uint64
	// Outcome and Answer are set for a finished id.
	Outcome sched.Outcome
	Answer  AnswerRef
}

// liveIntent is the winning intent of an id, with its outcome once that is
// recorded. The fields are narrow because there is one value per id in memory.
type liveIntent struct {
	nonce  uint64
	offset int64
	index  uint16
	// outcome is a sched.Outcome, 0 while none is recorded.
	outcome uint8
}

// abandonedKey identifies a claim that was abandoned.
type abandonedKey struct {
	id    ID
	nonce uint64
}

// bucketWidth is the granularity of expiry. Entries may be kept up to one width
// longer than needed, which is harmless.
const bucketWidth = time.Minute

// bucket lists the entries whose ids have their time in the same interval of one
// bucketWidth. They expire together.
type bucket struct {
	ids       []ID
	abandoned []abandonedKey
}

// Table is the state of one shard, replayed from its intent stream. It isn't safe
// for concurrent use.
type Table struct {
	// Window is the age up to which ids are accepted, ClockBound the largest
	// difference between two clocks. Both may change: ids whose entries were
	// dropped under a shorter window stay refused under a longer one.
	Window     time.Duration
	ClockBound time.Duration

	next      sched.Offset
	live      map[ID]liveIntent
	abandoned map[abandonedKey]struct{}
	buckets   map[int64]*bucket
	// expiredBucket is the bucket number up to which buckets have been dropped.
	expiredBucket int64
	// forgottenTo is a time inside ids: for ids up to this time entries may be
	// missing from the table, either because their records were trimmed or
	// because they expired under the window in force at that moment.
	forgottenTo time.Time
	// latestTime is the latest time that any call has passed.
	latestTime time.Time
}

// Next returns the offset of the next record to apply.
func (t *Table) Next() sched.Offset { return max(t.next, 1) }

// Len returns the number of ids and of abandoned claims in memory.
func (t *Table) Len() (ids, abandoned int) { return len(t.live), len(t.abandoned) }

// Check returns the code with which an id of the given time is refused, or 0 if
// it is accepted. It has to be called again when a claim is decided, not only
// when the request arrives, because the entries of older ids are dropped in
// between.
func (t *Table) Check(idTime, now time.Time) sched.Code {
	now = t.clamp(now)
	switch {
	case idTime.Before(now.Add(-t.Window)):
		return sched.CodeIDTooOld
	case idTime.After(now.Add(t.ClockBound)):
		return sched.CodeIDFromFuture
	case !idTime.After(t.forgottenTo):
		return sched.CodeIDTooOld
	}
	return 0
}

// clamp returns the later of now and the latest time seen so far, so that an
// expired id stays expired even if the clock runs backwards.
func (t *Table) clamp(now time.Time) time.Time {
	if now.After(t.latestTime) {
		t.latestTime = now
	}
	return t.latestTime
}

// SkipTrimmed continues at next because the log no longer retains the records before
// it. first is the oldest retained record, nil if there is none. Ids that a
// trimmed record may contain are refused from then on. If the log retains
// records for longer than the window, these ids are too old anyway.
func (t *Table) SkipTrimmed(next sched.Offset, first *Batch, now time.Time) {
	if next <= t.Next() {
		return
	}
	t.next = next
	edge := t.clamp(now)
	if first != nil && first.WrittenAt.Before(edge) {
		edge = first.WrittenAt
	}
	// The time in an id may be ahead of the clock of the record's writer by one
	// clock bound, and that clock ahead of the clock of the first retained
	// record's writer by another.
	t.raiseForgotten(edge.Add(2 * t.ClockBound))
}

// raiseForgotten moves forgottenTo to the given time unless it is later already.
func (t *Table) raiseForgotten(to time.Time) {
	if to.After(t.forgottenTo) {
		t.forgottenTo = to
	}
}

// Apply applies the record at the given offset. It has no effect on a record that
// was applied before. It returns false if the record doesn't follow the last
// applied one, that is, if records in between are missing.
func (t *Table) Apply(offset sched.Offset, b Batch, now time.Time) bool {
	if offset != t.Next() {
		return offset < t.Next()
	}
	t.next = offset + 1
	now = t.clamp(now)
	if t.live == nil {
		t.live, t.abandoned, t.buckets = map[ID]liveIntent{}, map[abandonedKey]struct{}{}, map[int64]*bucket{}
	}
	t.dropExpired(now)
	for _, e := range b.Entries {
		if t.expired(e.IDTime, now) {
			continue
		}
		t.applyEntry(e)
	}
	return true
}

// applyEntry applies one entry that has not expired.
func (t *Table) applyEntry(e Entry) {
	c := abandonedKey{e.ID, e.Nonce}
	l, known := t.live[e.ID]
	switch e.Kind {
	case KindIntent:
		if _, abandoned := t.abandoned[c]; abandoned || known {
			return
		}
		t.live[e.ID] = liveIntent{nonce: e.Nonce}
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
		if _, abandoned := t.abandoned[c]; !abandoned {
			t.abandoned[c] = struct{}{}
			b := t.bucket(e.IDTime)
			b.abandoned = append(b.abandoned, c)
		}
	}
}

// State returns the state of an id after the applied records.
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

// MaySend reports whether the claim with this nonce holds the id after the applied
// records, has no outcome yet, and is still young enough for the request to be
// sent.
func (t *Table) MaySend(i ID, nonce uint64, idTime, now time.Time) bool {
	l, known := t.live[i]
	return known && l.nonce == nonce && l.outcome == 0 && t.Check(idTime, now) == 0
}

// retention returns how long the entries of an id are kept after the time inside
// the id. Check refuses an id one clock bound earlier.
func (t *Table) retention() time.Duration { return t.Window + t.ClockBound }

func (t *Table) expired(idTime, now time.Time) bool { return now.Sub(idTime) > t.retention() }

// bucket returns the bucket of ids of the given time and creates it if necessary.
func (t *Table) bucket(idTime time.Time) *bucket {
	k := idTime.UnixNano() / int64(bucketWidth)
	b := t.buckets[k]
	if b == nil {
		b = &bucket{}
		t.buckets[k] = b
	}
	return b
}

// dropExpired drops the buckets of which all entries have expired. It raises
// forgottenTo first, so that no id is accepted whose entries are missing.
func (t *Table) dropExpired(now time.Time) {
	t.raiseForgotten(now.Add(-t.retention()))
	edge := now.Add(-t.retention()).UnixNano()/int64(bucketWidth) - 1
	if edge <= t.expiredBucket {
		return
	}
	t.expiredBucket = edge
	for k, b := range t.buckets {
		if k > edge {
			continue
		}
		for _, i := range b.ids {
			delete(t.live, i)
		}
		for _, c := range b.abandoned {
			delete(t.abandoned, c)
		}
		delete(t.buckets, k)
	}
}
