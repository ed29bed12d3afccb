package stall_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/stall"
)

// TestACallEndsWhenItMakesNoProgress guards against calls that hang on a silent peer, and against aborted transfers that
// still make progress, which kept a shared link saturated for half a minute.
func TestACallEndsWhenItMakesNoProgress(t *testing.T) {
	limits := stall.Limits{First: 300 * time.Millisecond, Idle: 500 * time.Millisecond, Total: 3 * time.Second}
	cases := []struct {
		name     string
		arrivals []time.Duration // since the beginning of the call
		end      time.Duration
	}{
		{"no data", nil, 300 * time.Millisecond},
		{"data stops", []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}, 1100 * time.Millisecond},
		{
			"slow but steady",
			[]time.Duration{250 * time.Millisecond, 650 * time.Millisecond, 1100 * time.Millisecond, 1550 * time.Millisecond},
			2050 * time.Millisecond,
		},
		{"longer than the whole call may take", steady(400*time.Millisecond, 10), 3 * time.Second},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				c, cancel := limits.Context(t.Context())
				defer cancel()
				go func() {
					for _, a := range k.arrivals {
						time.Sleep(a - time.Since(began))
						stall.Progressed(c)
					}
				}()
				<-c.Done()
				is.New(t).Equal(time.Since(began), k.end)
				time.Sleep(limits.Total * 2) // the remaining arrivals have no effect
			})
		})
	}
}

// steady returns n arrivals at equal distances, the first one early enough.
func steady(every time.Duration, n int) []time.Duration {
	out := []time.Duration{100 * time.Millisecond}
	for k := 1; k < n; k++ {
		out = append(out, time.Duration(k)*every)
	}
	return out
}

// TestProgressUnderAnotherContext guards against transports that fail where a call has no limits.
func TestProgressUnderAnotherContext(*testing.T) {
	stall.Progressed(context.Background())
}
