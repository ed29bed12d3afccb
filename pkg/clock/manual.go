package clock

import (
	"context"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Manual is a clock that stands still until Advance is called. It is safe for
// concurrent use.
type Manual struct {
	mu       sync.Mutex
	now      time.Time
	sleepers map[*sleeper]struct{}
	changed  chan struct{} // closed when the set of sleepers changes
}

// sleeper is one pending call of Sleep.
type sleeper struct {
	until time.Time
	wake  chan struct{}
}

var _ sched.Clock = (*Manual)(nil)

// NewManual returns a clock that shows the time start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, sleepers: map[*sleeper]struct{}{}, changed: make(chan struct{})}
}

// Now implements sched.Clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Sleep implements sched.Clock. It returns at once if d is not positive.
func (m *Manual) Sleep(c context.Context, d time.Duration) error {
	if d <= 0 || c.Err() != nil {
		return c.Err()
	}
	m.mu.Lock()
	s := &sleeper{until: m.now.Add(d), wake: make(chan struct{})}
	m.sleepers[s] = struct{}{}
	m.notifyChanged()
	m.mu.Unlock()
	select {
	case <-s.wake:
		return nil
	case <-c.Done():
		m.mu.Lock()
		defer m.mu.Unlock()
		if _, waiting := m.sleepers[s]; waiting {
			delete(m.sleepers, s)
			m.notifyChanged()
		}
		return c.Err()
	}
}

// Advance moves the clock by d and wakes every sleeper whose time has come. It
// does not wait for the woken goroutines to run.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for s := range m.sleepers {
		if !s.until.After(m.now) {
			close(s.wake)
			delete(m.sleepers, s)
		}
	}
	m.notifyChanged()
}

// NextWake returns the earliest time at which a sleeper wakes, and false if
// there are no sleepers.
func (m *Manual) NextWake() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var first time.Time
	for s := range m.sleepers {
		if first.IsZero() || s.until.Before(first) {
			first = s.until
		}
	}
	return first, len(m.sleepers) > 0
}

// WaitSleepers waits until at least n goroutines sleep on the clock. It returns
// the context's error if the context ends first.
func (m *Manual) WaitSleepers(c context.Context, n int) error {
	for {
		m.mu.Lock()
		enough, changed := len(m.sleepers) >= n, m.changed
		m.mu.Unlock()
		if enough {
			return nil
		}
		select {
		case <-changed:
		case <-c.Done():
			return c.Err()
		}
	}
}

// notifyChanged wakes the callers of WaitSleepers. The caller holds the lock.
func (m *Manual) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}
