package plan_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/internal/bench/batch"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/suspct"
)

const (
	testPlanners = 3
	testWorkers  = 5
)

// scenario draws the actions of one test case. It draws uniformly from its own
// generator, since the small values that rapid prefers make faults too short to
// have an effect. rapid varies only the seed and the number of steps.
type scenario struct {
	*rand.Rand
	sim     *batch.Sim
	step    int
	taskIDs []sched.TaskID
}

func (c *scenario) host() int   { return c.IntN(testPlanners) }
func (c *scenario) worker() int { return c.IntN(testWorkers) }
func (c *scenario) coin() bool  { return c.IntN(2) == 0 }

func (c *scenario) upTo(d time.Duration) time.Duration {
	return time.Duration(c.Int64N(int64(d) + 1))
}

func (c *scenario) anyTaskID() sched.TaskID {
	if len(c.taskIDs) == 0 {
		return "none"
	}
	return c.taskIDs[c.IntN(len(c.taskIDs))]
}

// faults lists the actions besides submissions. Each test case uses a subset of
// them, so that rare combinations come up often.
var faults = []struct {
	name string
	do   func(c *scenario)
}{
	{"submitUrgent", func(c *scenario) {
		k := task(fmt.Sprintf("urgent-%d", c.step), c.Int64N(8)*1000+1000)
		k.Urgency = sched.UrgencyUrgent
		c.sim.Submit(c.step, k)
	}},
	{"submitAgain", func(c *scenario) { c.sim.Submit(c.step, task(string(c.anyTaskID()), 3000)) }},
	{"cancel", func(c *scenario) { c.sim.Cancel(c.step, c.anyTaskID()) }},
	{"crashHost", func(c *scenario) { c.sim.CrashHost(c.host()) }},
	{"restartHost", func(c *scenario) { c.sim.RestartHost(c.host()) }},
	{"pauseHost", func(c *scenario) { c.sim.PauseHost(c.host(), c.upTo(time.Minute)) }},
	{"cutHost", func(c *scenario) { c.sim.CutHost(c.host(), true) }},
	{"joinHost", func(c *scenario) { c.sim.CutHost(c.host(), false) }},
	{"misleadHost", func(c *scenario) {
		v := c.coin()
		c.sim.OverrideRole(c.host(), &v)
	}},
	{"guideHost", func(c *scenario) { c.sim.OverrideRole(c.host(), nil) }},
	{"failWorker", func(c *scenario) { c.sim.FailWorker(c.worker(), c.coin()) }},
	{"crashWorker", func(c *scenario) { c.sim.CrashWorker(c.worker()) }},
	{"bounceWorker", func(c *scenario) {
		w := c.worker()
		c.sim.CrashWorker(w)
		c.sim.After(c.upTo(3*time.Second), func() { c.sim.RestartWorker(w) })
	}},
	{"restartWorker", func(c *scenario) { c.sim.RestartWorker(c.worker()) }},
	{"partitionWorker", func(c *scenario) { c.sim.PartitionWorker(c.worker(), c.host(), true) }},
	{"isolateWorker", func(c *scenario) {
		w := c.worker()
		for h := range testPlanners {
			c.sim.PartitionWorker(w, h, true)
		}
		c.sim.After(c.upTo(time.Minute), func() {
			for h := range testPlanners {
				c.sim.PartitionWorker(w, h, false)
			}
		})
	}},
	{"logDown", func(c *scenario) {
		c.sim.LogDown = true
		c.sim.After(c.upTo(time.Minute), func() { c.sim.LogDown = false })
	}},
	{"logSlow", func(c *scenario) { c.sim.LogDelay = c.upTo(7 * time.Second) }},
	{"logFast", func(c *scenario) { c.sim.LogDelay = 0 }},
	{"network", func(c *scenario) {
		c.sim.Faults = batch.Faults{
			LoseCall: c.Float64() / 3, LoseAnswer: c.Float64() / 3, DuplicateCall: c.Float64() / 3,
			DelayCall: c.Float64() / 3, MaxDelay: c.upTo(20 * time.Second),
			LoseAck: c.Float64() / 3, LateAppend: c.Float64() / 3,
		}
	}},
	{"networkHealed", func(c *scenario) { c.sim.Faults = batch.Faults{} }},
}

func (c *scenario) submit() {
	for i := range 1 + c.IntN(8) {
		k := task(fmt.Sprintf("task-%d-%d", c.step, i), c.Int64N(12)*1000+1000)
		k.Needs.Memory = (1 + c.Int64N(30)) * gibibyte
		if c.IntN(6) == 0 {
			k.Needs.Accelerators = 1
		}
		k.Urgency = sched.Urgency(1 + c.IntN(2))
		k.Kind = []string{"sweep", "sweep", "sweep", "broken"}[c.IntN(4)]
		k.Team = []string{"rooms", "rooms", "small"}[c.IntN(3)]
		if k.Team == "small" {
			k.Needs.Processors = min(k.Needs.Processors, 8000)
		}
		c.taskIDs = append(c.taskIDs, k.ID)
		c.sim.Submit(c.step, k)
	}
}

// variedWork gives tasks run times between one second and two minutes.
func variedWork(id sched.TaskID, kind string, _ sched.InstanceID) batch.TaskBehavior {
	return batch.TaskBehavior{
		RunTime: time.Duration(1+xxhash.Sum64String(string(id))%120) * time.Second,
		Fails:   kind == "broken",
	}
}

func imageBytes(tb rapid.TB, l *ledger.Ledger) []byte {
	b, err := codec.EncodeTaskRecord(sched.TaskRecord{
		Entries: []sched.TaskEntry{{Kind: sched.EntrySnapshot, Snapshot: l.Image()}},
	})
	if err != nil {
		tb.Fatalf("encode: %v", err)
	}
	return b
}

