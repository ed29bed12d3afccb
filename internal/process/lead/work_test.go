package lead_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/parsleybarrow/parsleybarrow/internal/process/busy"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
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
