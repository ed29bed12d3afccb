package claims

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/dedup"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// shard drives the holder of one intent stream. The lock guards the holder; the
// log is called without it.
type shard struct {
	keeper  *Keeper
	intents string
	answers string
	// work, read and keep wake the three loops.
	work chan struct{}
	read chan struct{}
	keep chan struct{}

	mu      sync.Mutex
	holder  dedup.Holder
	verdict map[uint64]chan dedup.Verdict
	// flushed are closed when the entries queued before them are appended.
	flushed   []chan struct{}
	flushing  []chan struct{}
	kept      []keptItem
	keptBytes int
	keeping   int
}

func (s *shard) configure() {
	l := s.keeper.Limits()
	s.holder.Window, s.holder.ClockBound = l.Window, l.ClockBound
}

// claim waits for the verdict of the log or the end of the context.
func (s *shard) claim(c context.Context, i dedup.ID, at time.Time) dedup.Verdict {
	s.mu.Lock()
	s.configure()
	v, decided := s.holder.Claim(i, at, s.keeper.Clock.Now())
	if decided {
		s.mu.Unlock()
		return v
	}
	ch := make(chan dedup.Verdict, 1)
	s.verdict[v.Claim.Nonce] = ch
	s.mu.Unlock()
	signal(s.work)
	select {
	case v = <-ch:
		return v
	case <-c.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer signal(s.work)
	select {
	case late := <-ch:
		if !late.Granted {
			return late
		}
	default:
		delete(s.verdict, v.Claim.Nonce)
	}
	return s.holder.GiveUp(v.Claim)
}

// deliver hands verdicts to their callers. The caller holds the lock.
func (s *shard) deliver(verdicts []dedup.Verdict) {
	for _, v := range verdicts {
		if ch := s.verdict[v.Claim.Nonce]; ch != nil {
			delete(s.verdict, v.Claim.Nonce)
			ch <- v
		}
	}
}

func (s *shard) finish(c dedup.Claim, o sched.Outcome, a dedup.AnswerRef) {
	s.mu.Lock()
	s.holder.Finish(c, o, a)
	s.mu.Unlock()
	signal(s.work)
}

// afterAppend returns a channel that is closed once the queue is appended. The
// caller holds the lock.
func (s *shard) afterAppend() chan struct{} {
	done := make(chan struct{})
	if n, _ := s.holder.Pending(); n == 0 {
		close(done)
		return done
	}
	s.flushed = append(s.flushed, done)
	return done
}

func (s *shard) left() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, _ := s.holder.Pending()
	return n + len(s.kept) + s.keeping
}

// appendLoop appends what is queued, one record at a time.
func (s *shard) appendLoop(c context.Context) error {
	for {
		select {
		case <-c.Done():
			return c.Err()
		case <-s.work:
		}
		for s.pending() {
			if err := s.keeper.wait(c); err != nil {
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

// appendOnce returns an error only when the context has ended.
func (s *shard) appendOnce(c context.Context) error {
	s.mu.Lock()
	b, ok := s.holder.Next(s.keeper.Clock.Now())
	if n, _ := s.holder.Pending(); n == len(b.Entries) {
		s.flushing, s.flushed = append(s.flushing, s.flushed...), nil
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
	added := dedup.AddedYes
	switch {
	case errors.Is(err, sched.ErrUnavailable):
		added = dedup.AddedNo
	case err != nil:
		added = dedup.AddedUncertain
	}
	s.mu.Lock()
	s.deliver(s.holder.Appended(added, s.keeper.Clock.Now()))
	if added == dedup.AddedYes {
		for _, ch := range s.flushing {
			close(ch)
		}
		s.flushing = nil
	}
	s.mu.Unlock()
	signal(s.read)
	if added != dedup.AddedYes {
		return s.keeper.Clock.Sleep(c, pauseAfterError)
	}
	return nil
}

// pollLoop asks for a read of an idle shard.
func (s *shard) pollLoop(c context.Context) error {
	poll := s.keeper.Poll
	if poll <= 0 {
		poll = defaultPoll
	}
	for {
		if err := s.keeper.Clock.Sleep(c, poll); err != nil {
			return err
		}
		signal(s.read)
	}
}

// readLoop reads the stream after each append and at every poll.
func (s *shard) readLoop(c context.Context) error {
	for {
		for {
			more, err := s.readOnce(c)
			if err == nil && !more {
				break
			}
			if err == nil {
				continue
			}
			s.keeper.warn("intent stream can't be read", err)
			if err := s.keeper.Clock.Sleep(c, pauseAfterError); err != nil {
				return err
			}
		}
		select {
		case <-c.Done():
			return c.Err()
		case <-s.read:
		}
	}
}

// readOnce reads and applies one page and tells whether there is more.
func (s *shard) readOnce(c context.Context) (bool, error) {
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
			// Every instance skips the same bytes.
			s.keeper.warn("intent record is malformed", err)
			b = dedup.Batch{}
		}
		if n == 0 {
			s.holder.Skip(r.Offset, &b, now)
		}
		verdicts, _ := s.holder.Apply(r.Offset, b, now)
		s.deliver(verdicts)
		next = r.Offset + 1
	}
	if len(p.Records) == 0 {
		s.holder.Skip(from, nil, now)
	}
	return next < p.Next, nil
}
