package dedup

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Claim is the attempt of one holder to become the only one that sends the
// request with an id.
type Claim struct {
	ID     ID
	Nonce  uint64
	IDTime time.Time
}

// Verdict is the decision on a claim.
type Verdict struct {
	Claim   Claim
	Granted bool
	// Code is the reason why the claim isn't granted: CodeAnsweredBefore,
	// CodeFailedByBackend, CodeUnknown or CodeUnknownInProgress if another claim
	// holds or held the id, a code in the 400s if nothing was sent.
	Code sched.Code
	// Answer is the position of the kept answer of a finished id.
	Answer AnswerRef
}

// AppendResult is the result of appending a batch to the log.
type AppendResult int

// Results of appends.
const (
	// AppendSucceeded means that the record is in the log.
	AppendSucceeded AppendResult = iota + 1
	// AppendFailed means that the record isn't in the log and never will be.
	AppendFailed
	// AppendUncertain means that the record may be in the log or may still be
	// added.
	AppendUncertain
)

const (
	// maxBatchEntries limits the number of entries in one record.
	maxBatchEntries = 256
	// maxQueuedEntries limits the number of entries that wait for an append. When
	// it is reached, claims are refused, and other entries are dropped. The ids of
	// dropped entries stay open, so a repeated request gets "unknown", which is
	// true after an outcome was dropped and safe in any case.
	maxQueuedEntries = 50_000
	// maxWaitingClaims limits the number of undecided claims to those of 64 full
	// records. If four instances share 120 appends a second, these take about two
	// seconds.
	maxWaitingClaims = maxBatchEntries * 64
	// outageRefusal is how long new claims are refused at once after a failed
	// append. After that a claim is accepted again, because without claims there
	// may be no append that could show that the log is back.
	outageRefusal = 250 * time.Millisecond
)

// queuedEntry is an entry that has to be appended to the log.
type queuedEntry struct {
	entry Entry
	// mayBeLogged is set once an append with an uncertain result contained the
	// entry.
	mayBeLogged bool
}

// Holder is the state of one instance in one shard: its undecided claims, the
// entries that it has to append, and the replay that decides on the claims. It
// does no I/O and isn't safe for concurrent use.
type Holder struct {
	// Table is configured before use.
	Table
	// Incarnation is the instance's incarnation. Nonce returns numbers that never
	// repeat. Both are set before use.
	Incarnation sched.Incarnation
	Nonce       func() uint64

	// waiting holds the undecided claims by nonce.
	waiting map[uint64]Claim
	// queue holds the entries for the next records, inFlight those of the record
	// that is being appended.
	queue    []queuedEntry
	inFlight []queuedEntry
	// refuseUntil is the end of the period after a failed append in which claims
	// are refused at once.
	refuseUntil time.Time
	// dropped is the number of entries that were dropped because queue was full.
	dropped int
}

// Claim starts a claim to an id. If decided is set, the verdict is final;
// otherwise a later call of Appended or Apply returns it. During an outage of
// the log, a claim is refused unless the id is known to be finished.
func (h *Holder) Claim(i ID, idTime, now time.Time) (v Verdict, decided bool) {
	c := Claim{ID: i, IDTime: idTime}
	if code := h.Check(idTime, now); code != 0 {
		return Verdict{Claim: c, Code: code}, true
	}
	s := h.State(i)
	switch {
	case s.Status == StatusFinished:
		return finishedVerdict(c, s), true
	case now.Before(h.refuseUntil):
		return h.refusal(c), true
	case len(h.queue) >= maxQueuedEntries || len(h.waiting) >= maxWaitingClaims:
		return Verdict{Claim: c, Code: sched.CodeOverloaded}, true
	}
	c.Nonce = h.Nonce()
	if h.waiting == nil {
		h.waiting = map[uint64]Claim{}
	}
	h.waiting[c.Nonce] = c
	h.enqueue(Entry{Kind: KindIntent, ID: i, Nonce: c.Nonce, Holder: h.Incarnation, IDTime: idTime})
	return Verdict{Claim: c}, false
}

// finishedVerdict returns the verdict on a claim to a finished id. Its code is
// CodeUnknown unless the request was answered or failed.
func finishedVerdict(c Claim, s State) Verdict {
	v := Verdict{Claim: c, Answer: s.Answer, Code: sched.CodeUnknown}
	switch s.Outcome {
	case sched.OutcomeAnswered:
		v.Code = sched.CodeAnsweredBefore
	case sched.OutcomeFailed:
		v.Code = sched.CodeFailedByBackend
	case sched.OutcomeUnknown, sched.OutcomeRefusedNotRun:
	}
	return v
}

// refusal returns the verdict on a claim that ends without a decision from the
// log. If another claim is known to hold the id, the verdict must not be "not
// run", because that claim's request may have run.
func (h *Holder) refusal(c Claim) Verdict {
	if s := h.State(c.ID); s.Status == StatusOpen && s.Nonce != c.Nonce {
		return Verdict{Claim: c, Code: sched.CodeUnknownInProgress}
	}
	return Verdict{Claim: c, Code: sched.CodeLogUnavailable}
}

