package peers_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// slowStart is a store whose first reads take long, as they do for a process that starts
// on a throttled processor.
type slowStart struct {
	sched.Store
	slow int
}

func (s *slowStart) Newest(context.Context, sched.Partition, string) (sched.NewestPage, error) {
	return sched.NewestPage{}, nil
}

func (s *slowStart) Read(context.Context, sched.Partition, sched.Offset, time.Duration) (sched.Batch, error) {
	if s.slow--; s.slow >= 0 {
		time.Sleep(90 * time.Millisecond)
	}
	time.Sleep(4 * time.Millisecond)
	return sched.Batch{}, nil
}

func (s *slowStart) Append(context.Context, sched.Partition, sched.Offset, []sched.KeyedRecord) (sched.Offset, error) {
	return 1, nil
}

// Guards against an instance that counts as far from the store, and so isn't chosen as a
// planner, since it measured the round trip while it started.
func TestTheRoundTripIsThatOfTheFastestRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		d := &peers.Directory{
			Self: peers.Instance{ID: "a"}, Store: &slowStart{slow: 3}, Clock: clock.System{}, Log: zap.NewNop(),
		}
		i.NoErr(d.Register(t.Context()))
		i.Equal(d.Self.StoreRTT, 4*time.Millisecond)
	})
}
