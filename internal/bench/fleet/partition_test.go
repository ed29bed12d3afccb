package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/bench/fleet"
	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	leases "github.com/parsleybarrow/parsleybarrow/pkg/lease"
	"github.com/parsleybarrow/parsleybarrow/pkg/rendez"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// seeds is the number of fleets for each partition.
	seeds = 5
	// normalAgain is the bound of I9 in seconds. After healing, membership and
	// quotas have to be normal within it too.
	normalAgain = 13
	// stale is the longest time for which a quota reckons with an instance that
	// it no longer hears.
	stale = 25
	// onTheWay allows for changes of demand that not everyone has heard of yet,
	// and usedAgain for the parts that are wasted by them.
	onTheWay  = 1.02
	usedAgain = 0.9
	// controlBudget is that of a node in bytes per second; a heartbeat costs 65
	// bytes of HTTP/2, a read of the log 350.
	controlBudget = 8 << 10
)

type partition struct {
	name  string
	cut   func(from, to sched.Member) bool
	noLog func(m sched.Member) bool
	// reached tells whether the instance still learns new versions.
	reached func(m sched.Member) bool
	// renews tells whether entry-000, as a planner, goes on to renew leases.
	renews bool
	// planners is the number of instances that plan for centre-0.
	planners int
}

func away(m sched.Member) bool { return m.DataCentre == "centre-0" }

func alone(m sched.Member) bool { return m.ID == "entry-000" }

func all(sched.Member) bool { return true }

// partitions are the rows of docs/operators/partitions.md. Centre-0 or one
// instance of it is cut off; centre-1 stands for the near one and centre-2
// for the other region.
func partitions() []partition {
	between := func(in func(sched.Member) bool, other sched.DataCentre) func(from, to sched.Member) bool {
		return func(from, to sched.Member) bool {
			return in(from) && to.DataCentre == other || in(to) && from.DataCentre == other
		}
	}
	return []partition{
		{name: "platform", noLog: away, reached: all, planners: 1, renews: true},
		{name: "other region", cut: between(away, "centre-2"), reached: all, planners: 1, renews: true},
		{name: "other data centre of the region", cut: between(away, "centre-1"), reached: all, planners: 1, renews: true},
		{name: "one way", cut: func(from, to sched.Member) bool { return away(from) && !away(to) }, reached: all, planners: 1, renews: true},
		{
			name: "platform and everyone outside", noLog: away,
			cut:     func(from, to sched.Member) bool { return away(from) != away(to) },
			reached: func(m sched.Member) bool { return !away(m) }, planners: 1, renews: true,
		},
		{
			name: "one instance from all", noLog: alone,
			cut:     func(from, to sched.Member) bool { return alone(from) || alone(to) },
			reached: func(m sched.Member) bool { return !alone(m) }, planners: 2,
		},
	}
}

func newSim(t *testing.T, seed uint64) *fleet.Sim {
	first, err := config.Load(folder(20))
	if err != nil {
		t.Fatal(err)
	}
	s := &fleet.Sim{
		Instances: 9, Centres: 3, Teams: teams(20), Seed: seed, First: first,
		Overhead: fleet.Overhead{Beat: 65, Read: 350}, Flooded: func(team int) bool { return team%2 == 0 },
	}
	s.Prepare()
	s.Run(60)
	return s
}

// overQuota returns the largest ratio of the sum of all parts to the quota,
// as the mean over some seconds: quotas are rates.
func overQuota(s *fleet.Sim, seconds int) float64 {
	sums := make([]float64, len(s.Teams))
	for range seconds {
		s.Run(1)
		for _, l := range s.Looks() {
			for k, p := range l.Parts {
				sums[k] += p.Rate
			}
		}
	}
	worst := 0.0
	for k, team := range s.Teams {
		worst = max(worst, sums[k]/float64(seconds)/team.Requests)
	}
	return worst
}

// planners counts the instances of centre-0 that take themselves for the
// planner.
func planners(looks []fleet.Look) int {
	n := 0
	for _, l := range looks {
		if o, _ := rendez.PlannerKey("centre-0").Owner(l.View.Candidates("centre-0")); o == l.Self.ID {
			n++
		}
	}
	return n
}

