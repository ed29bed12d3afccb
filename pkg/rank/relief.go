package rank

import "time"

const (
	// reliefTime is how long an instance may be out of the load balancer's rotation within
	// reliefPeriod. The users count an instance that isn't ready for an eighth of the time
	// as one that misses its duties; this is a tenth.
	reliefTime   = 3 * time.Second
	reliefPeriod = 30 * time.Second
)

// Relief decides when an instance that plans a cell, and has too little processor time for
// planning and for callers, says that it isn't ready, so that the load balancer sends
// callers to others. It isn't safe for concurrent use.
type Relief struct {
	since time.Time // begin of the newest relief
}

// Due reports whether the instance should say that it isn't ready. behind is set if its
// planner is behind, others is the number of other instances of its data centre that are
// ready.
func (r *Relief) Due(now time.Time, behind bool, others int) bool {
	if !behind || others == 0 {
		return false
	}
	if r.since.IsZero() || now.Sub(r.since) >= reliefPeriod {
		r.since = now
	}
	return now.Sub(r.since) < reliefTime
}
