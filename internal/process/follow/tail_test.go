package follow

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/standin/logsvc"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

type reader struct {
	log     *logsvc.Service
	tail    *Tail
	seen    []sched.Offset
	trimmed []sched.Offset
	batches []Batch
	errs    int
}

// run follows a stream in a bubble whose time is virtual.
func run(t *testing.T, body func(t *testing.T, i *is.I, r *reader)) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{log: logsvc.New(clock.System{}, 1, logsvc.Retention{Records: 50})}
		r.tail = New(r.log, clock.System{}, "x", rand.New(rand.NewPCG(1, 1)), func(b Batch) {
			r.batches = append(r.batches, b)
			if b.Trimmed != nil {
				r.trimmed = append(r.trimmed, b.Trimmed.Earliest)
			}
			for _, record := range b.Records {
				r.seen = append(r.seen, record.Offset)
			}
		})
		r.tail.Failed = func(error) { r.errs++ }
		body(t, is.New(t), r)
	})
}

func (r *reader) start(t *testing.T) (stop func()) {
	c, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		_ = r.tail.Run(c, 1)
		close(done)
	}()
	return func() { cancel(); <-done }
}

func (r *reader) append(t *testing.T, n int) {
	for range n {
		if _, err := r.log.Append(t.Context(), "x", make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against lost, repeated or reordered records across an outage, and
// against a claim to have read the log while it was away.
func TestRecordsArriveOnceAndInOrderAcrossAnOutage(t *testing.T) {
	run(t, func(t *testing.T, i *is.I, r *reader) {
		r.tail.PageSize = 3
		r.append(t, 10)
		stop := r.start(t)
		time.Sleep(time.Second)
		outage := time.Now()
		r.log.SetFaults(logsvc.Faults{Outage: true})
		time.Sleep(time.Minute)
		synctest.Wait()
		i.True(!r.tail.AsOf().After(outage))
		i.True(r.errs >= 12 && r.errs < 100) // at most Backoff apart, no storm
		r.log.SetFaults(logsvc.Faults{})
		r.append(t, 10)
		time.Sleep(6 * time.Second)
		stop()
		i.Equal(len(r.seen), 20)
		for n, o := range r.seen {
			i.Equal(o, sched.Offset(n+1))
		}
		i.True(time.Since(r.tail.AsOf()) <= time.Second)
	})
}

// Guards against a consumer that isn't told about a gap, which would replay a
// stream with records missing.
func TestTrimmedStreamIsReported(t *testing.T) {
	run(t, func(t *testing.T, i *is.I, r *reader) {
		r.append(t, 70)
		stop := r.start(t)
		time.Sleep(time.Second)
		stop()
		i.Equal(r.trimmed, []sched.Offset{21})
		i.Equal(len(r.seen), 50)
		i.Equal(r.seen[0], sched.Offset(21))
		i.True(r.batches[len(r.batches)-1].CaughtUp)
	})
}

// Guards against polling that exceeds the control budget of a node when the
// log is idle, and against a tail that stays slow when it is told of news.
func TestPollingKeepsTheByteBudget(t *testing.T) {
	run(t, func(t *testing.T, i *is.I, r *reader) {
		r.tail.Budget = 1000
		stop := r.start(t)
		time.Sleep(time.Minute)
		reads := r.log.Counts().Reads
		i.True(float64(reads)*callOverhead <= r.tail.Budget*(60+burstSeconds)) // bytes in 60 s and the burst
		i.True(reads > 60)                                                     // Slowest is 1 s
		time.Sleep(time.Until(r.tail.AsOf().Add(400 * time.Millisecond)))
		r.append(t, 1)
		r.tail.Wake()
		time.Sleep(DefaultFastest + time.Millisecond)
		synctest.Wait()
		i.Equal(len(r.seen), 1)
		stop()
	})
}

// Guards against instances that all come back at the same moment after an
// outage.
func TestReconnectsSpread(t *testing.T) {
	i := is.New(t)
	buckets := map[time.Duration]int{}
	const instances = 200
	for n := range uint64(instances) {
		tail := New(nil, clock.System{}, "x", rand.New(rand.NewPCG(7, n)), nil)
		buckets[tail.backoff(20).Truncate(time.Second)]++
	}
	for second, count := range buckets {
		i.True(second < DefaultBackoff)
		i.True(count < instances/2) // five seconds, an even spread has a fifth in each
	}
	i.Equal(len(buckets), 5)
}
