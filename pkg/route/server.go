package route

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// knowledgeLife is the age at which a reported number of free slots has lost
// its weight. Other instances use the same slots, so after a few service times
// the report says nothing any more.
const knowledgeLife = 250 * time.Millisecond

// refusedHold is how long a backend server that refused for lack of slots is
// passed over. It is of the order of one service time.
const refusedHold = 10 * time.Millisecond

// unreachableHold is how long a backend server that could not be reached is
// passed over. The list that still shows it lags by seconds, and a failed dial
// can cost half a second.
const unreachableHold = time.Second

// server is one backend server as this instance sees it.
type server struct {
	member sched.Member
	tier   int
	// inFlight are this instance's sends that have not ended.
	inFlight int
	// free was reported at seen, and sent sends were started since then.
	free int
	sent int
	seen time.Time
	// leavingIncarnation is the incarnation that said it is leaving, which
	// overrides a list that still shows it as live.
	leavingIncarnation sched.Incarnation
	saidLeaving        bool
	refusedUntil       time.Time
}

func (s *server) takesWork() bool {
	if s.saidLeaving && s.member.Incarnation == s.leavingIncarnation {
		return false
	}
	return s.member.State == sched.StateLive
}

// estimate returns the expected number of free slots. prior is the mean of
// what the servers of the service reported lately; it takes the place of
// knowledge that has aged.
func (s *server) estimate(prior float64, now time.Time) float64 {
	// A report follows the end of a request and shows the slot that it left.
	// That matters where slots are scarce; elsewhere the correction would keep
	// servers without knowledge from being chosen at all.
	prior -= 1 / max(prior, 1)
	prior = max(0, min(prior, float64(s.member.Slots-s.inFlight)))
	age := now.Sub(s.seen)
	if s.seen.IsZero() || age >= knowledgeLife {
		return prior
	}
	known := float64(s.free - s.sent)
	w := 1 - float64(age)/float64(knowledgeLife)
	return known*w + prior*(1-w)
}

func (s *server) report(free int, now time.Time) {
	s.free, s.sent, s.seen = free, 0, now
}
