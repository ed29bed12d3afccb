package stamp

import (
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Clock issues hybrid logical stamps. Safe for concurrent use. The zero value
// needs Wall to be set.
type Clock struct {
	// Wall is the source of the wall time.
	Wall sched.Clock
	// Bound limits how far an observed stamp may run ahead of the wall clock.
	// Later stamps are not adopted, so that one instance with a wrong clock
	// does not shift the time line of all others. 0 means one minute.
	Bound time.Duration

	mu   sync.Mutex
	last sched.Stamp
}

// defaultBound is far above any clock error that the settings allow.
const defaultBound = time.Minute

// Now returns a stamp that is later than every earlier result of Now and
// every stamp adopted by Observe.
func (k *Clock) Now() sched.Stamp {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.advance(sched.Stamp{Wall: k.Wall.Now().UnixNano()})
	return k.last
}

// Observe adopts a stamp received from another process, and tells whether it
// was within Bound.
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
