package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/bench/batch"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const gibibyte = 1 << 30

func workers(n int) []sched.Member {
	all := make([]sched.Member, n)
	for i := range all {
		all[i] = sched.Member{
			ID: sched.InstanceID(fmt.Sprintf("worker-%d", i)), Role: sched.RoleWorker, State: sched.StateLive,
			Rack:     fmt.Sprintf("rack-%d", i/4),
			Capacity: sched.Resources{Processors: 16_000, Memory: 60 * gibibyte, Accelerators: int64(i % 2)},
		}
	}
	return all
}

func settings() *sched.Settings {
	return &sched.Settings{
		TaskKinds: []sched.TaskKindSettings{
			{Name: "sweep", MaxAttempts: 3, MaxEvictions: 4},
			{Name: "broken", MaxAttempts: 3},
		},
		Teams: []sched.TeamSettings{{Name: "small", Resources: sched.Resources{Processors: 8000}}},
		Limits: sched.LimitSettings{
			LeaseDuration: 10 * time.Second, ClockBound: 500 * time.Millisecond,
			IsolationLimit: 20 * time.Second, ListLag: 5 * time.Second, AheadDepth: 2,
			DedupWindow: time.Hour,
		},
	}
}

func fixedWork(run time.Duration) func(sched.TaskID, string, sched.InstanceID) batch.TaskBehavior {
	return func(_ sched.TaskID, kind string, _ sched.InstanceID) batch.TaskBehavior {
		return batch.TaskBehavior{RunTime: run, Fails: kind == "broken"}
	}
}

func task(id string, processors int64) sched.Task {
	return sched.Task{
		ID: sched.TaskID(id), Kind: "sweep", Partner: "kooperatiba", Team: "rooms",
		Urgency: sched.UrgencyStandard, Needs: sched.Resources{Processors: processors, Memory: gibibyte},
		RunTime: time.Minute,
	}
}

func config(seed uint64, planners, fleet int) batch.Config {
	return batch.Config{
		Seed: seed, Planners: planners, Workers: workers(fleet), Settings: settings(),
		TaskBehavior: fixedWork(20 * time.Second), MaxClockOffset: 250 * time.Millisecond,
	}
}

// Guards against tasks that are lost or run twice in the absence of faults, and
// against wrong usage totals.
func TestTasksRunOnce(t *testing.T) {
	is := is.New(t)
	s := batch.New(config(1, 3, 4))
	s.Run(2 * time.Second)
	const n = 60
	for i := range n {
		s.Submit(i, task(fmt.Sprintf("task-%d", i), 4000))
	}
	s.Run(3 * time.Minute)
	is.Equal(len(s.Accepted), n)
	is.Equal(s.Ledger().OpenTasks(), 0)
	is.Equal(s.Observer.Violations, nil)
	is.Equal(s.Observer.Starts, n)
	u := s.Ledger().Usage("kooperatiba", s.Now())
	is.Equal(u.Runs, int64(n))
	is.Equal(u.ProcessorMillis, int64(n*20_000*4))
}

// Guards against tasks that are stopped because a slow or unreachable log keeps
// the planner from renewing leases.
func TestLogTroubleKeepsTasksRunning(t *testing.T) {
	for _, c := range []struct {
		name    string
		trouble func(s *batch.Sim)
	}{
		{"slow", func(s *batch.Sim) { s.LogDelay = 8 * time.Second }},
		{"very slow", func(s *batch.Sim) { s.LogDelay = time.Minute }},
		{"down", func(s *batch.Sim) { s.LogDown = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cfg := config(1, 3, 4)
			cfg.TaskBehavior = fixedWork(4 * time.Minute)
			s := batch.New(cfg)
			s.Run(2 * time.Second)
			const n = 16
			for i := range n {
				s.Submit(i, task(fmt.Sprintf("task-%d", i), 4000))
			}
			s.Run(3 * time.Second)
			is.Equal(s.Observer.Starts, n)
			c.trouble(s)
			s.Run(3 * time.Minute)
			s.Heal()
			s.Run(5 * time.Minute)
			is.Equal(s.Observer.Starts, n) // none was stopped and started again
			is.Equal(s.Ledger().Usage("kooperatiba", s.Now()).Runs, int64(n))
		})
	}
}

