package clock

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a sleeper that wakes before its time or not at its time.
func TestManualWakesSleepersAtTheirTime(t *testing.T) {
	i := is.New(t)
	m := NewManual(time.Unix(1000, 0))
	woken := make(chan time.Duration, 2)
	for _, d := range []time.Duration{time.Second, 3 * time.Second} {
		go func() {
			i.NoErr(m.Sleep(t.Context(), d))
			woken <- d
		}()
	}
	i.NoErr(m.WaitSleepers(t.Context(), 2))
	next, ok := m.NextWake()
	i.True(ok)
	i.Equal(next, time.Unix(1001, 0))
	m.Advance(2 * time.Second)
	i.Equal(<-woken, time.Second)
	next, _ = m.NextWake()
	i.Equal(next, time.Unix(1003, 0))
	m.Advance(time.Second)
	i.Equal(<-woken, 3*time.Second)
}

// Guards against a sleeper that doesn't return when its context ends, or that
// stays registered after it.
func TestManualSleepEndsWithItsContext(t *testing.T) {
	i := is.New(t)
	m := NewManual(time.Unix(1000, 0))
	c, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Sleep(c, time.Hour) }()
	i.NoErr(m.WaitSleepers(t.Context(), 1))
	cancel()
	i.Equal(<-done, context.Canceled)
	_, sleeping := m.NextWake()
	i.True(!sleeping)
}
