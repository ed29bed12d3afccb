package lead_test

import (
	"context"
	"errors"
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
