package lead_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/parsleybarrow/parsleybarrow/internal/process/busy"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a planner that falls behind without a trace in logs and metrics.
func TestAnOverloadedPlannerIsReported(t *testing.T) {
	rows := []struct {
		name     string
		work     time.Duration // of each of two messages that arrive together
		reported bool
	}{
		{"idle", time.Millisecond, false},
		{"a message waits", 150 * time.Millisecond, true},
		{"busy", 400 * time.Millisecond, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				w := newWorld()
				l := newLeader(w, "entry-0")
				lines, logged := observer.New(zap.InfoLevel)
				l.Log = zap.New(lines)
				var busyTime, wait time.Duration
				l.OnLoad = func(r busy.Report) { busyTime, wait = busyTime+r.Busy, max(wait, r.LongestWait) }
				c, stop := context.WithCancel(t.Context())
				ended := begin(c, l)
				time.Sleep(time.Second)
				for range 2 {
					l.Post(func(*cell.Planner) { time.Sleep(row.work) })
				}
				time.Sleep(3 * time.Second)
				stop()
				<-ended
				time.Sleep(time.Second) // the actor system ends
				i.Equal(busyTime, 2*row.work)
				i.True(wait >= row.work)
				i.Equal(logged.FilterMessage("plannerLoad").Len() > 0, row.reported)
			})
		})
	}
}

// Guards against a planner that falls further behind by work for callers that have given up,
// and against a cancel that is lost with its caller.
func TestCallsWhoseCallersHaveGoneAreNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		l := newLeader(newWorld(), "entry-0")
		c, stop := context.WithCancel(t.Context())
		ended := begin(c, l)
		_, err := l.Submit(c, sched.Job{ID: "kept", Steps: []sched.Step{{Tasks: 1}}})
		i.NoErr(err)
		l.Post(func(*cell.Planner) { time.Sleep(500 * time.Millisecond) })
		x, cancel := context.WithTimeout(c, 100*time.Millisecond)
		defer cancel()
		var calls sync.WaitGroup
		var v sched.Verdict
		var inTime bool
		calls.Go(func() {
			v, err = l.Submit(x, sched.Job{ID: "late", Steps: []sched.Step{{Tasks: 1}}})
			inTime = x.Err() == nil
		})
		calls.Go(func() { _, _ = l.Cancel(x, "kept") })
		calls.Wait()
		i.NoErr(err)
		i.Equal(v.Code, sched.CodeDeadlineTooShort) // it certainly isn't accepted
		i.True(inTime)
		time.Sleep(time.Second)
		late, _, err := l.State(c, "late")
		i.NoErr(err)
		i.Equal(late, sched.JobState(0))
		kept, _, err := l.State(c, "kept")
		i.NoErr(err)
		i.Equal(kept, sched.JobCancelled)
		stop()
		<-ended
		time.Sleep(time.Second)
	})
}
