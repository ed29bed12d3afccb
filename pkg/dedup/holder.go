package dedup

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Claim is the attempt of one holder to become the one that sends an id.
type Claim struct {
	ID     ID
	Nonce  uint64
	IDTime time.Time
}

// Verdict is the decision on a claim.
type Verdict struct {
	Claim   Claim
	Granted bool
	// Code tells why the claim isn't granted: CodeAnsweredBefore,
	// CodeFailedByBackend, CodeUnknown and CodeUnknownInProgress if another
	// claim holds or held the id, a code of the 400s if nothing was sent.
	Code sched.Code
	// Answer is the position of the kept answer of a finished id.
	Answer AnswerRef
}

// Added is how the append of a batch ended.
type Added int

// Results of appends.
const (
	AddedYes Added = iota + 1
	AddedNo
	AddedUncertain
)

const (
	// maxBatch bounds the entries of one record.
	maxBatch = 256
	// maxQueue bounds the entries that wait for an append. Beyond it claims
	// are refused, and in a long outage outcomes are dropped: their ids stay
	// open, so a repeat gets "unknown", which is true.
	maxQueue = 50_000
	// maxClaims bounds the claims that wait for an append, at 120 appends a
	// second about two seconds' worth.
	maxClaims = maxBatch * 64
	// outageHold is how long claims are refused at once after a failed append.
	// Then one may try again, since without claims there may be no appends.
	outageHold = 250 * time.Millisecond
)

// item is an entry that waits for its append.
type item struct {
	entry Entry
	// tried is set once an append may have put the entry into the log.
	tried bool
}

// Holder is the part of one instance in one shard: its claims, the entries
// that it has to append and the replay that decides. It is pure and isn't safe
// for concurrent use.
type Holder struct {
	// Table is configured before use.
	Table
	// Incarnation is that of the instance, Nonce a source of numbers that
	// don't repeat. Both are set before use.
	Incarnation sched.Incarnation
	Nonce       func() uint64

	waiting map[uint64]Claim
	queue   []item
	flight  []item
	// refuseUntil follows a failed append.
	refuseUntil time.Time
	dropped     int
}

// Claim asks for an id. The verdict is final if decided is set; otherwise it
// follows from Appended or Apply. In a log outage an id that isn't known is
// refused.
func (h *Holder) Claim(i ID, idTime, now time.Time) (v Verdict, decided bool) {
	c := Claim{ID: i, IDTime: idTime}
	if code := h.Check(idTime, now); code != 0 {
		return Verdict{Claim: c, Code: code}, true
	}
	s := h.State(i)
	switch {
	case s.Status == StatusFinished:
		return finished(c, s), true
	case now.Before(h.refuseUntil):
		return h.refusal(c), true
	case len(h.queue) >= maxQueue || len(h.waiting) >= maxClaims:
		return Verdict{Claim: c, Code: sched.CodeOverloaded}, true
	}
	c.Nonce = h.Nonce()
	if h.waiting == nil {
		h.waiting = map[uint64]Claim{}
	}
	h.waiting[c.Nonce] = c
	h.push(Entry{Kind: KindIntent, ID: i, Nonce: c.Nonce, Holder: h.Incarnation, IDTime: idTime})
	return Verdict{Claim: c}, false
}

