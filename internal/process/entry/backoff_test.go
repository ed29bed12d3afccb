package entry_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/world"
	"github.com/parsleybarrow/parsleybarrow/internal/process/entry"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against an instance that begins several terms a second while its planner fails
// in each, and against one that waits after a single failure.
func TestTermsOfAFailingPlannerAreSpacedOut(t *testing.T) {
	rows := []struct {
		name                 string
		failures             int // the planner fails in that many terms
		minTerms, maxTerms   int // within a minute
		minLastGap, maxFirst time.Duration
	}{
		{"one failure", 1, 2, 2, 0, time.Second},
		{"each term", 1 << 10, 10, 25, 4 * time.Second, time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				begun := beginTerms(t, row.failures)
				t.Logf("%d terms in a minute", len(begun))
				i.True(len(begun) >= row.minTerms)
				i.True(len(begun) <= row.maxTerms)
				n := len(begun)
				i.True(begun[1].Sub(begun[0]) <= row.maxFirst)
				i.True(begun[n-1].Sub(begun[n-2]) >= row.minLastGap)
			})
		})
	}
}

// beginTerms runs an instance for a minute. Its planner panics when it logs that a worker
// is draining, in as many terms as given. The result is when the terms began.
func beginTerms(t *testing.T, failures int) []time.Time {
	t.Helper()
	w := &world.World{
		Clock: clock.System{}, Heartbeat: time.Second,
		Workers: []sched.Worker{{ID: "worker", Address: "worker:1", Incarnation: 1, Draining: true}},
	}
	w.Begin()
	side := w.NewClient("entry", world.Path{}, world.Path{})
	lines, logged := observer.New(zap.InfoLevel)
	log := zap.New(lines, zap.Hooks(func(x zapcore.Entry) error {
		if x.Message == "workerDraining" && failures > 0 {
			failures--
			panic("index out of range")
		}
		return nil
	}))
	e := &entry.Entry{
		Self:  peers.Instance{ID: "entry", Incarnation: 1, Address: "entry:1"},
		Store: side, Registry: side, Runner: side, Clock: w.Clock, Log: log, WorkersPerCell: 1,
	}
	e.Reload(cell.Options{}, time.Second)
	c, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(c) }()
	time.Sleep(time.Minute)
	stop()
	<-ended
	var begun []time.Time
	for _, x := range logged.FilterMessage("termBegan").All() {
		begun = append(begun, x.Time)
	}
	return begun
}
