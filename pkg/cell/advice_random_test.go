package cell_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against accepted jobs that don't end, starts with tickets that have ended, and calls
// that pile up at the service, for queues with any settings, loads up to three times what the
// service bears, and troubles of the service in between.
func TestAcceptedJobsThatNeedAdviceEnd(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := &adviceService{
			settings: sched.AdviceSettings{
				Decision:  time.Duration(rapid.IntRange(5, 600).Draw(r, "decisionMs")) * time.Millisecond,
				PerWorker: time.Duration(rapid.IntRange(0, 40).Draw(r, "perWorkerMs")) * time.Millisecond,
				Validity:  time.Duration(rapid.IntRange(2500, 8000).Draw(r, "validityMs")) * time.Millisecond,
			},
			fromArrival: rapid.Bool().Draw(r, "fromArrival"),
			slowness:    rapid.Float64Range(1, 1.5).Draw(r, "slowness"),
		}
		workers := rapid.IntRange(1, 16).Draw(r, "workers")
		l := newAdviceLoad(t, workers, s)
		bears := 1 / (s.slowness * (s.settings.Decision + time.Duration(workers)*s.settings.PerWorker).Seconds())
		// More than that a second shows nothing else, and takes long to play.
		rate := min(rapid.Float64Range(0.1, 3).Draw(r, "load")*bears, 12)
		load := func(time.Duration) float64 { return rate }
		l.runFor(6*time.Second, load)
		trouble := rapid.IntRange(0, 3).Draw(r, "trouble")
		switch trouble {
		case 1:
			s.silent = true
		case 2:
			s.full = true
		case 3:
			s.freeAt = l.now.Add(4 * time.Second)
		}
		l.runFor(4*time.Second, load)
		s.silent, s.full = false, false
		l.runFor(8*time.Second, load)
		l.runFor(14*time.Second, nothing)
		if n := len(l.unfinished()); n > 0 {
			r.Fatalf("%d of %d accepted jobs have not ended", n, len(l.accepted))
		}
		if s.most > 4 {
			r.Fatalf("%d calls were at the service at the same time", s.most)
		}
		// Calls that stood still at the service may bring tickets that have ended.
		if trouble != 3 && l.refusedStarts > 0 {
			r.Fatalf("%d starts were refused", l.refusedStarts)
		}
	})
}
