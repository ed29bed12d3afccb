package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Batch is the result of one read.
type Batch struct {
	Stream string
	// Records are in offset order. They follow those of the batch before
	// without a gap unless Trimmed is set.
	Records []sched.Record
	// Trimmed is set if records were lost to the retention of the log. The
	// tail goes on at Trimmed.Earliest; the consumer needs a snapshot.
	Trimmed *sched.TrimmedError
	// AsOf is the time just before the read. If CaughtUp is set, every record
	// that was acknowledged before then was delivered with this batch or
	// earlier.
	AsOf time.Time
	// Next is the offset of the next append as of the read.
	Next sched.Offset
	// CaughtUp tells that no record below Next is missing.
	CaughtUp bool
}

// Defaults of Tail.
const (
	DefaultFastest  = 50 * time.Millisecond
	DefaultSlowest  = time.Second
	DefaultBackoff  = 5 * time.Second
	DefaultPageSize = 500
)

// callOverhead is the estimated bytes on the wire of one read next to the
// records: request and response headers of a kept connection.
const callOverhead = 300

// burstSeconds is how much unused budget a tail saves up.
const burstSeconds = 5

// Tail follows one stream. Set the exported fields before Run.
type Tail struct {
	Log    sched.Log
	Clock  sched.Clock
	Stream string
	// Random spreads the reconnects after an outage.
	Random *rand.Rand
	// Deliver gets the batches in order, from the goroutine of Run. Empty
	// batches tell that the log answered.
	Deliver func(Batch)
	// Failed is called after a read that failed, if it is set.
	Failed func(error)
	// Budget is in bytes per second; 0 means no budget. Records have to be
	// read anyway, so the budget decides how often the log is asked.
	Budget float64
	// Fastest and Slowest bound the pause between two reads.
	Fastest time.Duration
	Slowest time.Duration
	// Backoff is the longest pause while the log is unavailable.
	Backoff  time.Duration
	PageSize int

	wake    chan struct{}
	limiter *rate.Limiter
	asOf    atomic.Int64
}

// New returns a tail with the default pauses.
func New(log sched.Log, clock sched.Clock, stream string, random *rand.Rand, deliver func(Batch)) *Tail {
	return &Tail{
		Log: log, Clock: clock, Stream: stream, Random: random, Deliver: deliver,
		Fastest: DefaultFastest, Slowest: DefaultSlowest, Backoff: DefaultBackoff, PageSize: DefaultPageSize,
		wake: make(chan struct{}, 1),
	}
}

// Wake asks for a read as soon as Fastest allows, for instance after an append
// whose answer was lost. It does not block.
func (t *Tail) Wake() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// AsOf returns the time just before the last successful read after which no
// record was missing, or the zero time if there was none. Everything that was
// acknowledged before then has been delivered.
func (t *Tail) AsOf() time.Time {
	n := t.asOf.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Run reads the stream from the given offset until the context ends, and
// returns the context's error.
func (t *Tail) Run(c context.Context, from sched.Offset) error {
	from = max(from, 1)
	t.limiter = rate.NewLimiter(rate.Limit(t.Budget), int(t.Budget*burstSeconds))
	// Each read pays for the next one, this pays for the first.
	t.limiter.ReserveN(t.Clock.Now(), callOverhead)
	failures := 0
	for c.Err() == nil {
		next, pause, err := t.step(c, from)
		from = next
		if err == nil {
			failures = 0
			t.pause(c, pause, true)
			continue
		}
		if c.Err() != nil {
			break
		}
		if t.Failed != nil {
			t.Failed(err)
		}
		t.pause(c, t.backoff(failures), false)
		failures++
	}
	return c.Err()
}

// step makes one read. It returns the offset to go on at and the pause before
// the next read.
func (t *Tail) step(c context.Context, from sched.Offset) (sched.Offset, time.Duration, error) {
	asOf := t.Clock.Now()
	p, err := t.Log.Read(c, t.Stream, from, t.PageSize)
	var trimmed *sched.TrimmedError
	if errors.As(err, &trimmed) && trimmed.Earliest > from {
		t.Deliver(Batch{Stream: t.Stream, Trimmed: trimmed, AsOf: asOf})
		return trimmed.Earliest, 0, nil
	}
	if err != nil {
		return from, 0, err
	}
	size := callOverhead
	for _, r := range p.Records {
		size += len(r.Data)
	}
	from += sched.Offset(len(p.Records))
	caughtUp := from >= p.Next
	t.Deliver(Batch{Stream: t.Stream, Records: p.Records, AsOf: asOf, Next: p.Next, CaughtUp: caughtUp})
	if caughtUp {
		t.asOf.Store(asOf.UnixNano())
	}
	interval := t.interval(size)
	if !caughtUp {
		interval = 0
	}
	return from, interval, nil
}

// interval charges one read to the budget and returns the pause that pays for
// it.
func (t *Tail) interval(size int) time.Duration {
	if t.Budget <= 0 {
		return t.Fastest
	}
	now := t.Clock.Now()
	// The limiter refuses more than its burst at a time.
	delay := t.limiter.ReserveN(now, min(size, t.limiter.Burst())).DelayFrom(now)
	return min(max(delay, t.Fastest), t.Slowest)
}

// backoff returns the pause after the given number of failures. It is drawn
// from the whole range up to an exponential bound, so that instances that lost
// the log at the same moment don't come back at the same moment. It is drawn
// from the seeded source, which the back-off library has no way to take.
func (t *Tail) backoff(failures int) time.Duration {
	const doublings = 16 // beyond it the bound exceeds any Backoff
	bound := min(t.Fastest<<min(failures+1, doublings), t.Backoff)
	return max(t.Fastest, time.Duration(t.Random.Float64()*float64(bound)))
}

// pause waits for d, or for Wake if it may be cut short. A wake-up still waits
// for Fastest, which bounds the rate of reads.
func (t *Tail) pause(c context.Context, d time.Duration, cut bool) {
	if d <= 0 {
		return
	}
	first := min(d, t.Fastest)
	if t.Clock.Sleep(c, first) != nil || d == first {
		return
	}
	if !cut {
		_ = t.Clock.Sleep(c, d-first) // Run checks the context
		return
	}
	sleep, cancel := context.WithCancel(c)
	defer cancel()
	go func() {
		select {
		case <-t.wake:
			cancel()
		case <-sleep.Done():
		}
	}()
	_ = t.Clock.Sleep(sleep, d-first)
}
