package follow_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/world"
	"github.com/parsleybarrow/parsleybarrow/internal/process/follow"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a follower that waits for an answer to a read from before the end of an
// outage: the planners hold starts until a read succeeds.
func TestReadsSucceedSoonAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := &world.World{Clock: clock.System{}, Seed: 1, Heartbeat: time.Second}
		w.Begin()
		side := w.NewClient("entry-0", world.Path{}, world.Path{})
		var readAt atomic.Int64 // in Unix nanoseconds
		f := &follow.Follower{
			Store: side, Partition: side.Operator(), Clock: w.Clock, Wait: 700 * time.Millisecond, ReadInterval: 100 * time.Millisecond,
			OnFullRead: func([]sched.KeyedRecord) {}, OnAppended: func([]sched.KeyedRecord) {}, OnRead: func() { readAt.Store(time.Now().UnixNano()) },
		}
		go f.Run(t.Context())
		for outage := 2 * time.Second; outage < 12*time.Second; outage += 300 * time.Millisecond {
			time.Sleep(3 * time.Second)
			i.True(time.Since(time.Unix(0, readAt.Load())) < time.Second)
			w.StorePath("entry-0", func(p *world.Path) { p.Mode = world.Silent })
			time.Sleep(outage)
			w.StorePath("entry-0", func(p *world.Path) { p.Mode = world.Up })
			end := time.Now()
			time.Sleep(1700 * time.Millisecond)
			i.True(readAt.Load() > end.UnixNano()) // the longest timeout is 1.5 s
		}
	})
}
