package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/route"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

func member(id string, region sched.Region, centre sched.DataCentre) sched.Member {
	return sched.Member{
		ID: sched.InstanceID(id), Role: sched.RoleBackend, State: sched.StateLive, Service: "echo",
		Region: region, DataCentre: centre, Slots: 8, Connections: 36,
	}
}

// Guards against more connections to a server than its bound while the list
// changes, and against the choice of a server that was tried or is leaving.
func TestPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &route.Router{Region: "r", DataCentre: "d", Seed: rapid.Uint64().Draw(t, "seed")}
		members := []sched.Member{member("a", "r", "d"), member("b", "r", "d"), member("c", "r", "e"), member("f", "s", "g")}
		const instances = 9 // 36 connections, two generations: a bound of 2
		r.Update(members, instances, 1<<20)
		now := time.Unix(1000, 0)
		open, left := map[sched.InstanceID][]*route.Pick{}, map[sched.InstanceID]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				tried := rapid.SliceOfN(rapid.SampledFrom([]sched.InstanceID{"a", "b", "c", "f"}), 0, 3).Draw(t, "tried")
				p, code := r.Pick(route.Query{Service: "echo", Urgency: sched.UrgencyUrgent, RequestBytes: 100, Exclude: tried}, now)
				if p == nil {
					if code.Outcome() != sched.OutcomeRefusedNotRun {
						t.Fatalf("no server was chosen, with the unexpected code %d", code)
					}
					return
				}
				i := p.Member.ID
				open[i] = append(open[i], p)
				if len(open[i]) > 2 || left[i] {
					t.Fatalf("%s has %d connections, leaving: %v", i, len(open[i]), left[i])
				}
				for _, x := range tried {
					if x == i {
						t.Fatalf("%s was chosen although it was tried before", i)
					}
				}
			},
			"done": func(t *rapid.T) {
				i := rapid.SampledFrom([]sched.InstanceID{"a", "b", "c", "f"}).Draw(t, "server")
				if len(open[i]) == 0 {
					return
				}
				s := sched.SendResult{
					Outcome:   sched.Outcome(rapid.IntRange(1, 4).Draw(t, "outcome")),
					FreeSlots: rapid.IntRange(-1, 8).Draw(t, "free"),
				}
				s.Leaving = rapid.IntRange(0, 20).Draw(t, "leaving") == 0
				left[i] = left[i] || s.Leaving
				r.Done(open[i][0], s, 200, now)
				open[i] = open[i][1:]
			},
			"update": func(*rapid.T) { r.Update(members, instances, 1<<20) },
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// Guards against sends to distant servers while nearer ones have free slots,
// and against less urgent requests that use up the bytes between regions.
func TestNearFirstAndByteBudget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	const rate = 1 << 20
	r := &route.Router{Region: "r", DataCentre: "d", Seed: 1}
	near := []sched.Member{member("a", "r", "d"), member("c", "r", "e"), member("f", "s", "g")}
	near[2].Connections = 1 << 20
	r.Update(near, 1, rate)
	var order []sched.InstanceID
	for range 24 { // as many as there are slots
		p, code := r.Pick(route.Query{Service: "echo", Urgency: sched.UrgencyUrgent}, now)
		is.Equal(code, sched.Code(0))
		order = append(order, p.Member.ID)
	}
	for n := 1; n < len(order); n++ {
		is.True(order[n-1] <= order[n]) // a before c before f
	}
	is.Equal(order[23], sched.InstanceID("f"))
	r = &route.Router{Region: "r", DataCentre: "d", Seed: 1}
	r.Update(near[2:], 1, rate)
	sent := map[sched.Urgency]int64{}
	for u := sched.UrgencyBackground; u <= sched.UrgencyUrgent; u++ {
		for {
			p, code := r.Pick(route.Query{Service: "echo", Urgency: u, RequestBytes: 1000}, now)
			if p == nil {
				is.Equal(code, sched.CodeCrossRegionBudget)
				break
			}
			r.Done(p, sched.SendResult{Outcome: sched.OutcomeAnswered, FreeSlots: 8}, 2000, now)
			sent[u] += 2000
		}
		is.True(sent[u] > 0) // each class finds bytes below the watermark of the less urgent one
	}
	is.True(sent[1]+sent[2]+sent[3] <= rate*9/10+30_000) // the rest is for control traffic
}

// Guards against requests that wait for failing dials to a dead backend server
// while another server has free slots.
func TestUnreachableServerIsPassedOver(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := &route.Router{Region: "r", DataCentre: "d", Seed: 1}
	r.Update([]sched.Member{member("a", "r", "d"), member("b", "r", "d")}, 1, 0)
	dials := 0
	for range 5000 {
		now = now.Add(time.Millisecond)
		p, code := r.Pick(route.Query{Service: "echo"}, now)
		is.Equal(code, sched.Code(0))
		s := sched.SendResult{Outcome: sched.OutcomeAnswered, FreeSlots: 1}
		if p.Member.ID == "a" {
			dials++
			s = sched.SendResult{Outcome: sched.OutcomeRefusedNotRun, FreeSlots: -1, Err: sched.ErrUnreachable}
		}
		r.Done(p, s, 0, now)
	}
	is.True(dials >= 1 && dials <= 6) // at most one dial per second
}
