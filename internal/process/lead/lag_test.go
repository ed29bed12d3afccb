package lead

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
)

// Guards against a planner that hands its cell over because its own process lacks
// processor time. Its successor gets the same load and does the same, and each
// takeover interrupts the cell (18 takeovers in 20 s on a large site).
func TestABusyPlannerDoesNotDoubtTheStore(t *testing.T) {
	i := is.New(t)
	k := clock.NewManual(time.Date(2026, 9, 8, 12, 0, 0, 0, time.UTC))
	l := &Leader{Clock: k, begunAt: k.Now().Add(-time.Minute), meanAppendTime: 6 * time.Millisecond}
	i.Equal(l.suspectAfter(), suspectTimeout)
	l.lag.observe(150 * time.Millisecond)
	i.True(l.suspectAfter() >= 700*time.Millisecond)
	for range 60 { // 60 ticks of 25 ms without a delay
		l.lag.observe(0)
	}
	i.True(l.suspectAfter() < 130*time.Millisecond)
}

// Guards against a cell that moves back and forth between instances: a planner
// that has just taken over must wait longer before it suspects the store.
func TestAYoungPlannerTrustsTheStoreForLonger(t *testing.T) {
	i := is.New(t)
	k := clock.NewManual(time.Date(2026, 9, 8, 12, 0, 0, 0, time.UTC))
	l := &Leader{Clock: k, begunAt: k.Now()}
	i.Equal(l.suspectAfter(), newTermSuspectTimeout)
	l.begunAt = k.Now().Add(-newTermPeriod)
	i.Equal(l.suspectAfter(), suspectTimeout)
}

// Guards against tasks that wait long after a lost order, and against timeouts in
// a process with scheduling lag for orders that were in fact answered.
func TestOrdersAreGivenUpSoonUnlessTheProcessIsLate(t *testing.T) {
	i := is.New(t)
	l := &Leader{}
	i.Equal(l.orderTimeout(), baseOrderTimeout)
	l.lag.observe(time.Second)
	i.Equal(l.orderTimeout(), maxOrderTimeout)
}
