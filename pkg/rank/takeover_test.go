package rank_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/rank"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/watch"
)

const (
	observeStep = 50 * time.Millisecond
	// pingRound and pingsPerRound are the pings of better candidates by package entry.
	pingRound     = 250 * time.Millisecond
	pingsPerRound = 16
	// refusalTime and rankWait are those of package watch for a planner that is silent.
	refusalTime = 600 * time.Millisecond
	rankWait    = 350 * time.Millisecond
)

// model is one live candidate: what it knows of those that rank before it.
type model struct {
	better []sched.InstanceID
	living rank.Living
	watch  watch.Monitor
	round  []sched.InstanceID
	roundS time.Time
}

// tick does what the monitor of package entry does at one time. It returns whether the
// candidate takes over.
func (m *model) tick(now time.Time, dead map[sched.InstanceID]bool) bool {
	if m.roundS.IsZero() || now.Sub(m.roundS) >= pingRound {
		for _, id := range m.round {
			if dead[id] {
				m.living.Missed(now, id)
			} else {
				m.living.Heard(now, id)
			}
		}
		m.round, m.roundS = nil, now
		for _, id := range m.better {
			if len(m.round) < pingsPerRound && m.living.Alive(now, id) {
				m.round = append(m.round, id)
			}
		}
	}
	m.watch.Rank = 0
	for _, id := range m.better {
		if m.living.Alive(now, id) {
			m.watch.Rank++
		}
	}
	m.watch.RecordNoAnswer(now, false)
	m.watch.RecordPeerReport(now, false, true)
	m.watch.RecordEnd(now, now, 1)
	yes, _ := m.watch.TakeOver(now)
	return yes
}

// Guards against a takeover that is later than the ranks among the live candidates imply,
// apart from the time in which the lost ones are found, or later than with the ranks in the
// directory, for any candidates that are lost and any views that are old.
func TestATakeoverIsNotLaterThanTheRankAmongTheLiving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 100).Draw(t, "candidates")
		dead := map[sched.InstanceID]bool{}
		ids := make([]sched.InstanceID, n)
		for k := range ids {
			ids[k] = sched.InstanceID(fmt.Sprint(k))
			dead[ids[k]] = rapid.IntRange(0, 2).Draw(t, "lost") > 0
		}
		dead[ids[rapid.IntRange(0, n-1).Draw(t, "live")]] = false
		var live []*model
		firstLive := -1
		for k, id := range ids {
			if dead[id] {
				continue
			}
			if firstLive < 0 {
				firstLive = k
			}
			m := &model{better: ids[:k]}
			for _, other := range ids[:k] {
				if rapid.IntRange(0, 4).Draw(t, "known") == 0 {
					m.living.Missed(begin, other) // right or wrong
				}
			}
			live = append(live, m)
		}
		rounds := time.Duration((firstLive + pingsPerRound - 1) / pingsPerRound)
		limit := min(refusalTime+rounds*(pingRound+observeStep), refusalTime+time.Duration(firstLive)*rankWait) + observeStep
		for at := time.Duration(0); at <= limit; at += observeStep {
			for _, m := range live {
				if m.tick(begin.Add(at), dead) {
					return
				}
			}
		}
		t.Fatalf("no takeover after %v; the first live candidate is number %d of %d", limit, firstLive, n)
	})
}
