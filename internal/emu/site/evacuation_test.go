package site_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/audit"
	"github.com/parsleybarrow/parsleybarrow/internal/emu/world"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// startsIn returns the number of runs that have started in a data centre.
func (t *trial) startsIn(n int) int64 { return t.world.Audit.StartsIn(dataCentre(n)) }

// Guards against tasks that start in an evacuated data centre: the record isn't followed, a
// planner doesn't learn of it, or one that takes over doesn't. Load must return afterwards.
func TestNothingStartsInAnEvacuatedDataCentre(t *testing.T) {
	storeOf := func(x *trial, id sched.InstanceID, to world.Path) {
		x.world.StorePath(id, func(p *world.Path) { *p = to })
	}
	rows := []struct {
		name string
		do   func(*trial) // 100 ms after the evacuation
	}{
		{"in normal operation", func(*trial) {}},
		{"the planner is lost", func(x *trial) { x.site.Kill(x.site.Planner(0)) }},
		{"the planner stops", func(x *trial) { x.site.Stop(x.site.Planner(0)) }},
		{"history is gone", func(x *trial) { x.world.TrimHistory() }},
		{"the planner loses the store", func(x *trial) {
			id := x.site.Planner(0)
			storeOf(x, id, world.Path{Mode: world.Silent})
			time.Sleep(5 * time.Second)
			storeOf(x, id, world.Path{Delay: time.Millisecond})
		}},
		{"the planner is frozen", func(x *trial) {
			id := x.site.Planner(0)
			x.world.Freeze(id)
			time.Sleep(4 * time.Second)
			x.world.Thaw(id)
		}},
	}
	for _, row := range rows {
		for _, agents := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/agents=%t", row.name, agents), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					i := is.New(t)
					x := newSizedTrial(2, 3, 6, 1)
					if agents {
						x.useAgents()
					}
					c, stop, loops := x.begin()
					time.Sleep(3 * time.Second)
					loops.Go(func() { x.submit(c, loops) })
					time.Sleep(4 * time.Second)
					before := x.startsIn(0)
					x.world.Evacuate(dataCentre(0), true)
					time.Sleep(100 * time.Millisecond)
					row.do(x)
					time.Sleep(12 * time.Second)
					during := x.startsIn(0)
					x.world.Evacuate(dataCentre(0), false)
					time.Sleep(6 * time.Second)
					after := x.startsIn(0)
					stop()
					x.site.End()
					loops.Wait()
					time.Sleep(lateTime)
					i.True(before > 0)
					i.True(x.world.Audit.LatestEvacuated() < time.Second)
					i.True(after > during) // load returns
				})
			})
		}
	}
}

// Guards against a start later than the bound by a planner in contact with the store, whatever
// the order of evacuations, withdrawals, handovers, late and lost orders and failing reads.
func TestEvacuationsAreInForceInTime(t *testing.T) {
	first, last := seeds(6)
	for seed := first; seed <= last; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newSizedTrial(seed, 4, 9, 1)
				x.random = rand.New(rand.NewPCG(seed, 13))
				if seed%2 == 0 {
					x.useAgents()
				}
				findings, _, _ := x.execute(x.evacuationPlan())
				for _, f := range findings {
					if f.Rule == audit.Evacuated || f.Rule == audit.Twice {
						t.Errorf("seed %d: %v", seed, f)
					}
				}
				t.Log("latest start in an evacuated data centre:", x.world.Audit.LatestEvacuated())
			})
		})
	}
}

// evacuationPlan draws many evacuations, with faults of instances, of the store and of orders
// beside them.
func (t *trial) evacuationPlan() []fault {
	var plan []fault
	for at := time.Duration(0); at < faultTime*9/10; at += time.Duration(2+t.random.IntN(4)) * time.Second {
		n := t.random.IntN(t.instances)
		kinds := []func() (string, func(*trial), func(*trial)){
			func() (string, func(*trial), func(*trial)) { return t.kill(n, false) },
			func() (string, func(*trial), func(*trial)) { return t.restart(n) },
			func() (string, func(*trial), func(*trial)) { return t.freeze(n) },
			func() (string, func(*trial), func(*trial)) { return t.storeFault(n, t.random.IntN(3) == 0) },
			func() (string, func(*trial), func(*trial)) { return t.orderFault(n) },
			func() (string, func(*trial), func(*trial)) { return t.trimHistory() },
		}
		name, begin, end := kinds[t.random.IntN(len(kinds))]()
		plan = append(plan, fault{at, name, begin, 0})
		if end != nil {
			plan = append(plan, fault{at + time.Duration(500+t.random.IntN(7000))*time.Millisecond, "end of " + name, end, 0})
		}
		d := t.random.IntN(dataCentres)
		change := func(inForce bool) func(*trial) {
			return func(t *trial) { t.world.Evacuate(dataCentre(d), inForce) }
		}
		at += time.Duration(t.random.IntN(1000)) * time.Millisecond
		plan = append(plan, fault{at, fmt.Sprint("evacuate ", d), change(true), 0},
			fault{at + time.Duration(500+t.random.IntN(12000))*time.Millisecond, fmt.Sprint("withdraw ", d), change(false), 0})
	}
	return inOrder(plan)
}
