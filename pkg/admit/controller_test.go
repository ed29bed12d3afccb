package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/admit"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

var shares = admit.Shares{
	Classes:  [sched.UrgencyUrgent + 1]float64{0, 0.2, 0.3, 0.5},
	Partners: map[string]float64{"tunog": 0.5, "bohr": 0.3}, QueueRequests: 40, QueueBytes: 400,
}

// Guards against lost and duplicate grants, a queue beyond its bounds, a limit
// outside its range, requests that wait while nothing runs and a refusal without
// Retry-After, under any order of arrivals, releases and cancellations.
func TestControllerKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := admit.New(shares, rapid.Uint64().Draw(t, "seed"))
		now := time.Unix(1000, 0)
		limit := float64(rapid.IntRange(1, 30).Draw(t, "capacity"))
		c.SetCapacity("echo", 4*limit, limit)
		running, queued := []*admit.Ticket{}, map[*admit.Ticket]bool{}
		grant := func(tickets []*admit.Ticket) {
			for _, g := range tickets {
				if !queued[g] {
					t.Fatal("granted a request that isn't queued")
				}
				delete(queued, g)
				running = append(running, g)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				k := &admit.Ticket{
					Service: "echo", Partner: rapid.SampledFrom([]string{"tunog", "bohr", "none"}).Draw(t, "partner"),
					Urgency:  sched.Urgency(rapid.IntRange(1, 3).Draw(t, "class")),
					Bytes:    int64(rapid.IntRange(0, 40).Draw(t, "bytes")),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond),
				}
				r := c.Admit(k, now)
				if r.Displaced != nil {
					if !queued[r.Displaced] {
						t.Fatal("displaced a request that isn't queued")
					}
					delete(queued, r.Displaced)
				}
				switch {
				case r.Granted:
					running = append(running, k)
				case r.Code == 0:
					queued[k] = true
				case r.RetryAfter < time.Second || r.Code.Outcome() != sched.OutcomeRefusedNotRun:
					t.Fatalf("refused with code %d, retry after %v", r.Code, r.RetryAfter)
				}
			},
			"release": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				n := rapid.IntRange(0, len(running)-1).Draw(t, "ended")
				k := running[n]
				running = append(running[:n:n], running[n+1:]...)
				grant(c.Release(k, now))
				if c.Release(k, now) != nil || c.Cancel(k) {
					t.Fatal("released or cancelled a request that had ended")
				}
			},
			"cancel": func(t *rapid.T) {
				for k := range queued {
					if !c.Cancel(k) {
						t.Fatal("a queued request could not be cancelled")
					}
					delete(queued, k)
					return
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			},
			"refused": func(*rapid.T) { c.BackendRefused("echo") },
			"took":    func(*rapid.T) { c.BackendAnswered("echo") },
			"": func(t *rapid.T) {
				n, bytes := c.Queued()
				if n != len(queued) || n > shares.QueueRequests+2 || bytes > shares.QueueBytes {
					t.Fatalf("%d requests queued with %d bytes, expected %d requests", n, bytes, len(queued))
				}
				if l := c.Limit("echo"); l < 1 || l > 4*limit {
					t.Fatalf("limit is %f slots, expected 1 to %f", l, 4*limit)
				}
				if len(running) == 0 && n > 0 {
					t.Fatal("requests wait while nothing runs")
				}
			},
		})
	})
}

// flood offers n requests of one class and partner, and returns those that are
// granted at once.
func flood(c *admit.Controller, n int, u sched.Urgency, partner string, now time.Time) (granted []*admit.Ticket) {
	for range n {
		k := &admit.Ticket{Service: "echo", Partner: partner, Urgency: u, Deadline: now.Add(time.Hour)}
		if c.Admit(k, now).Granted {
			granted = append(granted, k)
		}
	}
	return granted
}

// Guards against an overloaded class that keeps the slots guaranteed to another
// class, and against an overloaded partner that keeps those of another partner
// in its class: borrowed slots must be returned as requests end.
func TestGuaranteesAreTakenBack(t *testing.T) {
	for _, c := range []struct {
		name             string
		flood, other     sched.Urgency
		floodBy, otherBy string
		want             int
	}{
		{"background flood", sched.UrgencyBackground, sched.UrgencyUrgent, "tunog", "tunog", 50},
		{"urgent flood", sched.UrgencyUrgent, sched.UrgencyBackground, "tunog", "tunog", 20},
		{"flood of a partner", sched.UrgencyUrgent, sched.UrgencyUrgent, "tunog", "bohr", 30},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			s := shares
			s.QueueRequests, s.QueueBytes = 1000, 1000
			k := admit.New(s, 1)
			k.SetCapacity("echo", 900, 100)
			borrowed := flood(k, 300, c.flood, c.floodBy, now)
			is.True(len(borrowed) >= 95) // unused shares may be borrowed
			others := len(flood(k, 300, c.other, c.otherBy, now))
			for _, l := range borrowed {
				now = now.Add(time.Millisecond)
				for _, g := range k.Release(l, now) {
					if g.Urgency == c.other && g.Partner == c.otherBy {
						others++
					}
				}
			}
			is.True(others >= c.want)
		})
	}
}

// Guards against a request that is queued although it can't end before its
// deadline.
func TestRefusalOnArrival(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := admit.New(shares, 1)
	c.SetCapacity("echo", 1, 1)
	for range 100 { // the mean service time becomes 100 ms
		k := flood(c, 1, sched.UrgencyUrgent, "tunog", now)
		now = now.Add(100 * time.Millisecond)
		c.Release(k[0], now)
	}
	flood(c, 10, sched.UrgencyUrgent, "tunog", now)
	tight := &admit.Ticket{
		Service: "echo", Partner: "tunog", Urgency: sched.UrgencyUrgent,
		Deadline: now.Add(150 * time.Millisecond),
	}
	is.Equal(c.Admit(tight, now).Code, sched.CodeDeadlineTooShort)
}

// Guards against slots that still count as capacity after their service was
// removed from the settings.
func TestRemovedServiceHasNoCapacity(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := admit.New(shares, 1)
	c.SetCapacity("echo", 20, 10)
	c.SetCapacity("gone", 20, 10)
	s := shares
	s.Services = []string{"echo"}
	c.SetShares(s)
	is.Equal(c.Limit("gone"), 0.0)
	is.Equal(c.Admit(&admit.Ticket{Service: "gone", Deadline: now.Add(time.Hour)}, now).Code, sched.CodeNoBackend)
	is.Equal(len(flood(c, 30, sched.UrgencyUrgent, "tunog", now)), 9) // 10 less the reserved part of unused guarantees
}