// checkInvariants checks what must hold at any time: no violation was observed,
// and replicas that have applied the same records are equal.
func checkInvariants(t rapid.TB, s *batch.Sim, step string) {
	if len(s.Observer.Violations) > 0 {
		t.Fatalf("after %s: %v", step, s.Observer.Violations)
	}
	images := map[sched.Offset][]byte{}
	for _, p := range append(s.Planners(), (*plan.Planner)(nil)) {
		l := s.Ledger()
		if p != nil {
			l = p.Ledger()
		}
		if !l.Ready() {
			continue
		}
		b := imageBytes(t, l)
		if other, ok := images[l.Applied()]; ok && !bytes.Equal(b, other) {
			t.Fatalf("after %s: two replicas differ at record %d", step, l.Applied())
		}
		images[l.Applied()] = b
	}
}

// checkFinalState checks what must hold once the backlog after the last fault is
// done: no task is open or lost, a failed task has a reason, a done task was
// finished by a worker, and the usage counts each done task once.
func checkFinalState(t rapid.TB, s *batch.Sim) {
	l := s.Ledger()
	l.EachOpenTask(func(k *sched.TaskStatus) {
		t.Errorf("task %s is still open: %+v", k.Task.ID, *k)
	})
	done := int64(0)
	for id := range s.Accepted {
		k, known := l.Task(id)
		switch {
		case !known:
			t.Errorf("accepted task %s is lost", id)
		case k.State == sched.TaskFailed && k.Reason == "":
			t.Errorf("task %s failed without a reason", id)
		case k.State == sched.TaskDone && s.Observer.Finishes[id] == 0:
			t.Errorf("task %s is recorded as done but never finished", id)
		}
	}
	for id := range s.Observer.FirstStart {
		if k, known := l.Task(id); known && k.State == sched.TaskDone {
			done++
		}
	}
	if runs := l.Usage("kooperatiba", s.Now()).Runs; runs != done {
		t.Errorf("%d runs are recorded, %d tasks are done", runs, done)
	}
}

// healTime is long enough for a backlog that a team's quota makes nearly serial.
const healTime = 3 * time.Hour

// runFaults runs one test case of the given number of steps.
func runFaults(t rapid.TB, seed uint64, steps int) {
	c := &scenario{Rand: rand.New(rand.NewPCG(seed, 2))}
	cfg := config(seed, testPlanners, testWorkers)
	cfg.TaskBehavior = variedWork
	cfg.CheckTokens = c.coin()
	if c.coin() {
		// The clocks differ by more than the time it takes to place a task again.
		cfg.MaxClockOffset = 2 * time.Second
		cfg.Settings.Limits.ClockBound = 2 * cfg.MaxClockOffset
	}
	if c.coin() {
		// Tasks are short, so that ends, delayed calls and restarts coincide.
		cfg.TaskBehavior = fixedWork(3 * time.Second)
	}
	suspects := c.coin()
	if c.coin() {
		cfg.Retain = 200
	}
	cfg.Options = func(o *plan.Options) {
		if cfg.Retain > 0 {
			o.SnapshotEvery = 100
		}
		if suspects {
			o.FailureClassifier = suspct.New()
		}
	}
	c.sim = batch.New(cfg)
	c.sim.Run(2 * time.Second)
	used := c.Perm(len(faults))[:3+c.IntN(len(faults)-3)]
	pace := c.upTo(20 * time.Second)
	for c.step = range steps {
		name := "submit"
		if c.IntN(4) == 0 {
			c.submit()
		} else {
			f := faults[used[c.IntN(len(used))]]
			name = f.name
			f.do(c)
		}
		c.sim.Run(c.upTo(pace))
		checkInvariants(t, c.sim, name)
	}
	c.sim.Heal()
	for left := healTime; left > 0 && (left == healTime || c.sim.Ledger().OpenTasks() > 0); left -= 5 * time.Minute {
		c.sim.Run(5 * time.Minute)
	}
	checkInvariants(t, c.sim, "the end")
	checkFinalState(t, c.sim)
}

// Guards against tasks that run twice, are lost, or are counted twice when
// planners, workers, the network and the log fail in any order, and against
// replicas that disagree.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		runFaults(r, seed, rapid.IntRange(1, 120).Draw(r, "steps"))
	})
}

// Guards against an attempt that starts a second time while the next attempt runs
// elsewhere: the network repeats the start command after the worker has ended the
// attempt and lost its memory in a restart.
func TestRepeatedStartsAfterRestart(t *testing.T) {
	for seed := range uint64(40) {
		c := config(seed, 1, testWorkers)
		c.TaskBehavior = func(sched.TaskID, string, sched.InstanceID) batch.TaskBehavior {
			return batch.TaskBehavior{RunTime: 3 * time.Second}
		}
		s := batch.New(c)
		s.Run(2 * time.Second)
		s.Faults = batch.Faults{DuplicateCall: 1, MaxDelay: 12 * time.Second}
		for n := range 40 {
			k := task(fmt.Sprintf("task-%d", n), 12_000)
			k.Urgency = sched.UrgencyBackground
			s.Submit(0, k)
			u := task(fmt.Sprintf("urgent-%d", n), 12_000)
			u.Urgency = sched.UrgencyUrgent
			s.Submit(0, u)
			s.Run(time.Second)
			w := n % testWorkers
			s.CrashWorker(w)
			s.RestartWorker(w)
			checkInvariants(t, s, fmt.Sprintf("restart %d with seed %d", n, seed))
		}
	}
}
