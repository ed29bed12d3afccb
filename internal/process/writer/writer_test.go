package writer

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/standin/logsvc"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/frame"
)

type rig struct {
	log     *logsvc.Service
	writer  *Writer
	results map[string]Result
}

// run starts a writer in a bubble whose time is virtual.
func run(t *testing.T, body func(t *testing.T, i *is.I, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &rig{log: logsvc.New(clock.System{}, 3, logsvc.Retention{}), results: map[string]Result{}}
		r.writer = New(r.log, clock.System{}, "x", "w1")
		c, cancel := context.WithCancel(t.Context())
		go func() { _ = r.writer.Run(c) }()
		body(t, is.New(t), r)
		cancel()
		synctest.Wait()
	})
}

func (r *rig) put(data string) error {
	return r.writer.Enqueue([]byte(data), func(got Result) { r.results[data] = got })
}

// readBack gives the writer what the stream holds and returns the items in
// order.
func (r *rig) readBack(t *testing.T) (items []string, records int) {
	f := r.log.Faults()
	r.log.SetFaults(logsvc.Faults{})
	defer r.log.SetFaults(f)
	p, err := r.log.Read(t.Context(), "x", 1, 10_000)
	if err != nil {
		t.Fatal(err)
	}
	for _, record := range p.Records {
		got, err := frame.Decode(record.Data)
		if err != nil {
			t.Fatal(err)
		}
		r.writer.Seen(got.ID, record.Offset)
		for _, item := range got.Items {
			items = append(items, string(item))
		}
	}
	return items, len(p.Records)
}

// Guards against a writer that exceeds its part of the append budget when
// busy, that waits when idle, or that reorders items.
func TestBatchesUnderTheRateAndAppendsAtOnceWhenIdle(t *testing.T) {
	run(t, func(t *testing.T, i *is.I, r *rig) {
		r.writer.SetRate(4)
		var want []string
		i.NoErr(r.put("first"))
		want = append(want, "first")
		synctest.Wait()
		i.Equal(r.results["first"].State, Appended) // no time has passed
		for n := range 1000 {
			want = append(want, fmt.Sprintf("%04d", n))
			i.NoErr(r.put(want[len(want)-1]))
			time.Sleep(3 * time.Millisecond)
		}
		time.Sleep(time.Second)
		items, records := r.readBack(t)
		i.Equal(items, want)
		i.True(records <= 1+4*4) // 4 s at 4 per second
		i.True(r.log.Counts().PeakPerSecond <= 5)
	})
}

// Guards against a waiter that gets a wrong verdict: "not appended" for an
// item that is in the log would run work twice, "appended" for one that isn't
// would lose it.
func TestVerdictsAfterFaults(t *testing.T) {
	tests := []struct {
		name     string
		faults   logsvc.Faults
		readBack bool
		want     State
		held     int
	}{
		{"answer lost, read back", logsvc.Faults{LostAnswer: 1}, true, Appended, 1},
		{"answer lost, never read back", logsvc.Faults{LostAnswer: 1}, false, Unknown, 1},
		{"late effect, read back in time", logsvc.Faults{LateEffect: 1, LateBy: 500 * time.Millisecond}, true, Appended, 1},
		{"late effect, after patience", logsvc.Faults{LateEffect: 1, LateBy: time.Minute}, true, Unknown, 0},
		{"outage", logsvc.Faults{Outage: true}, true, NotAppended, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(t *testing.T, i *is.I, r *rig) {
				r.log.SetFaults(tt.faults)
				i.NoErr(r.put("a"))
				time.Sleep(time.Second)
				if tt.readBack {
					r.readBack(t)
				}
				time.Sleep(2 * time.Second)
				synctest.Wait()
				i.Equal(r.results["a"].State, tt.want)
				i.Equal(r.results["a"].Err == nil, tt.want == Appended)
				items, _ := r.readBack(t)
				i.Equal(len(items), tt.held)
				i.True(r.writer.Idle())
			})
		})
	}
}

// Guards against an append that overtakes one with a lost answer.
func TestOrderHoldsAcrossLostAnswers(t *testing.T) {
	run(t, func(t *testing.T, i *is.I, r *rig) {
		r.log.SetFaults(logsvc.Faults{LostAnswer: 0.5, LateEffect: 0.3, LateBy: 700 * time.Millisecond})
		var want []string
		for n := range 40 {
			want = append(want, fmt.Sprintf("%02d", n))
			i.NoErr(r.put(want[n]))
			time.Sleep(300 * time.Millisecond)
			r.readBack(t)
		}
		for range 100 {
			time.Sleep(time.Second)
			r.readBack(t)
		}
		items, _ := r.readBack(t)
		i.Equal(items, want)
		for _, data := range want {
			i.Equal(r.results[data].State, Appended)
		}
	})
}

// Guards against a queue that grows without bound while the log is silent, and
// against waiters that are never told when the writer stops.
func TestQueueIsBoundedAndEveryWaiterIsTold(t *testing.T) {
	run(t, func(t *testing.T, i *is.I, r *rig) {
		r.writer.QueueItems, r.writer.QueueBytes = 3, 10
		r.log.SetFaults(logsvc.Faults{Silent: true})
		i.NoErr(r.put("in flight"))
		synctest.Wait()
		i.NoErr(r.put("aaaaa"))
		i.True(errors.Is(r.put("bbbbbb"), ErrFull)) // 11 bytes
		i.NoErr(r.put("b"))
		i.NoErr(r.put("c"))
		i.True(errors.Is(r.put("d"), ErrFull)) // 4 items
		i.Equal(r.writer.Backlog(), 3)
		c, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		i.Equal(r.writer.Append(c, nil).State, NotAppended)
	})
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		log := logsvc.New(clock.System{}, 3, logsvc.Retention{})
		log.SetFaults(logsvc.Faults{Silent: true})
		w := New(log, clock.System{}, "x", "w1")
		c, cancel := context.WithCancel(t.Context())
		go func() { _ = w.Run(c) }()
		var got []State
		i.NoErr(w.Enqueue([]byte("a"), func(r Result) { got = append(got, r.State) }))
		synctest.Wait()
		i.NoErr(w.Enqueue([]byte("b"), func(r Result) { got = append(got, r.State) }))
		cancel()
		synctest.Wait()
		i.Equal(got, []State{Unknown, NotAppended})
		i.True(errors.Is(w.Enqueue(nil, nil), ErrClosed))
	})
}
