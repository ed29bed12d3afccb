package stamp_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/stamp"
)

type wall struct{ now time.Time }

func (w *wall) Now() time.Time                             { return w.now }
func (w *wall) Sleep(context.Context, time.Duration) error { return nil }

// Guards against an effect that is ordered before its cause, because the wall
// clock steps back or the clock of a peer is ahead.
func TestStampsRiseAndFollowObservedStamps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &wall{now: time.Unix(1000, 0)}
		k := stamp.Clock{Wall: w}
		last := sched.Stamp{}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(-3, 3).Draw(t, "step")))
			if rapid.Bool().Draw(t, "observe") {
				s := sched.Stamp{Wall: w.now.UnixNano() + rapid.Int64Range(-5, 5).Draw(t, "skew"), Logical: 3}
				if k.Observe(s) && last.Before(s) {
					last = s
				}
				continue
			}
			s := k.Now()
			if !last.Before(s) {
				t.Fatalf("stamp %v was issued after %v", s, last)
			}
			last = s
		}
	})
}

// Guards against one process with a wrong clock that moves the stamps of all
// others into the future.
func TestStampBeyondTheBoundIsNotAdopted(t *testing.T) {
	i := is.New(t)
	w := &wall{now: time.Unix(1000, 0)}
	k := stamp.Clock{Wall: w, Bound: time.Second}
	i.True(!k.Observe(sched.Stamp{Wall: w.now.Add(2 * time.Second).UnixNano()}))
	i.Equal(k.Now().Wall, w.now.UnixNano())
}
