package quota

import (
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Part is this instance's part of a team's quota in requests per second.
type Part struct {
	Team string
	Rate float64
	// Unlimited is set for teams without a quota.
	Unlimited bool
}

// Count holds the running totals of a team's requests, since the gate first had
// the team.
type Count struct {
	Team     string
	Offered  int64
	Admitted int64
}

// bucket is the token bucket of one team with its running totals.
type bucket struct {
	limiter   *rate.Limiter
	unlimited atomic.Bool
	offered   atomic.Int64
	admitted  atomic.Int64
}

// Gate admits requests by team. It is safe for concurrent use.
type Gate struct {
	buckets atomic.Pointer[map[string]*bucket]
}

// NewGate returns a gate that knows no team and admits nothing.
func NewGate() *Gate {
	g := &Gate{}
	g.buckets.Store(&map[string]*bucket{})
	return g
}

// burst returns the number of requests that a team may send at once after a
// pause: those of one second at the given rate, and at least one.
func burst(r float64) int { return max(1, int(math.Ceil(r))) }

// Set replaces the parts of all teams. Buckets of teams that stay keep their
// tokens and totals. It must not be called concurrently.
func (g *Gate) Set(now time.Time, parts []Part) {
	old := *g.buckets.Load()
	next := make(map[string]*bucket, len(parts))
	for _, p := range parts {
		b := old[p.Team]
		if b == nil {
			b = &bucket{limiter: rate.NewLimiter(rate.Limit(p.Rate), burst(p.Rate))}
		}
		b.unlimited.Store(p.Unlimited)
		if b.limiter.Limit() != rate.Limit(p.Rate) {
			b.limiter.SetLimitAt(now, rate.Limit(p.Rate))
			b.limiter.SetBurstAt(now, burst(p.Rate))
		}
		next[p.Team] = b
	}
	g.buckets.Store(&next)
}

// Allow counts a request of the team and reports whether its quota admits it.
// Requests of an unknown team are neither counted nor admitted.
func (g *Gate) Allow(now time.Time, team string) bool {
	b := (*g.buckets.Load())[team]
	if b == nil {
		return false
	}
	b.offered.Add(1)
	if !b.unlimited.Load() && !b.limiter.AllowN(now, 1) {
		return false
	}
	b.admitted.Add(1)
	return true
}

// Counts returns the running totals of all teams, in no particular order.
func (g *Gate) Counts() []Count {
	all := *g.buckets.Load()
	counts := make([]Count, 0, len(all))
	for team, b := range all {
		counts = append(counts, Count{team, b.offered.Load(), b.admitted.Load()})
	}
	return counts
}

// EvenParts returns the parts to use before any demand is known: an even split of
// each quota over n instances.
func EvenParts(teams []sched.TeamSettings, n int) []Part {
	parts := make([]Part, 0, len(teams))
	for _, t := range teams {
		parts = append(parts, Part{t.Name, t.Requests / float64(max(n, 1)), t.Requests == 0})
	}
	return parts
}
