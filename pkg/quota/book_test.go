package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against parts that do not sum to the quota, and against a part below its
// demand while the quota covers all demands.
func TestPartsSumToTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := rapid.Float64Range(0.1, 10_000).Draw(t, "quota")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 5000), 1, 20).Draw(t, "demands")
		sum, parts := 0.0, 0.0
		for _, d := range demands {
			sum += d
		}
		for _, d := range demands {
			p := split(quota, d, sum, 1/float64(len(demands)))
			if sum <= (1-evenShare)*quota && p < d {
				t.Fatalf("part %g is below demand %g although all fit", p, d)
			}
			parts += p
		}
		if parts > quota*1.000001 || parts < quota*0.999999 {
			t.Fatalf("parts sum to %g, quota is %g", parts, quota)
		}
	})
}

// fleet is a set of instances of one data centre that exchange heartbeats.
type fleet struct {
	now   time.Time
	books []*Splitter
	gates []*Gate
}

func newFleet(n int, teams []sched.TeamSettings) *fleet {
	f := &fleet{now: epoch}
	for k := range n {
		b := New(Options{Self: id(k), DataCentre: "a"})
		b.SetTeams(teams)
		f.books = append(f.books, b)
		f.gates = append(f.gates, NewGate())
		f.gates[k].Set(f.now, EvenParts(teams, n))
	}
	return f
}

func id(k int) sched.InstanceID { return sched.InstanceID(fmt.Sprint("entry-", k)) }

// runSecond offers requests of team t at each instance for one second, then
// exchanges heartbeats between the pairs for which linked returns true.
func (f *fleet) runSecond(offered []int, linked func(a, b int) bool) (admitted []int) {
	for k, n := range offered {
		got := 0
		for r := range n {
			if f.gates[k].Allow(f.now.Add(time.Second*time.Duration(r)/time.Duration(n)), "t") {
				got++
			}
		}
		admitted = append(admitted, got)
	}
	f.now = f.now.Add(time.Second)
	for k := range f.books {
		f.books[k].Sample(f.now, f.gates[k].Counts())
	}
	for a := range f.books {
		for b := range f.books {
			if a != b && linked(a, b) {
				own, areas := f.books[a].HeartbeatDemand(f.now, id(b), "a")
				f.books[b].ApplyHeartbeat(f.now, sched.Heartbeat{From: id(a), Incarnation: 1, DataCentre: "a", Demand: own, Areas: areas})
			}
		}
	}
	for k := range f.books {
		f.gates[k].Set(f.now, f.books[k].Parts(f.now, len(f.books), len(f.books)))
	}
	return admitted
}

// Guards against a quota that is exceeded over all instances after demand moves
// or the instances are partitioned, and against parts that don't follow demand.
func TestQuotaHoldsOverAllInstances(t *testing.T) {
	i := is.New(t)
	f := newFleet(4, []sched.TeamSettings{{Name: "t", Partner: "p", Requests: 100}})
	all := func(int, int) bool { return true }
	total := func(seconds int, offered []int, linked func(a, b int) bool) float64 {
		sum := 0
		for range seconds {
			for _, n := range f.runSecond(offered, linked) {
				sum += n
			}
		}
		return float64(sum) / float64(seconds)
	}
	total(20, []int{300, 10, 10, 0}, all)
	got := f.runSecond([]int{300, 10, 10, 0}, all)
	i.True(got[0] > 70) // this instance has most of the demand
	rate := total(30, []int{300, 10, 10, 0}, all)
	i.True(rate > 90 && rate <= 103)
	sides := func(a, b int) bool { return a/2 == b/2 }
	total(10, []int{200, 200, 200, 200}, sides)
	i.True(total(30, []int{200, 200, 200, 200}, sides) <= 103)
	nobody := func(int, int) bool { return false }
	total(10, []int{200, 200, 200, 200}, nobody)
	i.True(total(30, []int{200, 200, 200, 200}, nobody) <= 103)
	total(10, []int{0, 0, 50, 0}, all)
	i.True(total(30, []int{0, 0, 50, 0}, all) > 48) // the partition has healed and the quota covers all demand
}
