package site_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/load"
	"github.com/parsleybarrow/parsleybarrow/internal/emu/world"
	"github.com/parsleybarrow/parsleybarrow/internal/process/lead"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// loadCounter counts the reads of whole cells.
type loadCounter struct {
	sched.Store
	loads *atomic.Int64
}

func (s loadCounter) Newest(c context.Context, p sched.Partition, after string) (sched.NewestPage, error) {
	if p.Topic == lead.Topic && after == "" {
		s.loads.Add(1)
	}
	return s.Store.Newest(c, p, after)
}

// placementTrial starts a site with one cell and waits until it is planned.
func placementTrial(instances int, prepare func(*trial)) (*trial, func()) {
	x := newSizedTrial(5, instances, 6, 1)
	prepare(x)
	_, stop, loops := x.begin()
	time.Sleep(10 * time.Second)
	return x, func() {
		stop()
		x.site.End()
		loops.Wait()
		time.Sleep(lateTime)
	}
}

// planned waits until an instance other than the given one plans the cell, and returns the
// time that took.
func (t *trial) planned(other sched.InstanceID, atMost time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < atMost {
		if p := t.site.Planner(0); p != "" && p != other {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return atMost
}

// Guards against instances that can't reach the planner over a cut or full link between
// regions, and that read the whole cell through this link again and again although the
// planner appends.
func TestInstancesOfACutRegionDoNotLoadACellThatIsPlanned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.NewRelaxed(t)
		var loads atomic.Int64
		far := func(id sched.InstanceID) bool { return id >= instance(3) }
		x, end := placementTrial(6, func(x *trial) {
			x.site.Adjust = func(p *peers.Instance) {
				if far(p.ID) {
					p.Region = "far"
				}
			}
			x.site.WrapStore = func(id sched.InstanceID, s sched.Store) sched.Store {
				if far(id) {
					x.world.StorePath(id, func(p *world.Path) { p.Delay = 20 * time.Millisecond })
					return loadCounter{s, &loads}
				}
				return s
			}
		})
		before := x.site.Planner(0)
		i.True(before != "" && !far(before)) // the planner is near the store
		loads.Store(0)
		for a := range 3 {
			for b := 3; b < 6; b++ {
				x.site.Cut(instance(a), instance(b), true)
				x.site.Cut(instance(b), instance(a), true)
			}
		}
		time.Sleep(20 * time.Second)
		i.Equal(loads.Load(), int64(0))
		i.Equal(x.site.Planner(0), before)
		end()
	})
}

// Guards against a cell without a planner because records of instances that are gone count
// in the ranks of a takeover.
func TestInstancesThatAreGoneDoNotDelayATakeover(t *testing.T) {
	const limit = 2500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		i := is.NewRelaxed(t)
		x, end := placementTrial(4, func(x *trial) {
			x.site.Adjust = func(p *peers.Instance) { p.Processors = 800 }
		})
		for n := range 60 {
			id := sched.InstanceID(fmt.Sprint("gone-", n))
			d := &peers.Directory{
				Self:  peers.Instance{ID: id, Incarnation: 1, Address: string(id) + ":1", Region: "region", Processors: 4000},
				Store: x.world.NewClient(id, world.Path{}, world.Path{}), Clock: x.world.Clock, Log: x.site.Log,
			}
			i.NoErr(d.Register(t.Context()))
		}
		time.Sleep(10 * time.Second)
		before := x.site.Planner(0)
		x.site.Kill(before)
		took := x.planned(before, 30*time.Second)
		t.Logf("planned again after %v", took)
		i.True(took < limit)
		end()
	})
}

// Guards against a takeover that waits for each of the first candidates that are lost
// together with the planner, or frozen.
func TestCandidatesThatAreLostWithThePlannerAreNotWaitedFor(t *testing.T) {
	// The live candidates ping the planner every 2 s until they know that others before
	// them are gone.
	const limit = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		i := is.NewRelaxed(t)
		var planners sync.Map
		x, end := placementTrial(14, func(x *trial) {
			x.site.Adjust = func(p *peers.Instance) {
				p.Processors = 800
				if p.ID >= instance(6) { // "entry-6" to "entry-9"
					p.Processors = 192
				}
				planners.Store(p.ID, p.Processors)
			}
		})
		before := x.site.Planner(0)
		power, _ := planners.Load(before)
		i.Equal(power, 800) // the first planner is an able one
		x.site.Kill(before)
		for n := range 14 {
			if id := instance(n); id < instance(6) && id != before {
				x.world.Freeze(id)
			}
		}
		took := x.planned(before, 30*time.Second)
		t.Logf("planned again after %v", took)
		i.True(took < limit)
		for n := range 14 {
			x.world.Thaw(instance(n))
		}
		end()
	})
}