// Guards against a drain request that is lost with a failed append, or overridden
// by an earlier request for the same worker.
func TestDrainSurvivesLogOutage(t *testing.T) {
	is := is.New(t)
	s := batch.New(config(1, 1, 2))
	s.Run(2 * time.Second)
	s.LogDown = true
	s.Drain(0, "worker-0", true)
	s.Run(5 * time.Second)
	s.LogDown = false
	s.Run(5 * time.Second)
	w, _ := s.Ledger().Worker("worker-0")
	is.True(w.Drained)
	s.Submit(0, task("task", 1000))
	s.Run(5 * time.Second)
	k, _ := s.Ledger().Task("task")
	is.Equal(k.Worker, sched.InstanceID("worker-1"))

	s.LogDown = true
	s.Drain(0, "worker-0", false)
	s.Run(100 * time.Millisecond)
	s.Drain(0, "worker-0", true)
	s.Run(100 * time.Millisecond)
	s.Drain(0, "worker-0", false)
	s.Run(3 * time.Second)
	s.LogDown = false
	s.Run(5 * time.Second)
	is.True(!w.Drained)
}

// startTasks submits n tasks and runs the simulation until all have started. Their
// run time is that of the configuration.
func startTasks(t *testing.T, s *batch.Sim, n int) {
	t.Helper()
	s.Run(2 * time.Second)
	for i := range n {
		s.Submit(1, task(fmt.Sprintf("task-%d", i), 4000))
	}
	s.Run(3 * time.Second)
	is.New(t).Equal(s.Observer.Starts, n)
}

// Guards against leases that expire because a planner that lost its term during a
// pause becomes responsible again, but waits to begin a term although the other
// planner has ended its own.
func TestRoleReturnsAfterPauseWithoutALapse(t *testing.T) {
	is := is.New(t)
	cfg := config(1, 2, 4)
	cfg.TaskBehavior = fixedWork(4 * time.Minute)
	s := batch.New(cfg)
	const n = 16
	yes, no := true, false
	s.OverrideRole(0, &yes)
	s.OverrideRole(1, &no)
	startTasks(t, s, n)
	s.PauseHost(0, 6*time.Second)
	s.Run(5 * time.Second)
	s.OverrideRole(1, &yes) // the silence timeout and the hysteresis have passed
	s.Run(6 * time.Second)
	s.OverrideRole(1, &no) // the paused planner is considered live again
	s.Run(5 * time.Minute)
	is.Equal(s.Observer.Starts, n) // no attempt lapsed and started again
	is.Equal(s.Ledger().Usage("kooperatiba", s.Now()).Runs, int64(n))
}

// Guards against leases that expire because a planner that gave up responsibility
// is slow to take it again when the other planner stops sending.
func TestRoleIsTakenAgainSoonAfterItWasGivenBack(t *testing.T) {
	is := is.New(t)
	cfg := config(1, 2, 4)
	cfg.TaskBehavior = fixedWork(4 * time.Minute)
	s := batch.New(cfg)
	const n = 16
	yes, no := true, false
	s.OverrideRole(0, &no)
	s.OverrideRole(1, &yes)
	startTasks(t, s, n)
	s.OverrideRole(1, &no)
	s.OverrideRole(0, &yes)
	s.Run(4 * time.Second)
	s.PauseHost(0, 20*time.Second)
	s.Run(5 * time.Second)
	s.OverrideRole(1, &yes) // the silence timeout and the hysteresis have passed
	s.Run(5 * time.Minute)
	is.Equal(s.Observer.Starts, n) // no attempt lapsed and started again
	is.Equal(s.Ledger().Usage("kooperatiba", s.Now()).Runs, int64(n))
}
