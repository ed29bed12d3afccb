package rank_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/rank"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	step      = 250 * time.Millisecond
	maxAge    = 5 * time.Second
	lateAfter = 200 * time.Millisecond
)

var begin = time.Unix(1e9, 0)

func peer(id sched.InstanceID, processors int, busy float64) rank.Peer {
	return rank.Peer{Candidate: rank.Candidate{ID: id, Processors: processors}, Busy: busy}
}

// Guards against a cell that stays on an instance that is too small or behind, and against
// moves because of a short burst, to an instance that is no better, or back and forth.
func TestACellMovesOnceAnotherInstanceIsClearlyBetter(t *testing.T) {
	small, large := rank.Candidate{ID: "self", Processors: 192}, rank.Candidate{ID: "self", Processors: 800}
	always := func(time.Duration) time.Duration { return time.Second }
	burst := func(at time.Duration) time.Duration {
		if at >= 4*time.Second && at < 5*time.Second {
			return time.Second
		}
		return 0
	}
	never := func(time.Duration) time.Duration { return 0 }
	cases := []struct {
		name  string
		self  rank.Candidate
		peer  rank.Peer
		wait  func(time.Duration) time.Duration
		moved bool // the cell has moved here when the term began
		first time.Duration
		why   string
	}{
		{"too small", small, peer("b", 800, 0.9), never, false, 2 * time.Second, rank.WhyNotAble},
		{"too small, moved here", small, peer("b", 800, 0.1), never, true, 10 * time.Second, rank.WhyNotAble},
		{"able", large, peer("b", 4000, 0.1), never, false, 0, ""},
		{"both too small", small, peer("b", 300, 0.1), never, false, 0, ""},
		{"behind", large, peer("b", 800, 0.1), always, false, 3 * time.Second, rank.WhyBehind},
		{"behind, the other one busy", large, peer("b", 800, 0.6), always, false, 0, ""},
		{"behind, the other one of unknown load", large, peer("b", 800, 0), always, false, 0, ""},
		{"behind, the other one smaller", large, peer("b", 400, 0.1), always, false, 0, ""},
		{"behind, moved here, the same size", large, peer("b", 800, 0.1), always, true, 0, ""},
		{"behind, moved here, a larger one", large, peer("b", 1600, 0.1), always, true, 10 * time.Second, rank.WhyBehind},
		{"a burst", large, peer("b", 800, 0.1), burst, false, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			m := rank.NewMover(begin, c.moved)
			var first time.Duration
			var reason string
			for at := time.Duration(0); at < 30*time.Second; at += step {
				now := begin.Add(at)
				if at%time.Second == 0 {
					m.RecordWait(now, c.wait(at))
				}
				c.peer.Heard = now
				if id, why := m.Decide(now, c.self, []rank.Peer{c.peer}); id != "" && first == 0 {
					first, reason = at, why
				}
			}
			i.True(first >= c.first && first <= c.first+time.Second)
			i.Equal(reason, c.why)
		})
	}
}

// Guards against moves that follow one another too soon, or to an instance that is leaving,
// hasn't been heard, or has been better for a moment only, for any sequence of loads, losses
// and late messages.
func TestMovesAreRareAndGoToBetterInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := rank.Candidate{ID: "self", Processors: rapid.SampledFrom([]int{192, 400, 800}).Draw(t, "self")}
		moved := rapid.Bool().Draw(t, "moved")
		m := rank.NewMover(begin, moved)
		last, before := begin, moved
		peers := []rank.Peer{peer("a", 800, 0.1), peer("b", 400, 0.1), peer("c", 1600, 0.1)}
		fitSince := map[sched.InstanceID]time.Time{}
		lateReports := []time.Time{}
		for k := range 200 {
			now := begin.Add(time.Duration(k) * step)
			if k%4 == 0 {
				wait := time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * time.Millisecond
				if wait > lateAfter {
					lateReports = append(lateReports, now)
				}
				m.RecordWait(now, wait)
			}
			for n := range peers {
				p := &peers[n]
				if rapid.IntRange(0, 9).Draw(t, "ping") > 0 {
					p.Heard = now
					p.Busy = rapid.Float64Range(0, 1).Draw(t, "busy")
					p.Leaving = rapid.IntRange(0, 99).Draw(t, "leaving") == 0
				}
				fit := !p.Leaving && now.Sub(p.Heard) <= maxAge && p.Processors >= self.Processors
				if since := fitSince[p.ID]; !fit {
					delete(fitSince, p.ID)
				} else if since.IsZero() {
					fitSince[p.ID] = now
				}
			}
			id, why := m.Decide(now, self, peers)
			if id == "" {
				continue
			}
			if before && now.Sub(last) < rank.MoveInterval {
				t.Fatalf("moves at %v and %v", last.Sub(begin), now.Sub(begin))
			}
			last, before = now, true
			if since, fit := fitSince[id]; !fit || now.Sub(since) < 2*time.Second {
				t.Fatalf("moves to %s, fit since %v, at %v", id, since, now)
			}
			if why == rank.WhyBehind && (len(lateReports) < 2 || now.Sub(lateReports[len(lateReports)-2]) > 4*time.Second) {
				t.Fatal("moves since it is behind, with less than two late periods")
			}
		}
	})
}
