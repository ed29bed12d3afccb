package batch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/bench/naive"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/suspct"
)

// Scenario is a load with disturbances, run under one policy.
type Scenario struct {
	Name string
	// Spread is the standard deviation of the natural logarithm of the true
	// run time over the declared one.
	Spread float64
	// Urgent is the mean time between two urgent tasks, none if 0.
	Urgent time.Duration
	// Disturb plans the disturbances.
	Disturb func(s *Sim, ids []sched.TaskID)
	// Usable is the part of the fleet that can carry work, 1 if 0.
	Usable float64
}

// Policy is what a scenario compares.
type Policy struct {
	Name string
	// Options changes the planner; may be nil.
	Options    func(o *plan.Options)
	AheadDepth int
}

// Baseline takes the first worker with room, evicts what was placed last and
// binds nothing ahead.
func Baseline() Policy {
	return Policy{Name: "baseline", Options: func(o *plan.Options) {
		o.DisableRoomHold = true
		o.NewFinder = func(*rand.Rand) plan.Finder { return naive.New() }
		o.EvictionCost = func(v plan.Victim) float64 { return -float64(v.PlacementIndex) }
	}}
}

// BaselineWithSuspects is the baseline, but for workers that fail everything.
func BaselineWithSuspects() Policy {
	p := Baseline()
	options := p.Options
	p.Name = "baselineSuspects"
	p.Options = func(o *plan.Options) {
		options(o)
		o.FailureClassifier = suspct.New()
	}
	return p
}

// Current is the policy in use.
func Current() Policy {
	return Policy{Name: "current", AheadDepth: 2, Options: func(o *plan.Options) { o.FailureClassifier = suspct.New() }}
}

// Result is what a scenario measures.
type Result struct {
	// BatchShare is the work that was not lost over what the fleet could
	// carry.
	BatchShare float64
	Evictions  int
	// Doubled counts starts of a task that ran elsewhere, Lost accepted tasks
	// that are neither open nor ended with a reason.
	Doubled int
	Lost    int
	// LateStarts counts starts after a recorded cancellation.
	LateStarts int
	// UrgentWait is the 99th percentile of the time from the submission of an
	// urgent task to its start.
	UrgentWait time.Duration
}

// Size of the simulated fleet and length of a run.
const (
	scenarioWorkers = 40
	scenarioTasks   = 3000
	scenarioTime    = time.Hour
	scenarioRun     = 5 * time.Minute
	warmUp          = 3 * time.Second
	workerCapacity  = 16_000
)

// RunScenario runs a scenario under a policy.
func RunScenario(c Scenario, p Policy, seed uint64) Result {
	s := New(c.config(p, seed))
	s.Run(warmUp)
	ids, submitted := s.submitTasks(c, seed)
	if c.Disturb != nil {
		c.Disturb(s, ids)
	}
	s.Run(scenarioTime)
	return s.result(c, submitted)
}

// fill submits the background tasks and plans the urgent ones. It returns the
// ids of the former and the times of the latter.
func (s *Sim) submitTasks(c Scenario, seed uint64) ([]sched.TaskID, map[sched.TaskID]time.Time) {
	r := rand.New(rand.NewPCG(seed, 3))
	var ids []sched.TaskID
	for i := range scenarioTasks {
		t := sched.Task{
			ID: sched.TaskID(fmt.Sprintf("task-%d", i)), Kind: "sweep", Partner: "kooperatiba",
			Team: fmt.Sprintf("team-%d", i%5), Urgency: sched.UrgencyBackground, RunTime: scenarioRun,
			Needs: sched.Resources{Processors: 1000 * (1 + r.Int64N(6)), Memory: 1 << 30},
		}
		ids = append(ids, t.ID)
		s.Submit(i, t)
	}
	submitted := map[sched.TaskID]time.Time{}
	s.submitUrgent(c.Urgent, r, submitted)
	return ids, submitted
}

func (c Scenario) config(p Policy, seed uint64) Config {
	members := make([]sched.Member, scenarioWorkers)
	for i := range members {
		members[i] = sched.Member{
			ID: sched.InstanceID(fmt.Sprintf("worker-%02d", i)), Role: sched.RoleWorker, State: sched.StateLive,
			Rack: fmt.Sprintf("rack-%d", i/8), Capacity: sched.Resources{Processors: workerCapacity, Memory: 60 << 30},
		}
	}
	return Config{
		Seed: seed, Planners: 3, Workers: members, Options: p.Options,
		Settings: &sched.Settings{
			TaskKinds: []sched.TaskKindSettings{{Name: "sweep", MaxAttempts: 3, MaxEvictions: 5}},
			Limits: sched.LimitSettings{
				LeaseDuration: 20 * time.Second, ClockBound: 500 * time.Millisecond,
				IsolationLimit: 30 * time.Minute, ListLag: 10 * time.Second, AheadDepth: p.AheadDepth,
				DedupWindow: 2 * time.Hour,
			},
		},
		TaskBehavior: func(id sched.TaskID, kind string, _ sched.InstanceID) TaskBehavior {
			draws := rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(id))))
			run := scenarioRun
			if kind == "urgent" {
				run = time.Minute
			}
			return TaskBehavior{RunTime: time.Duration(float64(run) * math.Exp(c.Spread*draws.NormFloat64()))}
		},
		MaxClockOffset: 200 * time.Millisecond,
	}
}

// submitUrgent plans urgent tasks as a Poisson process.
func (s *Sim) submitUrgent(gap time.Duration, r *rand.Rand, submitted map[sched.TaskID]time.Time) {
	if gap == 0 {
		return
	}
	n := 0
	at := time.Duration(0)
	for at < scenarioTime-time.Minute {
		at += time.Duration(r.ExpFloat64() * float64(gap))
		n++
		t := sched.Task{
			ID: sched.TaskID(fmt.Sprintf("urgent-%d", n)), Kind: "urgent", Partner: "kooperatiba", Team: "desk",
			Urgency: sched.UrgencyUrgent, RunTime: time.Minute,
			Needs: sched.Resources{Processors: 1000 * (2 + r.Int64N(6)), Memory: 1 << 30},
		}
		s.After(at, func() {
			submitted[t.ID] = s.queue.Now
			s.Submit(n, t)
		})
	}
}

func (s *Sim) result(c Scenario, submitted map[sched.TaskID]time.Time) Result {
	usable := c.Usable
	if usable == 0 {
		usable = 1
	}
	carry := usable * scenarioWorkers * workerCapacity / 1000 * float64(s.queue.Now.Sub(start))
	r := Result{
		BatchShare: float64(s.BusyTime()-s.Wasted) / carry,
		Evictions:  s.Observer.Evictions, Doubled: s.Observer.ConcurrentStarts, LateStarts: s.Observer.LateStarts,
	}
	for id := range s.Accepted {
		if t, known := s.reference.Task(id); !known || (t.State == sched.TaskFailed && t.Reason == "") {
			r.Lost++
		}
	}
	var waits []time.Duration
	for id, at := range submitted {
		if first, ok := s.Observer.FirstStart[id]; ok {
			waits = append(waits, first.Sub(at))
		} else if s.Accepted[id] {
			waits = append(waits, s.queue.Now.Sub(at))
		}
	}
	r.UrgentWait = percentile(waits, 0.99)
	return r
}
