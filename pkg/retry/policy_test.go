package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/retry"
)

// Guards against sends that start so late that the deadline leaves their outcome
// unknown, and against sends beyond the budget.
func TestNoSendStartsJustBeforeTheDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := retry.NewPolicy(0.2, rapid.Uint64().Draw(t, "seed"))
		now := time.Unix(1000, 0)
		granted := 0
		for n := range rapid.IntRange(1, 100).Draw(t, "sends") {
			left := time.Duration(rapid.IntRange(0, 1000).Draw(t, "left")) * time.Millisecond
			wait, ok := p.Resend(n+1, now, now.Add(left))
			if !ok {
				continue
			}
			granted++
			if left-wait < 50*time.Millisecond {
				t.Fatalf("a send starts %v before its deadline", left-wait)
			}
		}
		if granted > 10 {
			t.Fatalf("%d resends without any traffic", granted)
		}
	})
}

// Guards against waits that grow without bound or become zero, and against retries
// of a policy that allows none.
func TestWaitsGrowToABound(t *testing.T) {
	is := is.New(t)
	p := retry.NewPolicy(0, 1)
	now := time.Unix(1000, 0)
	for n := 1; n < 40; n++ {
		wait, ok := p.SearchDelay(n, now, now.Add(time.Hour))
		is.True(ok)
		is.True(wait >= time.Millisecond && wait <= 250*time.Millisecond)
	}
	_, ok := p.Retry(1, now, now.Add(time.Hour))
	is.True(!ok) // a share of 0 allows no retries
}
