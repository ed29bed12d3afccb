package cell

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// maxAskedWorkers bounds the workers in a question whose answers aren't known, since
	// the advisor takes longer for each of them. The platform's users expect a step to take
	// one call of this size.
	maxAskedWorkers = 30
	// maxCallShare is the part of the validity of a ticket, as 1 divided by it, that a
	// question of several workers may take. What is left of the ticket after that is for
	// its use.
	maxCallShare = 2
)

// adviceTime returns how long the advisor takes for a call about n workers.
func adviceTime(s *sched.AdviceSettings, n int) time.Duration {
	return s.Decision + time.Duration(n)*s.PerWorker
}

// askLimit returns the number of workers to ask about in one call, 1 to maxAskedWorkers:
// as many as leave enough of the validity of their tickets.
func askLimit(s *sched.AdviceSettings) int {
	if s.PerWorker <= 0 || s.Validity <= 0 {
		return maxAskedWorkers
	}
	return min(maxAskedWorkers, max(1, int((s.Validity/maxCallShare-s.Decision)/s.PerWorker)))
}
