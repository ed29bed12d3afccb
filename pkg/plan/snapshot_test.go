package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/bench/batch"
	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
)

// Guards against instances without state that can't recover, or that lose tasks,
// after the log has trimmed the beginning of the stream.
func TestRecoveryFromTrimmedStream(t *testing.T) {
	is := is.New(t)
	c := config(3, 3, 4)
	c.Retain = 150
	c.Options = func(o *plan.Options) { o.SnapshotEvery = 100 }
	s := batch.New(c)
	s.Run(2 * time.Second)
	n := 0
	submit := func() {
		s.Submit(n, task(fmt.Sprintf("task-%d", n), 3000))
		n++
	}
	for range 250 {
		submit()
		s.Run(time.Second)
	}
	is.True(s.Log()[0].Offset > 1) // the stream is trimmed
	for i := range c.Planners {
		s.CrashHost(i)
	}
	s.Run(time.Second)
	for i := range c.Planners {
		s.RestartHost(i)
	}
	for range 20 {
		submit()
		s.Run(2 * time.Second)
	}
	s.Run(10 * time.Minute)
	checkInvariants(t, s, "recovery")
	checkFinalState(t, s)
	for _, p := range s.Planners() {
		is.True(p.Ledger().Ready())
	}
	is.Equal(s.Ledger().Usage("kooperatiba", s.Now()).Runs, int64(len(s.Accepted)))
	is.True(len(s.Accepted) >= 250)
}

// Guards against a stream with few records whose oldest ones are trimmed by age
// before the number of records triggers a snapshot.
func TestSnapshotByAge(t *testing.T) {
	is := is.New(t)
	c := config(4, 1, 2)
	c.Settings.Limits.DedupWindow = 20 * time.Minute
	s := batch.New(c)
	s.Run(2 * time.Second)
	for i := range 60 {
		s.Submit(0, task(fmt.Sprintf("task-%d", i), 3000))
		s.Run(12 * time.Second)
	}
	is.True(s.Ledger().SnapshotOffset() > 0)
	is.True(s.Now().Sub(time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)) < 20*time.Minute)
}
