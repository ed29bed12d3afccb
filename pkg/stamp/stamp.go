package stamp

import (
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Clock issues stamps of a hybrid logical clock. It is safe for concurrent use.
// Wall must be set before use.
type Clock struct {
	// Wall is the source of the wall time.
	Wall sched.Clock
	// Bound limits how far an observed stamp may be ahead of the wall clock.
	// Stamps beyond it are ignored, so that one instance with a wrong clock
	// doesn't move the stamps of all others into the future. 0 means one
	// minute.
	Bound time.Duration

	mu   sync.Mutex
	last sched.Stamp
}

// defaultBound is far above any clock error that the settings allow.
const defaultBound = time.Minute

// Now returns a stamp that is later than every earlier result of Now and every
// stamp that Observe has accepted.
func (k *Clock) Now() sched.Stamp {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance(sched.Stamp{Wall: k.Wall.Now().UnixNano()})
	return k.last
}

// Observe makes later results of Now follow a stamp received from another
// process. It returns false and ignores the stamp if it is beyond Bound.
func (k *Clock) Observe(s sched.Stamp) bool {
	bound := k.Bound
	if bound == 0 {
		bound = defaultBound
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.Wall > k.Wall.Now().Add(bound).UnixNano() {
		return false
	}
	if k.last.Before(s) {
		k.last = s
	}
	return true
}

// advance sets the last stamp to the wall time, or to the next logical stamp if
// the wall time is not later. An overflow of the logical part adds one
// nanosecond.
func (k *Clock) advance(wall sched.Stamp) {
	if k.last.Before(wall) {
		k.last = wall
		return
	}
	k.last.Logical++
	if k.last.Logical == 0 {
		k.last.Wall++
	}
}
