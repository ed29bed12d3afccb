package claims

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/dedup"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// appendBudget is the share of the log's append rate that the intents,
	// outcomes and answers of all instances may use, in appends per second.
	appendBudget = 120
	// appendBurst is the number of appends that an idle instance can make
	// without a wait.
	appendBurst = 4
	// MaxAnswerBytes is the largest body of an answer that is kept, in bytes.
	MaxAnswerBytes = 64 << 10
	// defaultPoll is the time between two reads of an idle shard.
	defaultPoll = time.Second
	// callTimeout bounds one call to the log. It is far longer than a round trip
	// between regions.
	callTimeout = 2 * time.Second
	// pauseAfterError is the pause before the next call to the log after a
	// failed one, so that an outage does not cause a tight loop.
	pauseAfterError = 50 * time.Millisecond
	// readLimit is the largest number of intent records of one read.
	readLimit = 500
)

// Limits holds the settings that claims depend on.
type Limits struct {
	// DedupWindow is the age up to which request ids are accepted.
	DedupWindow time.Duration
	// ClockBound is the largest difference between the clocks of two machines.
	ClockBound time.Duration
	// Instances is the number of entry instances that share the append budget.
	Instances int
}

// Claimer holds the claims of one instance. Exported fields are set before any
// method is called.
type Claimer struct {
	Log         sched.Log
	Clock       sched.Clock
	Incarnation sched.Incarnation
	// Shards is the number of intent streams. It must be the same at all
	// instances; 0 means 1.
	Shards int
	// Limits returns the settings in force. It is called for every claim,
	// append and read.
	Limits func() Limits
	// NewNonce returns a number that no other claim of any instance uses, such as
	// a random one.
	NewNonce func() uint64
	// PollInterval is the time between two reads of an idle shard; 0 means 1 s.
	PollInterval time.Duration
	// OnWarning is called when an answer can't be kept or read, or when the intent
	// stream can't be read or decoded. It may be nil.
	OnWarning func(message string, err error)

	once sync.Once
	// pace limits the appends to this instance's part of appendBudget.
	pace   *rate.Limiter
	shards []*shard
}

func (k *Claimer) init() {
	k.once.Do(func() {
		k.pace = rate.NewLimiter(appendBudget, appendBurst)
		for n := range max(k.Shards, 1) {
			s := &shard{
				keeper: k, intents: sched.IntentStreamPrefix + strconv.Itoa(n),
				answers:       sched.AnswerStreamPrefix + strconv.Itoa(n),
				verdicts:      map[uint64]chan dedup.Verdict{},
				entriesQueued: make(chan struct{}, 1), readWanted: make(chan struct{}, 1), answersQueued: make(chan struct{}, 1),
			}
			s.holder.Incarnation, s.holder.Nonce = k.Incarnation, k.NewNonce
			k.shards = append(k.shards, s)
		}
	})
}

// Run appends and reads the streams of all shards until the context ends. It
// returns the context's error, or that of an intent record that can't be
// encoded.
func (k *Claimer) Run(c context.Context) error {
	k.init()
	g, c := errgroup.WithContext(c)
	for _, s := range k.shards {
		g.Go(func() error { return s.appendLoop(c) })
		g.Go(func() error { return s.readLoop(c) })
		g.Go(func() error { return s.pollLoop(c) })
		g.Go(func() error { return s.answerLoop(c) })
	}
	return g.Wait()
}

// Claim claims the id of a partner's request and waits for the verdict until the
// context ends. The caller must end a granted claim with Finish or Abandon. If
// the request was answered before and its answer was kept, Claim returns that
// answer whole.
func (k *Claimer) Claim(c context.Context, partner, id string) (dedup.Verdict, sched.Answer) {
	k.init()
	u, at, err := dedup.ParseID(id)
	if err != nil {
		return dedup.Verdict{Code: sched.CodeIDMissing}, sched.Answer{}
	}
	i := dedup.MakeID(partner, u)
	s := k.shards[i.Shard(len(k.shards))]
	v := s.claim(c, i, at)
	if v.Answer.Offset == 0 {
		if v.Code == sched.CodeAnsweredBefore {
			v.Code = sched.CodeAnswerNotKept
		}
		return v, sched.Answer{}
	}
	a, err := s.readAnswer(c, v)
	if err != nil {
		k.warn("kept answer can't be read", err)
		v.Code = sched.CodeAnswerNotKept
	}
	return v, a
}

