package site_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/book"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against workers that stay unusable since more runs ended there than they list at a time, while no planner asked them:
// what has ended there is never known, and accepted jobs never run.
func TestMoreEndsThanAWorkerListsAreFollowed(t *testing.T) {
	const (
		// The tasks fit on the workers, 600 on each of three.
		points, pointTime = 1800, 5 * time.Second
		first, second     = sched.JobID("5c0e7a21d94b36f8"), sched.JobID("5c0e7a21d94b36f9")
		settleTime        = 8 * time.Second
	)
	killAll := func(x *trial, _ sched.InstanceID) {
		for n := range x.instances {
			x.site.Kill(instance(n))
		}
		time.Sleep(3 * time.Second)
		for n := range x.instances {
			x.startIfDown(instance(n))
		}
	}
	rows := []struct {
		name string
		// fault keeps the planner from its workers while the tasks end.
		fault  func(x *trial, planner sched.InstanceID)
		agents bool
	}{
		{"all instances are killed", killAll, false},
		{"the planner is killed", func(x *trial, planner sched.InstanceID) {
			time.Sleep(1200 * time.Millisecond)
			x.site.Kill(planner)
		}, false},
		{"the planner is paused", func(x *trial, planner sched.InstanceID) {
			x.world.Freeze(planner)
			time.Sleep(3 * time.Second)
			x.world.Thaw(planner)
		}, false},
		{"all instances are killed, orders of agents", killAll, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				x := newSizedTrial(1, 3, 3, 1)
				if row.agents {
					x.useAgents()
				}
				c, stop, loops := x.begin()
				time.Sleep(6 * time.Second)
				planner := x.site.Planner(0)
				j := sched.Job{ID: first, Queue: queue, Payload: "payload", Steps: []sched.Step{
					{Tasks: points, Needs: sched.Resources{Processors: 20, Memory: 50 << 20}, Estimate: pointTime},
					{Tasks: 3, Needs: sched.Resources{Processors: 500, Memory: 500 << 20}, Estimate: time.Second, After: []int{0}},
				}}
				x.world.Jobs.Add(book.JobTruth{Job: j, MeanRunTimes: []time.Duration{pointTime, time.Second}})
				loops.Go(func() { x.caller.SubmitAndPoll(c, j) })
				time.Sleep(3700 * time.Millisecond) // the tasks have started and end soon
				row.fault(x, planner)
				time.Sleep(time.Second)
				later := x.addJob(string(second))
				loops.Go(func() { x.caller.SubmitAndPoll(c, later) })
				time.Sleep(settleTime)
				starts, _ := x.world.Audit.Counts()
				states := []sched.JobState{x.caller.PollState(c, first, time.Now()), x.caller.PollState(c, second, time.Now())}
				stop()
				x.site.End()
				loops.Wait()
				time.Sleep(lateTime)
				i.Equal(states, []sched.JobState{sched.JobCompleted, sched.JobCompleted})
				i.Equal(starts, int64(points+3+1)) // no task ran again
				i.Equal(len(x.world.Audit.Findings()), 0)
			})
		})
	}
}

// submitPoints submits jobs with so many small tasks that hundreds of them end on each of
// three workers within a second, for as long as faults happen.
func (t *trial) submitPoints(c context.Context, loops *sync.WaitGroup) {
	const points, pointTime, pause = 1800, 3 * time.Second, 5 * time.Second
	end := time.Now().Add(faultTime)
	for n := 1; time.Now().Before(end) && c.Err() == nil; n++ {
		j := sched.Job{ID: sched.JobID(fmt.Sprintf("%016x", n)), Queue: t.queue, Payload: "payload", Steps: []sched.Step{
			{Tasks: points, Needs: sched.Resources{Processors: 10, Memory: 10 << 20}, Estimate: pointTime},
		}}
		t.world.Jobs.Add(book.JobTruth{Job: j, MeanRunTimes: []time.Duration{pointTime}})
		loops.Go(func() { t.caller.SubmitAndPoll(c, j) })
		time.Sleep(pause)
	}
}

// plannerKills returns a plan that kills or pauses the planner of the first cell again and
// again, at random times and for random times.
func (t *trial) plannerKills() []fault {
	var plan []fault
	for at := time.Second; at < faultTime; at += time.Duration(3000+t.random.IntN(3000)) * time.Millisecond {
		paused, away := t.random.IntN(2) == 0, time.Duration(500+t.random.IntN(2500))*time.Millisecond
		var planner sched.InstanceID
		plan = append(plan,
			fault{at, fmt.Sprint("take the planner away, paused ", paused), func(t *trial) {
				switch planner = t.site.Planner(0); {
				case planner == "":
				case paused:
					t.world.Freeze(planner)
				default:
					t.site.Kill(planner)
				}
			}, 1},
			fault{at + away, "bring it back", func(t *trial) {
				switch {
				case planner == "":
				case paused:
					t.world.Thaw(planner)
				default:
					t.site.Start(planner)
				}
			}, -1})
	}
	return plan
}

// manyEnds returns a trial in which more runs end than a worker lists, with agents or without.
func manyEnds(seed uint64) *trial {
	x := newSizedTrial(seed, 3, 3, 1)
	x.random = rand.New(rand.NewPCG(seed, 11))
	x.alongside = x.submitPoints
	if seed%2 == 0 {
		x.useAgents()
	}
	return x
}

// Guards against ends that are lost, counted twice or never followed, and against workers that stay unusable, where more runs end
// than a worker lists while planners are killed and paused.
func TestManyEndsAreFollowedByTheNextPlanner(t *testing.T) {
	first, last := seeds(2)
	for seed := first; seed <= last; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := manyEnds(seed)
				x.check(t, x.plannerKills())
			})
		})
	}
}

// Guards against the same under all faults of the site.
func TestSiteWithManyEndsUnderFaults(t *testing.T) {
	first, last := seeds(2)
	for seed := first; seed <= last; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := manyEnds(seed)
				x.check(t, x.plan())
			})
		})
	}
}
