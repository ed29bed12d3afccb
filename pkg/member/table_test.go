package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/member"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entry(id sched.InstanceID, d sched.DataCentre) sched.Member {
	return sched.Member{
		ID: id, Incarnation: 1, Role: sched.RoleEntry, State: sched.StateLive, DataCentre: d, Address: "127.0.0.1:1",
	}
}

func backend(n sched.Incarnation, s sched.State) sched.Member {
	return sched.Member{ID: "b", Incarnation: n, Role: sched.RoleBackend, State: s, DataCentre: "a", Service: "simdesk"}
}

func beat(id sched.InstanceID) sched.Heartbeat {
	return sched.Heartbeat{From: id, Incarnation: 1, DataCentre: "a", Address: "127.0.0.1:1", State: sched.StateLive}
}

func newTable() *member.Table {
	return member.New(epoch, member.Options{Self: entry("self", "a")})
}

func state(t *member.Table, id sched.InstanceID) sched.State {
	m, _ := t.View().Find(id)
	return m.State
}

// Guards against a leaving instance that gets work again because a late list or
// an answer shows it as running, and against a newer incarnation that inherits
// the state leaving.
func TestLeavingIsFinalForTheIncarnation(t *testing.T) {
	i := is.New(t)
	m := newTable()
	m.ApplyList(epoch, []sched.Member{backend(1, sched.StateLive)})
	m.MarkLeaving(epoch, "b", 1)
	i.Equal(state(m, "b"), sched.StateLeaving) // at once
	m.ApplyList(epoch.Add(time.Second), []sched.Member{backend(1, sched.StateLive)})
	m.RecordAnswer(epoch.Add(time.Second), "b", 1)
	i.Equal(state(m, "b"), sched.StateLeaving)
	m.ApplyList(epoch.Add(2*time.Second), []sched.Member{backend(2, sched.StateLive)})
	i.Equal(state(m, "b"), sched.StateLive)
	m.MarkLeaving(epoch.Add(2*time.Second), "b", 1) // a late report about the older incarnation
	m.ApplyList(epoch.Add(3*time.Second), []sched.Member{backend(1, sched.StateLeaving)})
	i.Equal(state(m, "b"), sched.StateLive)
}

// Guards against an instance that becomes gone because it is silent. Only a
// list without the instance may have that effect, and only if the instance is
// silent too.
func TestSilenceMakesUnreachableNotGone(t *testing.T) {
	i := is.New(t)
	m := newTable()
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	m.ApplyList(at(0), []sched.Member{entry("p", "a"), entry("far", "b")})
	m.ApplyHeartbeat(at(0), beat("p"))
	m.Tick(at(60)) // the list is unavailable
	i.Equal(state(m, "p"), sched.StateUnreachable)
	i.Equal(state(m, "far"), sched.StateLive) // far sends no heartbeats to this instance
	m.ApplyHeartbeat(at(61), beat("p"))
	m.ApplyList(at(61), nil) // the list lacks p, but p is heard
	i.Equal(state(m, "p"), sched.StateLive)
	m.ApplyList(at(90), nil)
	i.Equal(state(m, "p"), sched.StateGone)
	i.Equal(state(m, "far"), sched.StateGone)
}

// Guards against responsibilities that move with every lost heartbeat.
func TestCandidatesFollowWithHysteresis(t *testing.T) {
	i := is.New(t)
	m := newTable()
	m.ApplyHeartbeat(epoch, beat("p"))
	i.Equal(len(m.View().Candidates("a")), 2)
	now := epoch
	changes, last := 0, 2
	step := func(heard bool) {
		now = now.Add(time.Second)
		if heard {
			m.ApplyHeartbeat(now, beat("p"))
		}
		m.Tick(now)
		if n := len(m.View().Candidates("a")); n != last {
			changes, last = changes+1, n
		}
	}
	for k := range 600 {
		step(k%2 == 0)
	}
	i.Equal(changes, 0) // a heartbeat every second interval
	for k := range 600 {
		step(k%12 < 6) // 6 s of silence make p unreachable, but for less than the hysteresis
	}
	i.True(changes <= 2)
	for range 20 {
		step(false)
	}
	i.Equal(last, 1)
}

// Guards against a pair of instances in a data centre that doesn't exchange
// heartbeats, or does so twice per interval.
func TestOneSideOfEachPairCalls(t *testing.T) {
	i := is.New(t)
	ids := []sched.InstanceID{"p1", "p2", "p3", "p4", "p5"}
	calls := map[[2]sched.InstanceID]int{}
	for _, self := range ids {
		m := member.New(epoch, member.Options{Self: entry(self, "a")})
		for _, p := range ids {
			if p != self {
				m.ApplyHeartbeat(epoch, beat(p))
			}
		}
		for _, c := range m.Contacts(epoch.Add(time.Second)) {
			calls[[2]sched.InstanceID{min(self, c.ID), max(self, c.ID)}]++
		}
		i.Equal(len(m.Contacts(epoch.Add(2*time.Second))), 4) // peers that stay silent are all called
	}
	i.Equal(len(calls), 10)
	for _, n := range calls {
		i.Equal(n, 1)
	}
}
