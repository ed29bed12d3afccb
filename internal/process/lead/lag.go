package lead

import (
	"sync/atomic"
	"time"
)

// lag is the scheduling lag of this process: how late it does what is due, for
// lack of processor time. It is safe for concurrent use.
type lag struct{ nanoseconds atomic.Int64 }

// lagDecay is the factor by which an earlier delay shrinks with each tick.
const lagDecay = 0.9

// observe records by how much a tick was late.
func (l *lag) observe(by time.Duration) {
	old := time.Duration(l.nanoseconds.Load())
	l.nanoseconds.Store(int64(max(by, time.Duration(lagDecay*float64(old)), 0)))
}

// recent returns the maximum of the observed delays, each decayed by its age.
func (l *lag) recent() time.Duration { return time.Duration(l.nanoseconds.Load()) }
