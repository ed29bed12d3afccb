package claims

import (
	"context"
	"errors"
	"fmt"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/dedup"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// maxWaitingAnswerBytes bounds the answers of one shard that wait for their
	// append, in bytes.
	maxWaitingAnswerBytes = 16 << 20
	// maxAnswerRecordBytes bounds the answers of one record, in bytes. A single
	// answer is appended even if it is larger.
	maxAnswerRecordBytes = 512 << 10
	// answerAppendTries is how often the append of a record of answers is tried
	// before the outcomes are recorded without a kept answer.
	answerAppendTries = 5
)

// waitingAnswer is an answer that waits for its append. Its outcome is recorded
// afterwards, with a reference to the appended answer.
type waitingAnswer struct {
	claim   dedup.Claim
	outcome sched.Outcome
	answer  sched.Answer
	// size is the length of the header and the body in bytes.
	size int
}

// keepAnswer queues an answer. It returns false if the queue would exceed
// maxWaitingAnswerBytes.
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
	if s.waitingBytes+size > maxWaitingAnswerBytes {
		return false
	}
	s.waitingAnswers = append(s.waitingAnswers, waitingAnswer{c, o, a, size})
	s.waitingBytes += size
	signal(s.answersQueued)
	return true
}

// takeAnswers removes the answers of the next record from the queue and returns
// them. It returns none if the queue is empty.
func (s *shard) takeAnswers() []waitingAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, n := 0, 0
	for n < len(s.waitingAnswers) && (n == 0 || size+s.waitingAnswers[n].size <= maxAnswerRecordBytes) {
		size += s.waitingAnswers[n].size
		n++
	}
	taken := s.waitingAnswers[:n:n]
	s.waitingAnswers = s.waitingAnswers[n:]
	s.waitingBytes -= size
	s.appendingAnswers = n
	return taken
}

// answerLoop appends the queued answers and then queues their outcomes, until
// the context ends.
func (s *shard) answerLoop(c context.Context) error {
	for {
		select {
		case <-c.Done():
			return c.Err()
		case <-s.answersQueued:
		}
		for {
			taken := s.takeAnswers()
			if len(taken) == 0 {
				break
			}
			if err := s.appendAnswerRecord(c, taken); err != nil {
				return err
			}
		}
	}
}

// appendAnswerRecord appends one record of answers and queues their outcomes. If
// the append fails, the outcomes are queued without kept answers. It returns an
// error only when the context has ended.
func (s *shard) appendAnswerRecord(c context.Context, taken []waitingAnswer) error {
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
		s.keeper.warn(fmt.Sprintf("%d answers are not kept in %s", len(taken), s.answers), err)
	}
	for n, t := range taken {
		ref := dedup.AnswerRef{}
		if err == nil {
			ref = dedup.AnswerRef{Offset: at, Index: n}
		}
		s.finish(t.claim, t.outcome, ref)
	}
	s.mu.Lock()
	s.appendingAnswers = 0
	s.mu.Unlock()
	return nil
}

// appendAnswers appends a record of answers and returns its offset. It tries up
// to answerAppendTries times. An append whose acknowledgement was lost may leave
// a copy in the log that no outcome refers to.
func (s *shard) appendAnswers(c context.Context, data []byte) (sched.Offset, error) {
	var last error
	for range answerAppendTries {
		if err := s.keeper.waitForAppend(c); err != nil {
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