// Abandon abandons a claim that is undecided, or that was granted but not sent,
// and returns the verdict for its caller. The claim can't win afterwards.
func (h *Holder) Abandon(c Claim) Verdict {
	_, waits := h.waiting[c.Nonce]
	delete(h.waiting, c.Nonce)
	for n, q := range h.queue {
		if !waits {
			break
		}
		if q.entry.Kind == KindIntent && q.entry.Nonce == c.Nonce && !q.mayBeLogged {
			h.queue = append(h.queue[:n:n], h.queue[n+1:]...)
			return h.refusal(c)
		}
	}
	h.enqueue(Entry{Kind: KindAbandoned, ID: c.ID, Nonce: c.Nonce, IDTime: c.IDTime})
	return h.refusal(c)
}

// RecordOutcome queues the outcome of a granted claim's request, and the position of its
// kept answer, for the next record.
func (h *Holder) RecordOutcome(c Claim, o sched.Outcome, a AnswerRef) {
	h.enqueue(Entry{Kind: KindOutcome, ID: c.ID, Nonce: c.Nonce, IDTime: c.IDTime, Outcome: o, Answer: a})
}

func (h *Holder) enqueue(e Entry) {
	if len(h.queue) >= maxQueuedEntries {
		h.dropped++
		return
	}
	h.queue = append(h.queue, queuedEntry{entry: e})
}

// Pending returns the number of entries that are queued or being appended, and
// the total number of entries that were dropped because the queue was full.
func (h *Holder) Pending() (entries, dropped int) { return len(h.queue) + len(h.inFlight), h.dropped }

// Next returns the next record to append. It returns false if there is nothing to
// append or the append of the previous record has not ended.
func (h *Holder) Next(now time.Time) (Batch, bool) {
	if len(h.queue) == 0 || len(h.inFlight) > 0 {
		return Batch{}, false
	}
	n := min(len(h.queue), maxBatchEntries)
	h.inFlight = append(h.inFlight, h.queue[:n]...)
	h.queue = h.queue[n:]
	b := Batch{WrittenAt: now, Entries: make([]Entry, n)}
	for i, f := range h.inFlight {
		b.Entries[i] = f.entry
	}
	return b, true
}

// Appended processes the result of appending the record from Next and returns
// the verdicts on claims that are decided by it. Entries are idempotent, so those
// of an uncertain append are appended again with the next record.
func (h *Holder) Appended(a AppendResult, now time.Time) []Verdict {
	var verdicts []Verdict
	inFlight := h.inFlight
	h.inFlight = nil
	if a == AppendSucceeded {
		return nil
	}
	if a == AppendFailed {
		h.refuseUntil = now.Add(outageRefusal)
	}
	again := make([]queuedEntry, 0, len(inFlight)+len(h.queue))
	for _, f := range inFlight {
		c, waits := h.waiting[f.entry.Nonce]
		intent := f.entry.Kind == KindIntent
		switch {
		case intent && !waits:
			// The claim was abandoned or decided in the meantime.
			continue
		case intent && a == AppendFailed && !f.mayBeLogged:
			delete(h.waiting, c.Nonce)
			verdicts = append(verdicts, h.refusal(c))
			continue
		}
		f.mayBeLogged = f.mayBeLogged || a == AppendUncertain
		again = append(again, f)
	}
	h.queue = append(again, h.queue...)
	return verdicts
}

// Apply applies the record at the given offset and returns the verdicts on the
// holder's own claims in it. It returns false if records before it are missing.
func (h *Holder) Apply(offset sched.Offset, b Batch, now time.Time) ([]Verdict, bool) {
	if !h.Table.Apply(offset, b, now) {
		return nil, false
	}
	var verdicts []Verdict
	for _, e := range b.Entries {
		if e.Kind != KindIntent {
			continue
		}
		c, waits := h.waiting[e.Nonce]
		if !waits || c.ID != e.ID {
			continue
		}
		delete(h.waiting, c.Nonce)
		verdicts = append(verdicts, h.decide(c, now))
	}
	return verdicts, true
}

// decide returns the verdict on a claim whose intent has been applied.
func (h *Holder) decide(c Claim, now time.Time) Verdict {
	s := h.State(c.ID)
	switch {
	case h.MaySend(c.ID, c.Nonce, c.IDTime, now):
		return Verdict{Claim: c, Granted: true}
	case s.Status == StatusOpen && s.Nonce != c.Nonce:
		return Verdict{Claim: c, Code: sched.CodeUnknownInProgress}
	case s.Status == StatusFinished:
		return finishedVerdict(c, s)
	}
	// Nobody holds the id. Either it became too old before the intent was
	// applied, or the same record also contains the abandoned entry of the claim
	// that came before this one.
	h.enqueue(Entry{Kind: KindAbandoned, ID: c.ID, Nonce: c.Nonce, IDTime: c.IDTime})
	if code := h.Check(c.IDTime, now); code != 0 {
		return Verdict{Claim: c, Code: code}
	}
	return Verdict{Claim: c, Code: sched.CodeUnknownInProgress}
}
