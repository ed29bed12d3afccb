package route

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// The bucket of bytes to other regions holds one second of the budget. A class
// may spend only while the bucket is above its mark, so that urgent requests
// go first and the last tenth stays for control traffic.
const (
	bucketSeconds  = 1.0
	markUrgent     = 0.1
	markStandard   = 0.3
	markBackground = 0.6
)

var marks = map[sched.Urgency]float64{
	sched.UrgencyUrgent:     markUrgent,
	sched.UrgencyStandard:   markStandard,
	sched.UrgencyBackground: markBackground,
}

// byteBudget is a token bucket of bytes. The size of an answer is known only
// when it arrives, so the level can fall below zero and is paid back.
type byteBudget struct {
	rate  float64
	level float64
	at    time.Time
}

func (b *byteBudget) refill(rate float64, now time.Time) {
	full := rate * bucketSeconds
	if b.at.IsZero() || rate != b.rate {
		b.level, b.rate, b.at = full, rate, now
		return
	}
	if d := now.Sub(b.at); d > 0 {
		b.level = min(full, b.level+rate*d.Seconds())
		b.at = now
	}
}

func (b *byteBudget) allows(u sched.Urgency, bytes int64) bool {
	return b.level-float64(bytes) >= marks[u]*b.rate*bucketSeconds
}

func (b *byteBudget) spend(bytes int64) { b.level -= float64(bytes) }
