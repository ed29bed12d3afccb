package lead_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/world"
	"github.com/parsleybarrow/parsleybarrow/internal/process/lead"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a planner that has panicked and keeps its term: nothing is placed any
// more, and no other instance takes over.
func TestAPlannerThatPanicsEndsItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := &world.World{Clock: clock.System{}, Seed: 1, Heartbeat: time.Second}
		w.Begin()
		c, stop := context.WithCancel(t.Context())
		defer stop()
		begin := func(id sched.InstanceID) (*lead.Leader, chan error) {
			begun := make(chan struct{})
			side := w.NewClient(id, world.Path{}, world.Path{})
			l := &lead.Leader{
				Store: side, Runner: side, Clock: w.Clock, Options: cell.Options{LeaseLimit: 6 * time.Second},
				Term: lead.Term{ID: id, Incarnation: 1}, OnBegin: func(sched.Offset) { close(begun) },
			}
			ended := make(chan error, 1)
			go func() { ended <- l.Run(c) }()
			<-begun
			return l, ended
		}
		l, ended := begin("entry-0")
		l.Post(func() { panic("index out of range") })
		time.Sleep(time.Second)
		select {
		case err := <-ended:
			i.True(errors.Is(err, lead.ErrPlannerFailed))
		default:
			t.Fatal("the term goes on")
		}
		_, _, err := l.State(c, "0000000000000001")
		i.Equal(err, lead.ErrNotPlanner) // the state of a broken planner isn't shown
		next, _ := begin("entry-1")
		_, _, err = next.State(c, "0000000000000001")
		i.NoErr(err)
		stop()
		time.Sleep(time.Second)
	})
}

// silentStore answers no append while silent is set.
type silentStore struct {
	sched.Store
	silent atomic.Bool
}

func (s *silentStore) Append(c context.Context, p sched.Partition, at sched.Offset, r []sched.KeyedRecord) (sched.Offset, error) {
	if s.silent.Load() {
		<-c.Done()
		return 0, sched.ErrUncertain
	}
	return s.Store.Append(c, p, at, r)
}

// Guards against a planner that has panicked and keeps its term for as long as the store
// doesn't answer, or blocks when it panics again.
func TestAPlannerThatPanicsDuringAnAppendEndsItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := &world.World{Clock: clock.System{}, Seed: 1, Heartbeat: time.Second}
		w.Begin()
		c, stop := context.WithCancel(t.Context())
		defer stop()
		begun := make(chan struct{})
		side := w.NewClient("entry-0", world.Path{}, world.Path{})
		store := &silentStore{Store: side}
		l := &lead.Leader{
			Store: store, Runner: side, Clock: w.Clock, Options: cell.Options{LeaseLimit: 6 * time.Second},
			Term: lead.Term{ID: "entry-0", Incarnation: 1}, OnBegin: func(sched.Offset) { close(begun) },
		}
		ended := make(chan error, 1)
		go func() { ended <- l.Run(c) }()
		<-begun
		store.silent.Store(true)
		time.Sleep(3 * time.Second) // the append of the heartbeat has no answer
		i.True(l.Waiting())
		l.Post(func() { panic("index out of range") })
		l.Post(func() { panic("again") })
		time.Sleep(time.Second)
		select {
		case err := <-ended:
			i.True(errors.Is(err, lead.ErrPlannerFailed))
		default:
			t.Fatal("the term goes on")
		}
		stop()
		time.Sleep(time.Second)
	})
}
