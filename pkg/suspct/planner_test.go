package suspct_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/bench/batch"
	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/suspct"
)

// Guards against tasks that fail for good on a broken worker although the
// planner has a judge. Guards also against a repaired worker that never gets
// tasks again because the planner doesn't ask the judge after the pause has
// ended.
func TestPlannerDrainsABrokenWorkerAndTakesItBack(t *testing.T) {
	i := is.New(t)
	var workers []sched.Member
	for n := range 5 {
		workers = append(workers, sched.Member{
			ID: sched.InstanceID(fmt.Sprintf("w%d", n)), Role: sched.RoleWorker, State: sched.StateLive,
			Capacity: sched.Resources{Processors: 4000, Memory: 4},
		})
	}
	judge := suspct.New()
	s := batch.New(batch.Config{
		Seed: 1, Planners: 1, Workers: workers,
		Settings: &sched.Settings{
			TaskKinds: []sched.TaskKindSettings{{Name: "k", MaxAttempts: 2}},
			Limits: sched.LimitSettings{
				LeaseDuration: 8 * time.Second, ClockBound: time.Second, DedupWindow: time.Hour,
				IsolationLimit: time.Hour, ListLag: 10 * time.Second,
			},
		},
		TaskBehavior: func(sched.TaskID, string, sched.InstanceID) batch.TaskBehavior {
			return batch.TaskBehavior{RunTime: 5 * time.Second}
		},
		Options: func(o *plan.Options) { o.FailureClassifier = judge },
	})
	s.Run(3 * time.Second)
	submitted := 0
	work := func(seconds int) {
		for range 3 * seconds { // four workers can run 3.2 tasks per second
			s.Submit(0, sched.Task{
				ID: sched.TaskID(fmt.Sprintf("t%d", submitted)), Kind: "k", Team: "a",
				Urgency: sched.UrgencyStandard, Needs: sched.Resources{Processors: 1000, Memory: 1},
			})
			submitted++
			s.Run(time.Second / 3)
		}
	}
	s.FailWorker(0, true)
	work(300)
	i.True(judge.Suspected("w0"))
	s.FailWorker(0, false)
	work(900)
	i.True(!judge.Suspected("w0"))
	s.Run(time.Minute)
	i.Equal(len(s.Accepted), submitted)
	for id := range s.Accepted {
		i.Equal(s.Observer.Finishes[id], 1) // no task failed for good because of the broken worker
	}
	i.Equal(len(s.Observer.Violations), 0)
}
