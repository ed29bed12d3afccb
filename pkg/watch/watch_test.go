package watch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/watch"
)

// Guards against a takeover, which reads the whole cell, by an instance that can't reach
// the planner over a link between regions while the planner appends, and against one that
// is no longer made when the planner is gone or nobody reaches it.
func TestAPlannerThatAppendsIsReplacedOnlyIfItIsIsolated(t *testing.T) {
	const step = 80 * time.Millisecond
	cases := []struct {
		name     string
		near     bool // the candidate
		nearPeer bool // the instance that agrees
		readTime time.Duration
		appends  bool
		refused  bool
		want     bool
	}{
		{"far, planner appends", false, false, 45 * time.Millisecond, true, false, false},
		{"far, planner is gone", false, false, 45 * time.Millisecond, false, false, true},
		{"far, no process listens", false, false, 45 * time.Millisecond, true, true, true},
		{"far, planner's region doesn't reach it", false, true, 45 * time.Millisecond, true, false, true},
		{"far over a full link", false, true, 200 * time.Millisecond, true, false, false},
		{"near, planner appends", true, false, 4 * time.Millisecond, true, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			w := watch.Monitor{Near: c.near}
			at := time.Unix(1e9, 0)
			end := sched.Offset(100)
			took := false
			for range 20 {
				w.RecordNoAnswer(at, c.refused)
				w.RecordPeerReport(at, false, c.nearPeer)
				w.RecordEnd(at.Add(-c.readTime), at, end)
				if c.appends {
					end++
				}
				yes, _ := w.TakeOver(at)
				took = took || yes
				at = at.Add(step)
			}
			i.Equal(took, c.want)
		})
	}
}
