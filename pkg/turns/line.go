package turns

import (
	"slices"
	"sync"
	"time"
)

const (
	// sendAhead is how long before the server is expected to be free the next call is sent. It
	// covers a round trip between regions and the time until a caller takes its turn.
	sendAhead = 100 * time.Millisecond
	// maxCalls bounds the calls in flight where the server takes much less than sendAhead for
	// one.
	maxCalls = 4
	// minSlack is how much longer than expected a call may take before it is given up. The
	// server goes on with such a call, so the next one waits behind it. The slack therefore
	// doubles after each, up to maxSlack, until there is an answer.
	minSlack = 5 * time.Second
	maxSlack = time.Minute
	// minRetryDelay is the delay after a failed call. It doubles with each further one, up
	// to maxRetryDelay: work that waits must go on soon after the end of an outage.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Second
	// wantPeriod is how long a caller that was told to wait keeps its claim to the next
	// turn. Callers ask again several times in it while they have calls to make.
	wantPeriod = 100 * time.Millisecond
)

// Line is the line of calls at one server. Its callers take turns: of those that wait, the
// one whose last turn is the longest ago is next. The zero value is an empty line. It is
// safe for concurrent use.
type Line struct {
	mu sync.Mutex
	// calls are those in flight, oldest first.
	calls  []call
	newest int64
	// extra is how much longer than expected the server takes for a call. It rises at once,
	// so that the next call isn't given up too early, and falls by half with each call.
	extra time.Duration
	// answeredAt is the time of the last answer.
	answeredAt time.Time
	// failures is the number of failed calls since the last answer. No call is sent before
	// retryAt.
	failures int
	retryAt  time.Time
	// moreSlack is what calls get in addition to minSlack, since calls were given up.
	moreSlack time.Duration
	callers   map[any]*claim
}

// call is a call in flight. It is expected to take the given time once the server handles
// it, and to be answered at the time in ends. It is given up at the time in until, with the
// slack included.
type call struct {
	id          int64
	caller      any
	sentAt      time.Time
	takes       time.Duration
	ends, until time.Time
	slack       time.Duration
}

// claim is a caller's claim to the next turn. wantedAt is zero if it has none.
type claim struct{ wantedAt, servedAt time.Time }

// Free reports whether the caller, which is any comparable value that identifies it, may
// send a call now.
func (l *Line) Free(now time.Time, caller any) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.claimOf(caller)
	c.wantedAt = now
	if !l.free(now) {
		return false
	}
	for _, o := range l.callers {
		if o != c && now.Sub(o.wantedAt) <= wantPeriod && o.servedAt.Before(c.servedAt) {
			return false
		}
	}
	c.wantedAt = time.Time{} // a caller that doesn't use its turn must not hold up the others
	return true
}

// claimOf returns the claim of a caller. The lock is held.
func (l *Line) claimOf(caller any) *claim {
	if l.callers == nil {
		l.callers = map[any]*claim{}
	}
	c := l.callers[caller]
	if c == nil {
		c = &claim{}
		l.callers[caller] = c
	}
	return c
}

// free reports whether the next call may be sent. The lock is held.
func (l *Line) free(now time.Time) bool {
	// The end of a call that is given up may never be told, if its caller has ended.
	l.calls = slices.DeleteFunc(l.calls, func(c call) bool { return now.Sub(c.until) > sendAhead })
	n := len(l.calls)
	if n == 0 || now.Before(l.retryAt) {
		return !now.Before(l.retryAt)
	}
	oldest, newest := l.calls[0], l.calls[n-1]
	return n < maxCalls && newest.ends.Sub(now) <= sendAhead && now.Sub(oldest.ends) < sendAhead
}

// Begin adds a call that the caller sends now, and that takes the server the given time. It
// returns the number of the call for End, the time within which it is expected to be
// answered, and the time after which its caller has to give it up.
func (l *Line) Begin(now time.Time, caller any, takes time.Duration) (id int64, expected, timeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends := now
	if n := len(l.calls); n > 0 && l.calls[n-1].ends.After(now) {
		ends = l.calls[n-1].ends
	}
	ends = ends.Add(takes + l.extra)
	l.newest++
	slack := minSlack + l.moreSlack
	l.calls = append(l.calls, call{l.newest, caller, now, takes, ends, ends.Add(slack), slack})
	l.claimOf(caller).servedAt = now
	return l.newest, ends.Sub(now), ends.Sub(now) + slack
}

// End tells that a call was answered, or has failed, which includes that it was given up. It
// has no effect on one that is no longer in flight.
func (l *Line) End(now time.Time, id int64, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := slices.IndexFunc(l.calls, func(c call) bool { return c.id == id })
	if k < 0 {
		return
	}
	c := l.calls[k]
	l.calls = slices.Delete(l.calls, k, k+1)
	if !answered {
		if now.Before(c.until) {
			l.failures++
		} else if c.slack == minSlack+l.moreSlack {
			l.moreSlack = min(maxSlack, 2*c.slack) - minSlack
		}
		l.retryAt = now.Add(Backoff(l.failures, maxRetryDelay))
		return
	}
	began := c.sentAt
	if l.answeredAt.After(began) {
		began = l.answeredAt
	}
	more := now.Sub(began) - c.takes
	l.extra = max(0, more, (l.extra+more)/2)
	l.failures, l.retryAt, l.answeredAt, l.moreSlack = 0, time.Time{}, now, 0
	for k, ends := 0, now; k < len(l.calls); k++ {
		ends = ends.Add(l.calls[k].takes + l.extra)
		l.calls[k].ends = ends
	}
}

// Backoff returns the delay after a number of failures in a row: minRetryDelay, doubled
// with each further one, up to the limit.
func Backoff(failures int, limit time.Duration) time.Duration {
	d := minRetryDelay
	for n := 1; n < failures && d < limit; n++ {
		d *= 2
	}
	return min(d, limit)
}

// Leave forgets a caller that ends, and its calls.
func (l *Line) Leave(caller any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.callers, caller)
	l.calls = slices.DeleteFunc(l.calls, func(c call) bool { return c.caller == caller })
}

// Extra returns how much longer than expected the server has taken for recent calls.
func (l *Line) Extra() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.extra
}

// Wait returns how long it is until the server is expected to be free.
func (l *Line) Wait(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := max(0, l.retryAt.Sub(now))
	if n := len(l.calls); n > 0 {
		w = max(w, l.calls[n-1].ends.Sub(now))
	}
	return w
}