// Finish records the outcome of a granted claim. It keeps the answer of a request
// that was answered or failed if the body is complete and has at most MaxAnswerBytes
// bytes. Finish does not wait for the log.
func (k *Claimer) Finish(claim dedup.Claim, o sched.Outcome, a sched.Answer) {
	s := k.shards[claim.ID.Shard(len(k.shards))]
	small := a.Rest == nil && len(a.Body) <= MaxAnswerBytes
	if (o == sched.OutcomeAnswered || o == sched.OutcomeFailed) && small && s.keepAnswer(claim, o, a) {
		return
	}
	s.finish(claim, o, dedup.AnswerRef{})
}

// Abandon releases a granted claim whose request did not run. It waits until the
// release is in the log or the context ends, so that the caller's retry finds
// the id free.
func (k *Claimer) Abandon(c context.Context, claim dedup.Claim) {
	s := k.shards[claim.ID.Shard(len(k.shards))]
	s.mu.Lock()
	s.holder.Abandon(claim)
	done := s.afterAppend()
	s.mu.Unlock()
	signal(s.entriesQueued)
	select {
	case <-done:
	case <-c.Done():
	}
}

// Flush waits until all queued entries and answers are in the log. If the context
// ends before that, it returns an error with the number of those left.
func (k *Claimer) Flush(c context.Context) error {
	k.init()
	for {
		left := 0
		for _, s := range k.shards {
			left += s.left()
		}
		if left == 0 {
			return nil
		}
		if err := k.Clock.Sleep(c, flushPoll); err != nil {
			return fmt.Errorf("flush: %d entries are not in the log yet: %w", left, err)
		}
	}
}

// flushPoll is the time between two checks of Flush, short compared with the
// drain timeout.
const flushPoll = 5 * time.Millisecond

// NextOffsets returns, for each shard, the offset of the next intent record to
// read.
func (k *Claimer) NextOffsets() []sched.Offset {
	k.init()
	var next []sched.Offset
	for _, s := range k.shards {
		s.mu.Lock()
		next = append(next, s.holder.Table.Next())
		s.mu.Unlock()
	}
	return next
}

func (k *Claimer) warn(message string, err error) {
	if k.OnWarning != nil {
		k.OnWarning(message, err)
	}
}

// waitForAppend waits until this instance's part of the append budget allows one
// more append. It returns the context's error.
func (k *Claimer) waitForAppend(c context.Context) error {
	now := k.Clock.Now()
	k.pace.SetLimitAt(now, rate.Limit(appendBudget)/rate.Limit(max(k.Limits().Instances, 1)))
	return k.Clock.Sleep(c, k.pace.ReserveN(now, 1).DelayFrom(now))
}

// signal wakes the loop that waits on a channel with a buffer of 1. It never
// blocks; signals that have not been received yet merge into one.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// readAnswer reads a kept answer and checks that it belongs to the id of the
// claim.
func (s *shard) readAnswer(c context.Context, v dedup.Verdict) (sched.Answer, error) {
	p, err := s.keeper.Log.Read(c, s.answers, v.Answer.Offset, 1)
	if err != nil {
		return sched.Answer{}, fmt.Errorf("read %s at %d: %w", s.answers, v.Answer.Offset, err)
	}
	if len(p.Records) == 0 || p.Records[0].Offset != v.Answer.Offset {
		return sched.Answer{}, fmt.Errorf("read %s at %d: no record", s.answers, v.Answer.Offset)
	}
	kept, err := codec.DecodeAnswers(p.Records[0].Data)
	if err != nil {
		return sched.Answer{}, err
	}
	if n := v.Answer.Index; n < len(kept) && kept[n].ID == v.Claim.ID {
		return kept[n].Answer, nil
	}
	return sched.Answer{}, fmt.Errorf("read %s at %d: answer %d belongs to another request id",
		s.answers, v.Answer.Offset, v.Answer.Index)
}
