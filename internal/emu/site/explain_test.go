package site_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/process/relay"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against an explanation by an instance that doesn't plan the cell, and against one
// that submits the job.
func TestOnlyThePlannerExplains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		x := newSizedTrial(1, 3, 6, 1)
		c, stop, loops := x.begin()
		time.Sleep(5 * time.Second)
		q := relay.Question{ID: "x", Host: "h", Path: "/q/x", Job: &sched.Job{ID: "x", Steps: []sched.Step{{
			Tasks: 2, Needs: sched.Resources{Processors: 1000}, Estimate: time.Second,
		}}}}
		planner := x.site.Planner(0)
		for n := range x.instances {
			a, err := x.site.Explain(c, instance(n), q)
			var moved *relay.NotPlannerError
			if instance(n) != planner {
				i.True(errors.As(err, &moved))
				i.Equal(moved.Hint.ID, planner)
				continue
			}
			i.NoErr(err)
			i.True(a.Known)
			i.Equal(a.Steps[0].Waiting, 2)
			i.Equal(len(a.Steps[0].Workers), 5)
		}
		q.Path = "/none"
		time.Sleep(time.Second)
		a, err := x.site.Explain(c, planner, q)
		i.NoErr(err)
		i.True(!a.Known) // no such route
		q.Job, q.Path = nil, ""
		a, err = x.site.Explain(c, planner, q)
		i.NoErr(err)
		i.True(!a.Known) // the job wasn't submitted
		stop()
		x.site.End()
		loops.Wait()
	})
}
