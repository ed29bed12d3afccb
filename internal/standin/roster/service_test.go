package roster

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a list that shows changes before the lag has passed: tests of
// the scheduler with stale membership would then run with current membership.
// It also checks that an outage refuses calls.
func TestListShowsChangesAfterTheLag(t *testing.T) {
	i := is.New(t)
	m := clock.NewManual(time.Unix(1000, 0))
	s := New(m, 5*time.Second)
	a := sched.Member{ID: "a", Role: sched.RoleEntry, State: sched.StateLive}
	s.PutNow(a)
	s.Put(a.WithState(sched.StateLeaving))
	m.Advance(2 * time.Second)
	s.Remove("a")
	states := map[time.Duration]sched.State{}
	for range 4 {
		list, err := s.Members(t.Context())
		i.NoErr(err)
		if len(list) == 1 {
			states[m.Now().Sub(time.Unix(1000, 0))] = list[0].State
		}
		m.Advance(2 * time.Second)
	}
	i.Equal(states, map[time.Duration]sched.State{
		2 * time.Second: sched.StateLive, 4 * time.Second: sched.StateLive, 6 * time.Second: sched.StateLeaving,
	})
	s.SetOutage(true)
	_, err := s.Members(t.Context())
	i.True(errors.Is(err, sched.ErrUnavailable))
}
