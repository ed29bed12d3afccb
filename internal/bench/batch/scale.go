package batch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Scale is a fleet with running tasks and a stream of urgent ones.
type Scale struct {
	Workers int
	// Running is the number of background tasks that run.
	Running int
	// StartsPerSecond is the rate of urgent tasks.
	StartsPerSecond int
	Duration        time.Duration
}

// ScaleResult is what a Scale measures.
type ScaleResult struct {
	// Median and P99 are the times from submission to start.
	Median, P99 time.Duration
	Tick        time.Duration
	Started     int
	// RecordBytes is what the log took per urgent task.
	RecordBytes float64
	Evictions   int
	// CallsPerSecond counts exchanges with all workers.
	CallsPerSecond float64
	// CoreShare is the real time of the planner over the virtual time.
	CoreShare  float64
	Violations []string
}

// submitsPerSecond is the number of tasks that are submitted in a second, less than
// the planner lets wait for an append.
const submitsPerSecond = 5000

// Prepare starts the background tasks and returns the simulation.
func (c Scale) Prepare(seed uint64) *Sim {
	const perTask = 500 // thousandths of a processor
	members := make([]sched.Member, c.Workers)
	for i := range members {
		members[i] = sched.Member{
			ID: sched.InstanceID(fmt.Sprintf("worker-%04d", i)), Role: sched.RoleWorker, State: sched.StateLive,
			Rack:     fmt.Sprintf("rack-%d", i/11),
			Capacity: sched.Resources{Processors: workerCapacity, Memory: 60 << 30},
		}
	}
	s := New(Config{
		Seed: seed, Planners: 1, Workers: members,
		Settings: &sched.Settings{Limits: sched.LimitSettings{
			LeaseDuration: 20 * time.Second, ClockBound: 500 * time.Millisecond,
			IsolationLimit: time.Minute, ListLag: 10 * time.Second, DedupWindow: 2 * time.Hour,
		}},
		TaskBehavior: func(_ sched.TaskID, kind string, _ sched.InstanceID) TaskBehavior {
			if kind == "urgent" {
				return TaskBehavior{RunTime: 10 * time.Second}
			}
			return TaskBehavior{RunTime: 10 * time.Hour}
		},
	})
	s.Run(2 * time.Second)
	for i := range c.Running {
		if i%submitsPerSecond == 0 {
			s.Run(time.Second)
		}
		s.Submit(0, sched.Task{
			ID: sched.TaskID(fmt.Sprintf("task-%06d", i)), Kind: "sweep", Partner: "kooperatiba",
			Team: fmt.Sprintf("team-%d", i%170), Urgency: sched.UrgencyBackground, RunTime: time.Hour,
			Needs: sched.Resources{Processors: perTask, Memory: 1 << 30},
		})
	}
	for s.Observer.Starts < c.Running && s.queue.Now.Sub(start) < 10*time.Minute {
		s.Run(time.Second)
	}
	s.Run(10 * time.Second)
	return s
}

// Measure submits the urgent tasks to a prepared simulation.
func (c Scale) Measure(s *Sim, seed uint64) ScaleResult {
	r := rand.New(rand.NewPCG(seed, 5))
	submitted := map[sched.TaskID]time.Time{}
	round := s.queue.Added() // tells the tasks of repeated measurements apart
	before, calls, steps, from := s.AppendBytes, s.Calls, s.StepTime, s.queue.Now
	total := c.StartsPerSecond * int(c.Duration/time.Second)
	for n := range total {
		t := sched.Task{
			ID: sched.TaskID(fmt.Sprintf("urgent-%d-%06d", round, n)), Kind: "urgent", Partner: "kooperatiba",
			Team: fmt.Sprintf("team-%d", n%170), Urgency: sched.UrgencyUrgent, RunTime: 10 * time.Second,
			Needs: sched.Resources{Processors: 500 + 100*r.Int64N(15), Memory: 1 << 30},
		}
		s.After(time.Duration(r.Int64N(int64(c.Duration))), func() {
			submitted[t.ID] = s.queue.Now
			s.Submit(0, t)
		})
	}
	s.Run(c.Duration + 5*time.Second)
	var waits []time.Duration
	for id, at := range submitted {
		if first, ok := s.Observer.FirstStart[id]; ok {
			waits = append(waits, first.Sub(at))
		}
	}
	return ScaleResult{
		Median: percentile(waits, 0.5), P99: percentile(waits, 0.99), Tick: s.config.Tick,
		Started: len(waits), RecordBytes: float64(s.AppendBytes-before) / float64(total),
		CallsPerSecond: float64(s.Calls-calls) / s.queue.Now.Sub(from).Seconds(),
		CoreShare:      float64(s.StepTime-steps) / float64(s.queue.Now.Sub(from)),
		Evictions:      s.Observer.Evictions, Violations: s.Observer.Violations,
	}
}
