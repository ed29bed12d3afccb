package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/dedup"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// shard appends and reads one intent stream and its stream of answers. The state
// of the claims is in holder.
type shard struct {
	keeper *Claimer
	// intents and answers are the names of the two streams.
	intents string
	answers string
	// entriesQueued wakes appendLoop, readWanted wakes readLoop and answersQueued
	// wakes answerLoop.
	entriesQueued chan struct{}
	readWanted    chan struct{}
	answersQueued chan struct{}

	// mu guards the fields below. It is not held during calls to the log.
	mu     sync.Mutex
	holder dedup.Holder
	// verdicts holds, by nonce, the channel of each claim whose caller waits.
	verdicts map[uint64]chan dedup.Verdict
	// afterQueued holds channels to close once the entries that were queued
	// before them are appended. They move to afterInFlight when the last of
	// these entries is in the record that is being appended.
	afterQueued   []chan struct{}
	afterInFlight []chan struct{}
	// waitingAnswers holds the answers that wait for their append; waitingBytes
	// is their size.
	waitingAnswers []waitingAnswer
	waitingBytes   int
	// appendingAnswers is the number of answers in the record that is being
	// appended.
	appendingAnswers int
}

// configure passes the settings in force to the holder. The caller holds the
// lock.
func (s *shard) configure() {
	l := s.keeper.Limits()
	s.holder.Window, s.holder.ClockBound = l.DedupWindow, l.ClockBound
}

// claim claims an id and waits until the replay of the log decides. If the
// context ends first, it gives the claim up, so that it can't be granted later.
func (s *shard) claim(c context.Context, i dedup.ID, at time.Time) dedup.Verdict {
	s.mu.Lock()
	s.configure()
	v, decided := s.holder.Claim(i, at, s.keeper.Clock.Now())
	if decided {
		s.mu.Unlock()
		return v
	}
	ch := make(chan dedup.Verdict, 1)
	s.verdicts[v.Claim.Nonce] = ch
	s.mu.Unlock()
	signal(s.entriesQueued)
	select {
	case v = <-ch:
		return v
	case <-c.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer signal(s.entriesQueued)
	select {
	case late := <-ch:
		if !late.Granted {
			return late
		}
	default:
		delete(s.verdicts, v.Claim.Nonce)
	}
	return s.holder.Abandon(v.Claim)
}

// deliver passes verdicts to the callers that wait for them. The caller holds the
// lock.
func (s *shard) deliver(verdicts []dedup.Verdict) {
	for _, v := range verdicts {
		if ch := s.verdicts[v.Claim.Nonce]; ch != nil {
			delete(s.verdicts, v.Claim.Nonce)
			ch <- v
		}
	}
}

// finish queues the outcome of a granted claim and a reference to its kept
// answer; the zero reference means that no answer was kept.
func (s *shard) finish(c dedup.Claim, o sched.Outcome, a dedup.AnswerRef) {
	s.mu.Lock()
	s.holder.RecordOutcome(c, o, a)
	s.mu.Unlock()
	signal(s.entriesQueued)
}

// afterAppend returns a channel that is closed once all entries that are queued
// now have been appended. The caller holds the lock.
func (s *shard) afterAppend() chan struct{} {
	done := make(chan struct{})
	if n, _ := s.holder.Pending(); n == 0 {
		close(done)
		return done
	}
	s.afterQueued = append(s.afterQueued, done)
	return done
}

// left returns the number of entries and answers that are not known to be in the
// log.
func (s *shard) left() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, _ := s.holder.Pending()
	return n + len(s.waitingAnswers) + s.appendingAnswers
}

// appendLoop appends the queued entries, one record at a time, until the context
// ends.
func (s *shard) appendLoop(c context.Context) error {
	for {
		select {
		case <-c.Done():
			return c.Err()
		case <-s.entriesQueued:
		}
		for s.pending() {
			if err := s.keeper.waitForAppend(c); err != nil {
				return err
			}
			if err := s.appendOnce(c); err != nil {
				return err
			}
		}
	}
}