// normal returns what is not as before the partition.
func normal(s *fleet.Sim) string {
	looks := s.Looks()
	for _, l := range looks {
		if l.Version != s.Newest() {
			return "version of " + string(l.Self.ID)
		}
		for _, m := range l.View.All() {
			if m.State != sched.StateLive {
				return string(m.ID) + " as seen by " + string(l.Self.ID)
			}
		}
		if len(l.View.AllCandidates()) != 9 {
			return "candidates of " + string(l.Self.ID)
		}
	}
	least := 1.0
	for k, team := range teams(20) {
		sum := 0.0
		for _, l := range looks {
			sum += l.Parts[k].Rate
		}
		least = min(least, sum/team.Requests)
	}
	if least < usedAgain {
		return "parts of the quotas"
	}
	return ""
}

// Guards, for each partition, against instances taken for gone, quotas that
// are exceeded together, versions that don't spread as far as there is a way,
// and a second planner where the instances still hear each other; after
// healing, against a slow return and a surge of bytes.
func TestPartitions(t *testing.T) {
	for k, p := range slices.Repeat(partitions(), seeds) {
		t.Run(fmt.Sprintf("%s/seed=%d", p.name, k/len(partitions())+1), func(t *testing.T) {
			s := newSim(t, uint64(k/len(partitions())+1))
			s.Cut, s.NoLog = p.cut, p.noLog
			s.Run(stale)
			before := s.Newest()
			s.Apply(5)
			if over := overQuota(s, normalAgain); over > onTheWay {
				t.Errorf("parts sum to %.3f of a quota", over)
			}
			for _, l := range s.Looks() {
				want := before
				if p.reached(l.Self) {
					want = s.Newest()
				}
				if l.Version != want || !l.Ready {
					t.Errorf("%s has version %d and ready %t, expected %d", l.Self.ID, l.Version, l.Ready, want)
				}
				for _, m := range l.View.All() {
					if m.State == sched.StateGone {
						t.Errorf("%s takes %s for gone", l.Self.ID, m.ID)
					}
				}
			}
			if n := planners(s.Looks()); n != p.planners {
				t.Errorf("%d planners for centre-0, expected %d", n, p.planners)
			}
			s.Cut, s.NoLog = nil, nil
			s.Total = fleet.Spent{}
			seconds := 0
			for ; normal(s) != "" && seconds < normalAgain; seconds++ {
				s.Run(1)
			}
			if what := normal(s); what != "" {
				t.Errorf("%s is not normal %d s after healing", what, seconds)
			}
			t.Logf("normal after %d s", seconds)
			spent := s.Total.Beats + s.Total.Demand + s.Total.Config
			if seconds > 0 && spent/seconds/9 > controlBudget {
				t.Errorf("%d bytes per node and second while healing", spent/seconds/9)
			}
		})
	}
}

// Guards against a data centre whose tasks stop since it is cut off, and
// against an instance that renews leases although the others may have taken
// its tasks for dead.
func TestLeasesInPartitions(t *testing.T) {
	const lease, isolation = 15 * time.Second, time.Minute
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self := sched.Member{ID: "entry-000", DataCentre: "centre-0"}
	peer := sched.Member{ID: "entry-003", DataCentre: "centre-0"}
	for _, p := range partitions() {
		b := leases.New(leases.Limits{Lease: lease, ClockBound: time.Second, Isolation: isolation})
		b.LogRead(now)
		b.BeginTerm(1, nil, now)
		contact := leases.Contact{List: now, Peer: now}
		for k := range 150 {
			at := now.Add(time.Duration(k) * time.Second)
			if p.noLog != nil && p.noLog(self) {
				b.LogFailed(at)
			} else {
				b.LogRead(at)
				contact.List = at
			}
			if p.cut == nil || !p.cut(peer, self) {
				contact.Peer = at
			}
			b.RecordContact(contact, at)
			_, renews := b.NotAfter(at)
			if within := at.Sub(now) < isolation; renews != (within || p.renews) {
				t.Errorf("%s: renews leases is %t after %s", p.name, renews, at.Sub(now))
				break
			}
		}
	}
}
