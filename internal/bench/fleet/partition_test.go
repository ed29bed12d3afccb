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
	// seedsPerPartition is the number of fleets for each partition.
	seedsPerPartition = 5
	// recoverySeconds bounds the spread of configuration versions (invariant
	// I9), and after healing also the recovery of membership and quotas.
	recoverySeconds = 13
	// staleSeconds is the longest time for which a quota counts an instance
	// that is no longer heard.
	staleSeconds = 25
	// maxQuotaRatio allows for changes of demand that not every instance has heard
	// of yet, and minQuotaRatio for the parts that these changes waste.
	maxQuotaRatio = 1.02
	minQuotaRatio = 0.9
	// controlBudget is that of a node in bytes per second; a heartbeat costs 65
	// bytes of HTTP/2, a read of the log 350.
	controlBudget = 8 << 10
)

type partition struct {
	name  string
	cut   func(from, to sched.Member) bool
	noLog func(m sched.Member) bool
	// learnsVersions reports whether the instance still learns new versions.
	learnsVersions func(m sched.Member) bool
	// renews reports whether entry-000, as a planner, goes on to renew leases.
	renews bool
	// planners is the number of instances that plan for centre-0.
	planners int
}

func inCentre0(m sched.Member) bool { return m.DataCentre == "centre-0" }

func isEntry0(m sched.Member) bool { return m.ID == "entry-000" }

func everyInstance(sched.Member) bool { return true }

// partitions returns the rows of docs/operators/partitions.md. Centre-0 or one
// instance of it is cut off; centre-1 stands for the near one and centre-2
// for the other region.
func partitions() []partition {
	between := func(in func(sched.Member) bool, other sched.DataCentre) func(from, to sched.Member) bool {
		return func(from, to sched.Member) bool {
			return in(from) && to.DataCentre == other || in(to) && from.DataCentre == other
		}
	}
	return []partition{
		{name: "platform", noLog: inCentre0, learnsVersions: everyInstance, planners: 1, renews: true},
		{name: "other region", cut: between(inCentre0, "centre-2"), learnsVersions: everyInstance, planners: 1, renews: true},
		{name: "other data centre of the region", cut: between(inCentre0, "centre-1"), learnsVersions: everyInstance, planners: 1, renews: true},
		{name: "one way", cut: func(from, to sched.Member) bool { return inCentre0(from) && !inCentre0(to) }, learnsVersions: everyInstance, planners: 1, renews: true},
		{
			name: "platform and everyone outside", noLog: inCentre0,
			cut:            func(from, to sched.Member) bool { return inCentre0(from) != inCentre0(to) },
			learnsVersions: func(m sched.Member) bool { return !inCentre0(m) }, planners: 1, renews: true,
		},
		{
			name: "one instance from all", noLog: isEntry0,
			cut:            func(from, to sched.Member) bool { return isEntry0(from) || isEntry0(to) },
			learnsVersions: func(m sched.Member) bool { return !isEntry0(m) }, planners: 2,
		},
	}
}

func newSim(t *testing.T, seed uint64) *fleet.Sim {
	first, err := config.Load(configFolder(20))
	if err != nil {
		t.Fatal(err)
	}
	s := &fleet.Sim{
		Instances: 9, Centres: 3, Teams: teams(20), Seed: seed, First: first,
		Overhead: fleet.Overhead{Heartbeat: 65, Read: 350}, Flooded: func(team int) bool { return team%2 == 0 },
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
		for _, l := range s.InstanceViews() {
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
func planners(looks []fleet.InstanceView) int {
	n := 0
	for _, l := range looks {
		if o, _ := rendez.PlannerKey("centre-0").Owner(l.View.Candidates("centre-0")); o == l.Self.ID {
			n++
		}
	}
	return n
}

// firstAbnormal names the first state that differs from a healthy fleet, or
// returns an empty string.
func firstAbnormal(s *fleet.Sim) string {
	looks := s.InstanceViews()
	for _, l := range looks {
		if l.Version != s.NewestVersion() {
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
	if least < minQuotaRatio {
		return "parts of the quotas"
	}
	return ""
}

// Guards, for each partition, against instances taken for gone, quotas that
// are exceeded together, versions that don't spread as far as there is a way,
// and a second planner where the instances still hear each other; after
// healing, against a slow return and a surge of bytes.
func TestPartitions(t *testing.T) {
	for k, p := range slices.Repeat(partitions(), seedsPerPartition) {
		t.Run(fmt.Sprintf("%s/seed=%d", p.name, k/len(partitions())+1), func(t *testing.T) {
			s := newSim(t, uint64(k/len(partitions())+1))
			s.PathCut, s.LogUnreachable = p.cut, p.noLog
			s.Run(staleSeconds)
			before := s.NewestVersion()
			s.AppendChanges(5)
			if over := overQuota(s, recoverySeconds); over > maxQuotaRatio {
				t.Errorf("parts sum to %.3f of a quota", over)
			}
			for _, l := range s.InstanceViews() {
				want := before
				if p.learnsVersions(l.Self) {
					want = s.NewestVersion()
				}
				if l.Version != want || !l.Ready {
					t.Errorf("%s has version %d and ready %t, expected %d", l.Self.ID, l.Version, l.Ready, want)
				}
				for _, m := range l.View.All() {
					if m.State == sched.StateGone {
						t.Errorf("%s lists %s as gone", l.Self.ID, m.ID)
					}
				}
			}
			if n := planners(s.InstanceViews()); n != p.planners {
				t.Errorf("%d planners for centre-0, expected %d", n, p.planners)
			}
			s.PathCut, s.LogUnreachable = nil, nil
			s.Total = fleet.ByteCounts{}
			seconds := 0
			for ; firstAbnormal(s) != "" && seconds < recoverySeconds; seconds++ {
				s.Run(1)
			}
			if what := firstAbnormal(s); what != "" {
				t.Errorf("%s is not normal %d s after healing", what, seconds)
			}
			t.Logf("normal after %d s", seconds)
			spent := s.Total.Heartbeats + s.Total.Demand + s.Total.Config
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
