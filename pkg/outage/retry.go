package outage

import "time"

const (
	// minRetry and maxRetry bound the time after which callers should retry. Callers try four
	// times more, so that even an outage of several seconds ends before the last.
	minRetry = 500 * time.Millisecond
	maxRetry = 4 * time.Second
	// minWindow and maxWindow bound the time over which the returns are spread. Callers read
	// whole seconds, so that a window below one second would have no effect on them.
	minWindow = time.Second
	maxWindow = 4 * time.Second
	// rateInterval is the interval over which decisions are counted, and rateDecay the
	// factor by which an earlier rate shrinks with each.
	rateInterval = 250 * time.Millisecond
	rateDecay    = 0.98
	// headroom is the part of the measured rate that returning calls may take. The rest is
	// for new ones.
	headroom = 0.5
	// priorities is the number of priorities that are told apart, and priorityPart the part
	// of the window by which the lowest returns later than the highest.
	priorities   = 4
	priorityPart = 0.5
	// longWait is how long a call must have waited, here, to return as one of the highest
	// priority.
	longWait = time.Second
)

// RetryAfter returns when a caller that is refused now should retry: after the expected end
// of the outage, spread over the time that the planner takes for all refused calls.
func (g *Gate) RetryAfter(now time.Time, c Call) time.Duration {
	end := min(max(g.untilBack(now), minRetry), maxRetry)
	window := g.returns.refuse(now, end)
	late := float64(min(max(c.Priority, 0), priorities-1)) / (priorities - 1) * (1 - min(1, float64(c.Waited)/float64(longWait)))
	return end + time.Duration(float64(window)*(priorityPart*late+(1-priorityPart)*g.random()))
}

// untilBack returns the time until returning callers will probably be served. A takeover
// that is overdue may take as long again, as may an outage of the store.
func (g *Gate) untilBack(now time.Time) time.Duration {
	if gone := now.Sub(g.lostAt); !g.lostAt.IsZero() && gone > takeoverTime {
		return gone / 2
	}
	return g.expectedEnd(now)
}

// returns estimates the time that a planner takes for the callers that were refused.
type returns struct {
	// counted decisions since countedFrom, and the highest recent rate per second.
	counted     int
	countedFrom time.Time
	rate        float64
	// expected callers return up to until.
	expected int
	until    time.Time
}

// decided counts a decision.
func (r *returns) decided(now time.Time) {
	if d := now.Sub(r.countedFrom); d >= rateInterval {
		if d < 2*rateInterval {
			r.rate = max(r.rate*rateDecay, float64(r.counted)/d.Seconds())
		}
		r.counted, r.countedFrom = 0, now
	}
	r.counted++
}

// refuse counts a caller that returns after the given time at the earliest and returns the
// window over which those expected are spread.
func (r *returns) refuse(now time.Time, end time.Duration) time.Duration {
	if now.After(r.until) {
		r.expected = 0
	}
	r.expected++
	window := minWindow
	if r.rate > 0 {
		window = time.Duration(float64(r.expected) / (headroom * r.rate) * float64(time.Second))
	}
	window = min(max(window, minWindow), maxWindow)
	r.until = now.Add(end + window)
	return window
}

// sent tells whether a planner leaves calls without an answer.
type sent struct {
	open  int
	since time.Time // of the oldest call since the newest answer
}

func (s *sent) begin(now time.Time) {
	if s.open == 0 {
		s.since = now
	}
	s.open++
}

func (s *sent) end() { s.open = max(0, s.open-1) }

func (s *sent) answered(now time.Time) { s.since = now }

// silent reports whether calls have had no answer for silenceLimit, and since when.
func (s *sent) silent(now time.Time) (time.Time, bool) {
	return s.since, s.open > 0 && now.Sub(s.since) >= silenceLimit
}
