package route

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// The token bucket for bytes to other regions holds bucketSeconds of the
// configured rate. A request is sent only if the bucket stays at or above the
// watermark of its urgency class, a part of the full bucket. Thus urgent
// requests go first, and the part below the lowest watermark stays for control
// traffic.
const (
	bucketSeconds       = 1.0
	watermarkUrgent     = 0.1
	watermarkStandard   = 0.3
	watermarkBackground = 0.6
)

var watermarks = map[sched.Urgency]float64{
	sched.UrgencyUrgent:     watermarkUrgent,
	sched.UrgencyStandard:   watermarkStandard,
	sched.UrgencyBackground: watermarkBackground,
}

// byteBudget is a token bucket of bytes. The size of an answer is known only
// when it has arrived, so the level can fall below zero, and refills pay the
// debt back.
type byteBudget struct {
	rate       float64 // bytes per second
	level      float64 // bytes
	refilledAt time.Time
}

// refill adds the bytes for the time since the last call. The first call and a
// change of the rate fill the bucket.
func (b *byteBudget) refill(rate float64, now time.Time) {
	full := rate * bucketSeconds
	if b.refilledAt.IsZero() || rate != b.rate {
		b.level, b.rate, b.refilledAt = full, rate, now
		return
	}
	if d := now.Sub(b.refilledAt); d > 0 {
		b.level = min(full, b.level+rate*d.Seconds())
		b.refilledAt = now
	}
}

// allows reports whether a class may spend the bytes.
func (b *byteBudget) allows(u sched.Urgency, bytes int64) bool {
	return b.level-float64(bytes) >= watermarks[u]*b.rate*bucketSeconds
}

func (b *byteBudget) spend(bytes int64) { b.level -= float64(bytes) }