// longestPause returns the longest time without the start of a task in the given time.
func (t *trial) longestPause(d time.Duration) time.Duration {
	var longest time.Duration
	began := time.Now()
	last, count := began, int64(0)
	for time.Since(began) < d {
		if n, _ := t.world.Audit.Counts(); n != count {
			longest = max(longest, time.Since(last))
			last, count = time.Now(), n
		}
		time.Sleep(5 * time.Millisecond)
	}
	return max(longest, time.Since(last))
}

// Guards against a cell that stays on an instance that is too small for it, or that moves
// more than once, against a move that stops the work for too long, and against tasks that
// run twice because of it.
func TestACellMovesFromASmallInstanceWhileWorkGoesOn(t *testing.T) {
	cases := []struct {
		name  string
		delay time.Duration // one way, of the larger instances to the store
	}{
		{"near the store", time.Millisecond},
		{"farther from the store", 20 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { testMove(t, c.delay) })
	}
}

func testMove(t *testing.T, delay time.Duration) {
	const maxPause = 500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		i := is.NewRelaxed(t)
		var large atomic.Bool
		var before, after, last sched.InstanceID
		var pause time.Duration
		x := newSizedTrial(7, 4, 8, 1)
		x.site.Adjust = func(p *peers.Instance) {
			switch {
			case p.ID == instance(0):
				p.Processors = 192
			case large.Load():
				p.Processors = 800
			default:
				p.Processors = 100
			}
		}
		x.site.WrapStore = func(id sched.InstanceID, s sched.Store) sched.Store {
			if id != instance(0) {
				x.world.StorePath(id, func(p *world.Path) { p.Delay = delay })
			}
			return s
		}
		findings, unfinished, done := x.execute([]fault{
			{at: 3 * time.Second, do: func(x *trial) {
				before = x.site.Planner(0)
				large.Store(true)
				for n := 1; n < 4; n++ {
					x.site.Start(instance(n))
				}
				go x.submitSteadily(6 * time.Second)
			}},
			{at: 3500 * time.Millisecond, do: func(x *trial) {
				pause = x.longestPause(5 * time.Second)
				after = x.site.Planner(0)
			}},
			{at: 35 * time.Second, do: func(x *trial) { last = x.site.Planner(0) }},
		})
		t.Logf("moved from %s to %s, then %s; longest time without a start %v", before, after, last, pause)
		i.Equal(before, instance(0))
		i.True(after != "" && after != instance(0)) // the cell has moved
		i.Equal(last, after)                        // and stays
		i.True(pause <= maxPause)
		i.Equal(len(findings), 0)
		i.Equal(len(unfinished), 0)
		i.True(done > 0)
		for _, f := range findings {
			t.Log(f)
		}
	})
}

// Guards against a planner that stops, or a cell that nobody plans, because the instance to
// which the cell moves is lost or frozen on the way.
func TestThePlannerContinuesIfAMoveFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.NewRelaxed(t)
		var targets sync.Map
		x, end := placementTrial(2, func(x *trial) {
			x.site.Adjust = func(p *peers.Instance) {
				p.Processors = 100
				if _, large := targets.Load(p.ID); large {
					p.Processors = 800
				}
			}
			x.site.WrapStore = func(id sched.InstanceID, s sched.Store) sched.Store {
				if _, large := targets.Load(id); large {
					return frozenOnLoad{s, func() { x.world.Freeze(id) }}
				}
				return s
			}
		})
		before := x.site.Planner(0)
		other := instance(0)
		if before == other {
			other = instance(1)
		}
		targets.Store(other, true)
		x.site.Start(other)
		for range 60 {
			time.Sleep(250 * time.Millisecond)
			i.Equal(x.site.Planner(0), before)
		}
		x.world.Thaw(other)
		for range 20 {
			time.Sleep(250 * time.Millisecond)
			i.Equal(x.site.Planner(0), before) // it doesn't take a cell that was offered long ago
		}
		end()
	})
}

// frozenOnLoad calls freeze when a whole cell is read.
type frozenOnLoad struct {
	sched.Store
	freeze func()
}

func (s frozenOnLoad) Newest(c context.Context, p sched.Partition, after string) (sched.NewestPage, error) {
	if p.Topic == lead.Topic && after == "" {
		s.freeze()
	}
	return s.Store.Newest(c, p, after)
}

// submitSteadily submits a job every 50 ms for the given time.
func (t *trial) submitSteadily(d time.Duration) {
	s := &load.JobGenerator{
		Random: rand.New(rand.NewPCG(t.seed, 11)), Queue: t.queue, Racks: racks, Labels: labels, MaxMeanRunTime: 300 * time.Millisecond,
	}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		truth := s.Next(time.Now())
		t.world.Jobs.Add(truth)
		go t.caller.SubmitAndPoll(context.Background(), truth.Job)
	}
}
