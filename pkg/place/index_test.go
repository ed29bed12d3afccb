package place

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const gibibyte = 1 << 30

func need(processors int64) *sched.Task {
	return &sched.Task{Team: "rooms", Kind: "sweep", Needs: sched.Resources{Processors: processors, Memory: gibibyte}}
}

// Guards against an index that returns a worker without room, or none although a
// scan of all workers finds room.
func TestFindAgreesWithScan(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		x := NewIndex(rand.New(rand.NewPCG(1, 1)), nil)
		free := map[sched.InstanceID]sched.Resources{}
		draw := func(name string) sched.Resources {
			return sched.Resources{
				Processors:   rapid.Int64Range(-2000, 16_000).Draw(r, name),
				Memory:       rapid.Int64Range(0, 64).Draw(r, name) * gibibyte,
				Accelerators: rapid.Int64Range(0, 4).Draw(r, name),
			}
		}
		for range rapid.IntRange(1, 60).Draw(r, "changes") {
			id := sched.InstanceID(fmt.Sprintf("worker-%d", rapid.IntRange(0, 20).Draw(r, "worker")))
			if rapid.IntRange(0, 4).Draw(r, "remove") == 0 {
				x.Remove(id)
				delete(free, id)
				continue
			}
			f := draw("free")
			x.Set(id, "rack", f)
			free[id] = f
		}
		k := &sched.Task{Needs: draw("needs")}
		k.Needs.Processors = max(k.Needs.Processors, 1)
		exists := false
		for _, f := range free {
			exists = exists || k.Needs.Fits(f)
		}
		id, found := x.Find(k)
		if found != exists {
			r.Fatalf("found a worker: %v; a scan of all workers: %v; task needs %+v, workers have %+v",
				found, exists, k.Needs, free)
		}
		if found && !k.Needs.Fits(free[id]) {
			r.Fatalf("%s has %+v free, less than the needed %+v", id, free[id], k.Needs)
		}
	})
}

// Guards against a placement that breaks up a large free room although a worker
// with just enough room exists.
func TestFindPrefersTightFit(t *testing.T) {
	is := is.New(t)
	x := NewIndex(rand.New(rand.NewPCG(1, 1)), nil)
	x.Set("empty", "rack-0", sched.Resources{Processors: 16_000, Memory: 60 * gibibyte})
	x.Set("tight", "rack-1", sched.Resources{Processors: 2000, Memory: 2 * gibibyte})
	id, found := x.Find(need(2000))
	is.True(found)
	is.Equal(id, sched.InstanceID("tight"))
}

// Guards against a placement that puts tasks of one kind into one rack, or ignores
// interference.
func TestFindSpreadsAndAvoids(t *testing.T) {
	is := is.New(t)
	bad, worst := sched.InstanceID(""), 1.0
	x := NewIndex(rand.New(rand.NewPCG(1, 1)), func(w sched.InstanceID, _ string) float64 {
		if w == bad {
			return worst
		}
		return 0
	})
	room := sched.Resources{Processors: 16_000, Memory: 60 * gibibyte}
	x.Set("a", "rack-0", room)
	x.Set("b", "rack-1", room)
	x.Count("rack-0", "rooms", "sweep", 1)
	id, _ := x.Find(need(1000))
	is.Equal(id, sched.InstanceID("b"))
	bad = "b"
	id, _ = x.Find(need(1000))
	is.Equal(id, sched.InstanceID("a"))
	x.Remove("a")
	bad = ""
	_, found := x.Find(need(1000))
	is.True(found)
	x.Set("a", "rack-0", sched.Resources{})
	worst = 1.1
	bad = "b"
	_, found = x.Find(need(1000))
	is.True(!found) // with a score above 1 a service would miss its goal
}

// Guards against a team that starves others by submitting first, and against less
// urgent tasks that go before urgent ones.
func TestRoundOrder(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	add := func(id, team string, u sched.Urgency, at sched.Offset) {
		q.Add(&sched.TaskStatus{Accepted: at, Task: sched.Task{ID: sched.TaskID(id), Team: team, Urgency: u}})
	}
	add("a1", "a", sched.UrgencyStandard, 1)
	add("a2", "a", sched.UrgencyStandard, 2)
	add("b1", "b", sched.UrgencyStandard, 3)
	add("u1", "a", sched.UrgencyUrgent, 4)
	held := map[string]float64{}
	team := map[sched.TaskID]string{"a1": "a", "a2": "a", "b1": "b", "u1": "a"}
	var order []sched.TaskID
	q.Round(func(t string) float64 { return held[t] }, func(id sched.TaskID) Verdict {
		order = append(order, id)
		held[team[id]]++
		return Taken
	})
	is.Equal(order, []sched.TaskID{"u1", "b1", "a1", "a2"})
	is.Equal(q.Len(), 0)
}

// BenchmarkFind places and removes tasks on a fleet that is nine tenths full.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{390, 3900, 39_000} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			x := NewIndex(r, nil)
			ids := make([]sched.InstanceID, n)
			free := make(map[sched.InstanceID]sched.Resources, n)
			for i := range ids {
				ids[i] = sched.InstanceID(fmt.Sprintf("worker-%d", i))
				f := sched.Resources{Processors: r.Int64N(3200), Memory: r.Int64N(12) * gibibyte}
				free[ids[i]] = f
				x.Set(ids[i], fmt.Sprintf("rack-%d", i/11), f)
			}
			b.ReportAllocs()
			for b.Loop() {
				k := need(100 + r.Int64N(3000))
				if id, found := x.Find(k); found {
					x.Set(id, "", free[id].Minus(k.Needs))
					x.Set(id, "", free[id])
				}
			}
		})
	}
}
