package conns_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/conns"
)

// Guards against a silent connection that is not detected, and against a slow
// one that is taken for silent.
func TestSilence(t *testing.T) {
	for _, c := range []struct {
		name string
		// took is the service time of the requests on the other connection.
		// progress is the interval at which bytes arrive on the connection under
		// test, 0 for never.
		took, progress time.Duration
		siblings       bool
		silent         bool
	}{
		{"hangs while siblings answer", 10 * time.Millisecond, 0, true, true},
		{"hangs while slow siblings answer", time.Second, 0, true, true},
		{"hangs without siblings", 0, 0, false, false},
		{"makes slow progress", 10 * time.Millisecond, 200 * time.Millisecond, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var tr conns.Tracker
			now := time.Unix(1000, 0)
			tested, other := tr.Opened(now), tr.Opened(now)
			tr.Sent(tested, now)
			last, found := now, 0
			for end := now.Add(20 * time.Second); c.siblings && now.Before(end); {
				now = now.Add(time.Millisecond)
				tr.Sent(other, now)
				for range c.took / time.Millisecond {
					now = now.Add(time.Millisecond)
					if c.progress > 0 && now.Sub(last) >= c.progress {
						tr.Progress(tested, now)
						last = now
					}
				}
				for _, s := range tr.Finished(other, now) {
					is.True(s == tested)
					found++
				}
			}
			is.Equal(found == 1, c.silent)
			is.Equal(found == 0, !c.silent)
		})
	}
}