func finished(c Claim, s State) Verdict {
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

// refusal is the verdict when the log can't be reached in time. An id that
// another claim is known to hold is not called "not run".
func (h *Holder) refusal(c Claim) Verdict {
	if s := h.State(c.ID); s.Status == StatusOpen && s.Nonce != c.Nonce {
		return Verdict{Claim: c, Code: sched.CodeUnknownInProgress}
	}
	return Verdict{Claim: c, Code: sched.CodeLogUnavailable}
}

// GiveUp ends a claim that waits for its verdict or was granted and not sent,
// and returns the verdict that the caller gets if it was waiting. The claim
// never wins afterwards.
func (h *Holder) GiveUp(c Claim) Verdict {
	_, waits := h.waiting[c.Nonce]
	delete(h.waiting, c.Nonce)
	for n, q := range h.queue {
		if !waits {
			break
		}
		if q.entry.Kind == KindIntent && q.entry.Nonce == c.Nonce && !q.tried {
			h.queue = append(h.queue[:n:n], h.queue[n+1:]...)
			return h.refusal(c)
		}
	}
	h.push(Entry{Kind: KindAbandoned, ID: c.ID, Nonce: c.Nonce, IDTime: c.IDTime})
	return h.refusal(c)
}

// Finish records how the request of a granted claim ended.
func (h *Holder) Finish(c Claim, o sched.Outcome, a AnswerRef) {
	h.push(Entry{Kind: KindOutcome, ID: c.ID, Nonce: c.Nonce, IDTime: c.IDTime, Outcome: o, Answer: a})
}

func (h *Holder) push(e Entry) {
	if len(h.queue) >= maxQueue {
		h.dropped++
		return
	}
	h.queue = append(h.queue, item{entry: e})
}

// Pending returns the number of entries whose append isn't known to have
// succeeded, and the number of those that were dropped in an outage.
func (h *Holder) Pending() (entries, dropped int) { return len(h.queue) + len(h.flight), h.dropped }

// Next returns the record to append. It returns false if there is none or the
// last one hasn't ended.
func (h *Holder) Next(now time.Time) (Batch, bool) {
	if len(h.queue) == 0 || len(h.flight) > 0 {
		return Batch{}, false
	}
	n := min(len(h.queue), maxBatch)
	h.flight = append(h.flight, h.queue[:n]...)
	h.queue = h.queue[n:]
	b := Batch{WrittenAt: now, Entries: make([]Entry, n)}
	for i, f := range h.flight {
		b.Entries[i] = f.entry
	}
	return b, true
}

// Appended tells how the append of the record from Next ended and returns the
// verdicts that follow. All entries may be appended twice without a change in
// meaning, so those of an uncertain append go into the next record.
func (h *Holder) Appended(a Added, now time.Time) []Verdict {
	var verdicts []Verdict
	flight := h.flight
	h.flight = nil
	if a == AddedYes {
		return nil
	}
	if a == AddedNo {
		h.refuseUntil = now.Add(outageHold)
	}
	again := make([]item, 0, len(flight)+len(h.queue))
	for _, f := range flight {
		c, waits := h.waiting[f.entry.Nonce]
		intent := f.entry.Kind == KindIntent
		switch {
		case intent && !waits:
			// Given up or decided meanwhile.
			continue
		case intent && a == AddedNo && !f.tried:
			delete(h.waiting, c.Nonce)
			verdicts = append(verdicts, h.refusal(c))
			continue
		}
		f.tried = f.tried || a == AddedUncertain
		again = append(again, f)
	}
	h.queue = append(again, h.queue...)
	return verdicts
}

// Apply replays a record and returns the verdicts on own claims in it. It
// returns false if records before it are missing.
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

func (h *Holder) decide(c Claim, now time.Time) Verdict {
	s := h.State(c.ID)
	switch {
	case h.Wins(c.ID, c.Nonce, c.IDTime, now):
		return Verdict{Claim: c, Granted: true}
	case s.Status == StatusOpen && s.Nonce != c.Nonce:
		return Verdict{Claim: c, Code: sched.CodeUnknownInProgress}
	case s.Status == StatusFinished:
		return finished(c, s)
	}
	// The id became too old while the intent was on its way, or the record also
	// holds the end of the claim that was in front.
	h.push(Entry{Kind: KindAbandoned, ID: c.ID, Nonce: c.Nonce, IDTime: c.IDTime})
	if code := h.Check(c.IDTime, now); code != 0 {
		return Verdict{Claim: c, Code: code}
	}
	return Verdict{Claim: c, Code: sched.CodeUnknownInProgress}
}
