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
	// appendBudget is the part of the log's appends that intents, outcomes and
	// answers of all instances may use, in appends per second.
	appendBudget = 120
	// appendBurst lets an idle instance append at once.
	appendBurst = 4
	// MaxKept is the largest answer that is kept, in bytes.
	MaxKept = 64 << 10
	// defaultPoll is how often an idle shard is read.
	defaultPoll = time.Second
	// callTimeout bounds one call of the log; it is far above a round trip
	// between regions.
	callTimeout = 2 * time.Second
	// pauseAfterError keeps a failing log from being called in a tight loop.
	pauseAfterError = 50 * time.Millisecond
	readLimit       = 500
)

// Limits are the settings that the claims depend on.
type Limits struct {
	Window     time.Duration
	ClockBound time.Duration
	// Instances is the number of entry instances that share the append budget.
	Instances int
}

// Keeper holds the claims of one instance. Its fields are set before Run.
type Keeper struct {
	Log         sched.Log
	Clock       sched.Clock
	Incarnation sched.Incarnation
	// Shards is the number of intent streams, the same at all instances; 0
	// stands for 1.
	Shards int
	// Limits returns the settings in force.
	Limits func() Limits
	// Nonce returns numbers that no other claim uses; random ones do.
	Nonce func() uint64
	// Poll is how often an idle shard is read, 0 for 1 s.
	Poll time.Duration
	// Warn is told about rare conditions, nil to ignore them.
	Warn func(message string, err error)

	once   sync.Once
	pace   *rate.Limiter
	shards []*shard
}

func (k *Keeper) init() {
	k.once.Do(func() {
		k.pace = rate.NewLimiter(appendBudget, appendBurst)
		for n := range max(k.Shards, 1) {
			s := &shard{
				keeper: k, intents: sched.IntentStreamPrefix + strconv.Itoa(n),
				answers: sched.AnswerStreamPrefix + strconv.Itoa(n),
				verdict: map[uint64]chan dedup.Verdict{},
				work:    make(chan struct{}, 1), read: make(chan struct{}, 1), keep: make(chan struct{}, 1),
			}
			s.holder.Incarnation, s.holder.Nonce = k.Incarnation, k.Nonce
			k.shards = append(k.shards, s)
		}
	})
}

// Run follows the shards and appends until the context ends. It returns the
// context's error.
func (k *Keeper) Run(c context.Context) error {
	k.init()
	g, c := errgroup.WithContext(c)
	for _, s := range k.shards {
		g.Go(func() error { return s.appendLoop(c) })
		g.Go(func() error { return s.readLoop(c) })
		g.Go(func() error { return s.pollLoop(c) })
		g.Go(func() error { return s.keepLoop(c) })
	}
	return g.Wait()
}

// Claim asks for the id of a partner's request and waits for the decision
// until the context ends. A granted claim must end with Finish or Abandon. The
// answer of an id that was answered before is complete.
func (k *Keeper) Claim(c context.Context, partner, id string) (dedup.Verdict, sched.Answer) {
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

// Finish records the outcome of a granted claim and keeps a small answer. It
// doesn't wait for the log.
func (k *Keeper) Finish(claim dedup.Claim, o sched.Outcome, a sched.Answer) {
	s := k.shards[claim.ID.Shard(len(k.shards))]
	small := a.Rest == nil && len(a.Body) <= MaxKept
	if (o == sched.OutcomeAnswered || o == sched.OutcomeFailed) && small && s.keepAnswer(claim, o, a) {
		return
	}
	s.finish(claim, o, dedup.AnswerRef{})
}

// Abandon gives up a granted claim whose request did not run, and waits until
// the log has it or the context ends, so that the caller's next send finds the
// id free.
func (k *Keeper) Abandon(c context.Context, claim dedup.Claim) {
	s := k.shards[claim.ID.Shard(len(k.shards))]
	s.mu.Lock()
	s.holder.GiveUp(claim)
	done := s.afterAppend()
	s.mu.Unlock()
	signal(s.work)
	select {
	case <-done:
	case <-c.Done():
	}
}

// Flush waits until all entries are in the log or the context ends, and
// returns the context's error in that case.
func (k *Keeper) Flush(c context.Context) error {
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
			return fmt.Errorf("flush of %d entries: %w", left, err)
		}
	}
}

// flushPoll is short against the drain timeout.
const flushPoll = 5 * time.Millisecond

// Progress returns the offset of the next record to read of every shard.
func (k *Keeper) Progress() []sched.Offset {
	k.init()
	var next []sched.Offset
	for _, s := range k.shards {
		s.mu.Lock()
		next = append(next, s.holder.Table.Next())
		s.mu.Unlock()
	}
	return next
}

func (k *Keeper) warn(message string, err error) {
	if k.Warn != nil {
		k.Warn(message, err)
	}
}

// wait spends one append of this instance's part of the budget.
func (k *Keeper) wait(c context.Context) error {
	now := k.Clock.Now()
	k.pace.SetLimitAt(now, rate.Limit(appendBudget)/rate.Limit(max(k.Limits().Instances, 1)))
	return k.Clock.Sleep(c, k.pace.ReserveN(now, 1).DelayFrom(now))
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// readAnswer reads a kept answer and checks that it belongs to the id.
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
	return sched.Answer{}, fmt.Errorf("read %s at %d: answer %d is of another id", s.answers, v.Answer.Offset, v.Answer.Index)
}
