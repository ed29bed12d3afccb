package event_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/event"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/stamp"
)

type wall struct{ now time.Time }

func (w *wall) Now() time.Time                             { return w.now }
func (w *wall) Sleep(context.Context, time.Duration) error { return nil }

func ring(id sched.InstanceID, w *wall, size int) *event.Ring {
	return &event.Ring{Instance: id, Clock: &stamp.Clock{Wall: w}, Size: size}
}

// Guards against memory without bound, and against a full buffer that drops the
// newest events instead of the oldest.
func TestFullRingKeepsTheNewestInOrder(t *testing.T) {
	i := is.New(t)
	r := ring("a", &wall{now: time.Unix(5, 0)}, 3)
	for v := sched.Offset(1); v <= 5; v++ {
		r.Add(sched.Event{Kind: event.KindVersionInForce, Version: v})
	}
	got := r.Select(sched.Filter{})
	i.Equal(len(got), 3)
	i.Equal(got[0].Version, sched.Offset(3))
	i.Equal(got[2].Version, sched.Offset(5))
	i.Equal(r.Select(sched.Filter{Limit: 1})[0].Version, sched.Offset(5))
	i.Equal(r.Displaced(), uint64(2))
}

// Guards against a merged order that repeats events, or that places an event
// before one that its process had observed.
func TestMergeOrdersByStampAndDropsRepeats(t *testing.T) {
	i := is.New(t)
	w := &wall{now: time.Unix(5, 0)}
	a, b := ring("a", w, 10), ring("b", w, 10)
	cause := a.Add(sched.Event{Kind: event.KindPlaced, Task: "t"})
	b.Clock.Observe(cause.Stamp)
	b.Add(sched.Event{Kind: event.KindTaskStarted, Task: "t"})
	b.Add(sched.Event{Kind: event.KindPlaced, Task: "u"})
	got := event.Merge(b.Select(sched.Filter{Task: "t"}), a.Select(sched.Filter{}), a.Select(sched.Filter{}))
	i.Equal(len(got), 2)
	i.Equal(got[0].Kind, event.KindPlaced)
	i.Equal(got[1].Kind, event.KindTaskStarted)
}
