package site_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against tasks that start in an evacuated data centre: the record isn't followed, a
// planner doesn't learn of it, or one that takes over doesn't.
func TestNothingStartsInAnEvacuatedDataCentre(t *testing.T) {
	rows := []struct {
		name string
		do   func(*trial) // half a second after the evacuation
		most time.Duration
	}{
		{"in normal operation", func(*trial) {}, time.Second},
		{"the planner is lost", func(x *trial) { x.site.Kill(x.site.Planner(0)) }, time.Second},
		{"history is gone", func(x *trial) { x.world.TrimHistory() }, time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				x := newSizedTrial(2, 3, 6, 1)
				c, stop, loops := x.begin()
				time.Sleep(3 * time.Second)
				loops.Go(func() { x.submit(c, loops) })
				time.Sleep(4 * time.Second)
				started := x.startsIn(0)
				x.world.Evacuate(dataCentre(0), true)
				time.Sleep(500 * time.Millisecond)
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
				i.True(started > 0)
				i.True(x.world.Audit.LatestEvacuated() < row.most)
				i.True(after > during) // load returns
				t.Log("starts", started, during, after, "latest", x.world.Audit.LatestEvacuated())
			})
		})
	}
}

// startsIn returns the number of runs that have started in a data centre.
func (t *trial) startsIn(n int) int64 { return t.world.Audit.StartsIn(dataCentre(n)) }
