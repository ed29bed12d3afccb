package claims

import (
	"context"
	"errors"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/dedup"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// maxKeptBytes bounds the answers that wait for their append, in bytes.
	maxKeptBytes = 16 << 20
	// maxKeptRecord bounds the answers of one record, in bytes.
	maxKeptRecord = 512 << 10
	// keepTries is how often the append of a record of answers is tried before
	// its outcomes are recorded without them.
	keepTries = 5
)

// keptItem is an answer that waits for its append; its outcome follows.
type keptItem struct {
	claim   dedup.Claim
	outcome sched.Outcome
	answer  sched.Answer
	size    int
}

// keepAnswer queues an answer. It returns false if too much is queued.
func (s *shard) keepAnswer(c dedup.Claim, o sched.Outcome, a sched.Answer) bool {
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keptBytes+size > maxKeptBytes {
		return false
	}
	s.kept = append(s.kept, keptItem{c, o, a, size})
	s.keptBytes += size
	signal(s.keep)
	return true
}

// takeKept returns the answers of the next record.
func (s *shard) takeKept() []keptItem {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, n := 0, 0
	for n < len(s.kept) && (n == 0 || size+s.kept[n].size <= maxKeptRecord) {
		size += s.kept[n].size
		n++
	}
	taken := s.kept[:n:n]
	s.kept = s.kept[n:]
	s.keptBytes -= size
	s.keeping = n
	return taken
}

// keepLoop appends answers and then queues their outcomes.
func (s *shard) keepLoop(c context.Context) error {
	for {
		select {
		case <-c.Done():
			return c.Err()
		case <-s.keep:
		}
		for {
			taken := s.takeKept()
			if len(taken) == 0 {
				break
			}
			if err := s.keepRecord(c, taken); err != nil {
				return err
			}
		}
	}
}

// keepRecord returns an error only when the context has ended.
func (s *shard) keepRecord(c context.Context, taken []keptItem) error {
	answers := make([]codec.KeptAnswer, len(taken))
	for n, t := range taken {
		answers[n] = codec.KeptAnswer{ID: t.claim.ID, Answer: t.answer}
	}
	data, err := codec.EncodeAnswers(answers)
	var at sched.Offset
	if err == nil {
		if at, err = s.appendAnswers(c, data); err != nil && c.Err() != nil {
			return c.Err()
		}
	}
	if err != nil {
		s.keeper.warn("answers are not kept", err)
	}
	for n, t := range taken {
		ref := dedup.AnswerRef{}
		if err == nil {
			ref = dedup.AnswerRef{Offset: at, Index: n}
		}
		s.finish(t.claim, t.outcome, ref)
	}
	s.mu.Lock()
	s.keeping = 0
	s.mu.Unlock()
	return nil
}

// appendAnswers appends until the offset is known. An uncertain append may
// leave a second copy in the log, which nothing points to.
func (s *shard) appendAnswers(c context.Context, data []byte) (sched.Offset, error) {
	var last error
	for range keepTries {
		if err := s.keeper.wait(c); err != nil {
			return 0, err
		}
		call, cancel := context.WithTimeout(c, callTimeout)
		at, err := s.keeper.Log.Append(call, s.answers, data)
		cancel()
		if err == nil {
			return at, nil
		}
		last = errors.Join(last, err)
		if err := s.keeper.Clock.Sleep(c, pauseAfterError); err != nil {
			return 0, err
		}
	}
	return 0, last
}
