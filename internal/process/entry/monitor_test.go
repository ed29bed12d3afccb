package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
)

// Guards against a cell that stays without a planner because the instance that agreed to
// take it over waits after earlier failures.
func TestATakeoverOnRequestIsNotDelayedByFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		e := &Entry{Clock: clock.System{}, directory: &peers.Directory{}}
		k := newCellController(e, 0)
		for range 10 {
			k.backoff.recordFailure(e.Clock.Now())
		}
		began := e.Clock.Now()
		time.AfterFunc(time.Second, func() { k.acceptTakeover(0) })
		m := &plannerMonitor{cell: k}
		i.Equal(m.run(t.Context()), "asked by the planner")
		i.Equal(e.Clock.Now().Sub(began), time.Second)
		i.True(m.run(t.Context()) != "")
		i.Equal(e.Clock.Now().Sub(began), maxFailureDelay) // without a request it waits
	})
}
