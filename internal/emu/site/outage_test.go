package site_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/world"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a candidate whose delayed read is answered as the store comes back
// for all, and which then takes the cell from a working planner, so that waiting
// callers get no answer. A planner that alone lost the store must be replaced.
func TestOnlyAPlannerThatAloneLostTheStoreIsReplaced(t *testing.T) {
	cases := []struct {
		name  string
		all   bool
		moves bool
	}{
		{"all lose the store", true, false},
		{"the planner alone", false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newSizedTrial(3, 4, 6, 1)
				_, stop, loops := x.begin()
				time.Sleep(6 * time.Second)
				before := x.site.Planner(0)
				if before == "" {
					t.Error("no instance, or more than one, plans the cell after 6 s")
				}
				hold := func(m world.Mode) {
					for n := range x.instances {
						if id := instance(n); c.all || id == before {
							x.world.StorePath(id, func(p *world.Path) { p.Mode = m })
						}
					}
				}
				hold(world.Held)
				time.Sleep(1200 * time.Millisecond)
				var during sched.InstanceID
				if !c.all {
					during = x.site.Planner(0)
				}
				hold(world.Up)
				time.Sleep(2 * time.Second)
				after := x.site.Planner(0)
				if moved := after != before; moved != c.moves {
					t.Errorf("cell planned by %q before the outage, %q during, %q after; want a takeover: %v",
						before, during, after, c.moves)
				}
				stop()
				x.site.End()
				loops.Wait()
				time.Sleep(lateTime)
			})
		})
	}
}