func (s *shard) pending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, _ := s.holder.Pending()
	return n > 0
}

// appendOnce appends the next record of entries. After a failed append it pauses;
// the holder decides which entries are appended again. It returns an error only
// when the context has ended or the record can't be encoded.
func (s *shard) appendOnce(c context.Context) error {
	s.mu.Lock()
	b, ok := s.holder.Next(s.keeper.Clock.Now())
	if n, _ := s.holder.Pending(); n == len(b.Entries) {
		s.afterInFlight, s.afterQueued = append(s.afterInFlight, s.afterQueued...), nil
	}
	s.mu.Unlock()
	if !ok {
		return nil
	}
	data, err := codec.EncodeIntents(b)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(c, callTimeout)
	_, err = s.keeper.Log.Append(call, s.intents, data)
	cancel()
	added := dedup.AppendSucceeded
	switch {
	case errors.Is(err, sched.ErrUnavailable):
		added = dedup.AppendFailed
	case err != nil:
		added = dedup.AppendUncertain
	}
	s.mu.Lock()
	s.deliver(s.holder.Appended(added, s.keeper.Clock.Now()))
	if added == dedup.AppendSucceeded {
		for _, ch := range s.afterInFlight {
			close(ch)
		}
		s.afterInFlight = nil
	}
	s.mu.Unlock()
	signal(s.readWanted)
	if added != dedup.AppendSucceeded {
		return s.keeper.Clock.Sleep(c, pauseAfterError)
	}
	return nil
}

// pollLoop makes readLoop read the stream at least once per poll interval, also
// when this instance appends nothing.
func (s *shard) pollLoop(c context.Context) error {
	poll := s.keeper.PollInterval
	if poll <= 0 {
		poll = defaultPoll
	}
	for {
		if err := s.keeper.Clock.Sleep(c, poll); err != nil {
			return err
		}
		signal(s.readWanted)
	}
}

// readLoop reads the intent stream to its end after each append and at every
// poll.
func (s *shard) readLoop(c context.Context) error {
	for {
		for {
			more, err := s.readPage(c)
			if err == nil && !more {
				break
			}
			if err == nil {
				continue
			}
			s.keeper.warn(s.intents+" can't be read", err)
			if err := s.keeper.Clock.Sleep(c, pauseAfterError); err != nil {
				return err
			}
		}
		select {
		case <-c.Done():
			return c.Err()
		case <-s.readWanted:
		}
	}
}

// readPage reads and applies one page of the intent stream and reports whether
// the log holds records after it.
func (s *shard) readPage(c context.Context) (bool, error) {
	s.mu.Lock()
	from := s.holder.Table.Next()
	s.mu.Unlock()
	call, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	p, err := s.keeper.Log.Read(call, s.intents, from, readLimit)
	var trimmed *sched.TrimmedError
	if errors.As(err, &trimmed) {
		from = trimmed.Earliest
		p, err = s.keeper.Log.Read(call, s.intents, from, readLimit)
	}
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configure()
	now := s.keeper.Clock.Now()
	next := from
	for n, r := range p.Records {
		b, err := codec.DecodeIntents(r.Data)
		if err != nil {
			// Every instance treats the same record as empty, so all reach the
			// same decisions.
			s.keeper.warn(fmt.Sprintf("intent record %d of %s is malformed", r.Offset, s.intents), err)
			b = dedup.Batch{}
		}
		if n == 0 {
			s.holder.SkipTrimmed(r.Offset, &b, now)
		}
		verdicts, _ := s.holder.Apply(r.Offset, b, now)
		s.deliver(verdicts)
		next = r.Offset + 1
	}
	if len(p.Records) == 0 {
		s.holder.SkipTrimmed(from, nil, now)
	}
	return next < p.Next, nil
}
