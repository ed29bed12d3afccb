package coloc

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

var start = time.Unix(1_800_000_000, 0)

// rig simulates one worker with one service whose measurements are delayed by
// lag reports.
type rig struct {
	now    time.Time
	model  *Model
	random *rand.Rand
	noise  float64
	load   float64
	// tasks maps each running task to its share. The first letter of a task's
	// name is its kind. rises holds the true rise per kind.
	tasks         map[sched.TaskID]float64
	rises         map[byte]float64
	trueLatencies []float64 // one per second, relative to aloneTime
}

const (
	lag       = 10
	worker    = sched.InstanceID("w")
	aloneTime = 20 * time.Millisecond
)

func newRig(seed uint64, rises map[byte]float64) *rig {
	return &rig{
		now: start, model: New(Options{}), random: rand.New(rand.NewPCG(seed, 1)), load: 0.8,
		tasks: map[sched.TaskID]float64{}, rises: rises,
	}
}

// latency returns the true latency relative to aloneTime.
func (r *rig) latency() float64 {
	y := 1.0
	for t, share := range r.tasks {
		y += r.rises[t[0]] * share * r.load
	}
	return y
}

// step advances the time by one second, sends a report to the model, applies
// the model's actions and returns them.
func (r *rig) step() []plan.Action {
	r.now = r.now.Add(time.Second)
	r.trueLatencies = append(r.trueLatencies, r.latency())
	report := &sched.WorkerReport{Worker: worker}
	for t := range r.tasks {
		report.Attempts = append(report.Attempts, sched.AttemptReport{
			Task: t, Attempt: 1, State: sched.AttemptRunning, TaskKind: string(t[0]),
		})
	}
	if at := len(r.trueLatencies) - 1 - lag; at >= 0 {
		report.MeasuredAt = r.now.Add(-lag * time.Second)
		y := r.trueLatencies[at] * math.Exp(r.noise*r.random.NormFloat64())
		report.Services = []sched.ServiceReport{{
			Service: "s", Load: r.load, P99: time.Duration(y * float64(aloneTime)),
		}}
	}
	r.model.Observe(r.now, report)
	actions := r.model.Actions(r.now)
	for _, a := range actions {
		if a.Evict {
			delete(r.tasks, a.Task)
		} else {
			r.tasks[a.Task] = a.Share
		}
	}
	return actions
}

// Guards against a control loop that oscillates because of the delay of the
// measurements, that evicts before it throttles, or that leaves the service
// above its goal.
func TestOneDisturbingTaskIsThrottledWithoutOscillation(t *testing.T) {
	i := is.New(t)
	for seed := range uint64(20) {
		r := newRig(seed, map[byte]float64{'n': 0.5, 'q': 0.01})
		r.noise = 0.05
		for range 60 {
			i.Equal(len(r.step()), 0) // no tasks, so nothing to change
		}
		r.tasks["q1"], r.tasks["q2"], r.tasks["n1"] = 1, 1, 1
		var changes []plan.Action
		last := start
		for range 600 {
			for _, a := range r.step() {
				i.True(!a.Evict)
				i.True(r.now.Sub(last) > lag*time.Second) // one change per lag
				last = r.now
				changes = append(changes, a)
			}
		}
		i.True(len(changes) >= 1 && len(changes) <= 12) // the 600 s are 60 lags
		i.True(r.latency() <= 1.2*1.05)
		i.True(r.tasks["n1"] >= 0.25 && r.tasks["n1"] < 1)
	}
}

// Guards against a service that stays above its goal because throttling alone
// is not enough to reach it.
func TestTaskIsEvictedWhenThrottlingIsNotEnough(t *testing.T) {
	i := is.New(t)
	r := newRig(1, map[byte]float64{'n': 2, 'q': 0.01})
	for range 60 {
		r.step()
	}
	r.tasks["q1"], r.tasks["n1"] = 1, 1
	var first []plan.Action
	for range 300 {
		first = append(first, r.step()...)
	}
	i.True(len(first) >= 2)
	i.True(!first[0].Evict)
	i.Equal(first[0].Task, sched.TaskID("n1"))
	_, there := r.tasks["n1"]
	i.True(!there)
	_, there = r.tasks["q1"]
	i.True(there) // q adds next to nothing to the latency
}

// Guards against a throttle that stays in force after the load of the service
// has fallen.
func TestThrottleIsLoosenedWhenTheLoadFalls(t *testing.T) {
	i := is.New(t)
	r := newRig(1, map[byte]float64{'n': 0.5})
	for range 60 {
		r.step()
	}
	r.tasks["n1"] = 1
	for range 200 {
		r.step()
	}
	i.True(r.tasks["n1"] < 0.8)
	r.load = 0.1
	for range 200 {
		r.step()
	}
	i.Equal(r.tasks["n1"], 1.0)
}

// Guards against a model that doesn't converge on the true rises, and against a
// single outlier that changes a learned rise much.
func TestRisesAreLearnedAndOneOutlierMovesLittle(t *testing.T) {
	i := is.New(t)
	r := newRig(3, map[byte]float64{'a': 0.08, 'b': 0.02})
	r.noise = 0.1
	for n := range 3000 {
		if n%60 == 0 {
			r.tasks = map[sched.TaskID]float64{}
			for k := range n / 60 % 3 {
				r.tasks[sched.TaskID(fmt.Sprintf("a%d", k))] = 1
			}
			if n%120 == 0 {
				r.tasks["b1"] = 1
			}
		}
		r.step()
	}
	a, sdA := r.model.LatencyRise("s", "a")
	b, sdB := r.model.LatencyRise("s", "b")
	i.True(math.Abs(a-0.08) < 4*sdA && math.Abs(b-0.02) < 4*sdB)
	i.True(sdA < 0.05)
	i.True(r.model.Score(worker, "a") > r.model.Score(worker, "b"))
	r.trueLatencies[len(r.trueLatencies)-lag] = 50 // the next measurement
	r.step()
	after, _ := r.model.LatencyRise("s", "a")
	i.True(math.Abs(after-a) < 0.01)
}

// Guards against several placements at the same time that use the same
// headroom, and against a kind that is avoided on every worker and so never
// starts.
func TestScoreCountsPlacementsAndLetsEveryKindStart(t *testing.T) {
	i := is.New(t)
	r := newRig(1, map[byte]float64{'n': 0.12, 'x': 3})
	for range 60 {
		r.step()
	}
	for n := range 600 { // learn both kinds
		r.tasks = map[sched.TaskID]float64{}
		if kind := []sched.TaskID{"", "n1", "x1"}[n/50%3]; kind != "" {
			r.tasks[kind] = 1
		}
		r.step()
	}
	r.tasks = map[sched.TaskID]float64{}
	for range 2 * lag {
		r.step()
	}
	i.True(r.model.Score(worker, "n") < 1)
	i.True(r.model.Score(worker, "x") > r.model.Score(worker, "n"))
	r.model.Placed(r.now, worker, "n2", 1, "n")
	r.model.Placed(r.now, worker, "n3", 1, "n")
	i.True(r.model.Score(worker, "n") > 1)
	i.Equal(r.model.Score("unknown", "n"), 0.0)
	never := New(Options{})
	never.filters["s"] = newFilter(1, start)
	never.host(worker).services["s"] = &serviceState{load: 0.5}
	f := never.filters["s"]
	f.mean[f.index("x")], f.cov[f.index("x")][f.index("x")] = 0.5, 0.0001
	i.True(never.Score(worker, "x") <= 1) // at a share of minShare the kind fits
}

// Guards against a goal below the latency without tasks, which would evict
// every task without reaching the goal, and against a configured goal that is
// ignored.
func TestGoalIsTheConfiguredOneUnlessItCannotBeMet(t *testing.T) {
	i := is.New(t)
	for _, tt := range []struct {
		goal      time.Duration
		throttled bool
	}{
		{aloneTime / 2, true}, {aloneTime * 2, false},
	} {
		r := newRig(1, map[byte]float64{'n': 0.5})
		r.model = New(Options{LatencyGoal: func(string) time.Duration { return tt.goal }})
		for range 60 {
			r.step()
		}
		r.tasks["n1"] = 1
		for range 300 {
			r.step()
		}
		i.True(r.tasks["n1"] > 0.25) // not evicted, and no lower than the goal needs
		i.Equal(r.tasks["n1"] < 1, tt.throttled)
	}
}

// Guards against memory that grows with the number of workers ever seen.
func TestWorkersThatAreGoneAreForgotten(t *testing.T) {
	i := is.New(t)
	m := New(Options{})
	now := start
	for n := range 1000 {
		now = now.Add(time.Minute)
		m.Observe(now, &sched.WorkerReport{
			Worker: sched.InstanceID(fmt.Sprintf("w%d", n)), MeasuredAt: now,
			Services: []sched.ServiceReport{{Service: "s", Load: 0.5, P99: aloneTime}},
		})
	}
	i.True(len(m.hosts) <= int((hostRetention+sweepEvery)/time.Minute)+1)
	m.Actions(now) // must not access a dropped worker
	i.Equal(len(m.newlyMeasured), 0)
}

// Guards against learned coefficients that are lost when another instance
// becomes planner.
func TestSavedScoresAreLoaded(t *testing.T) {
	i := is.New(t)
	r := newRig(1, map[byte]float64{'n': 0.2})
	for n := range 300 {
		r.tasks = map[sched.TaskID]float64{}
		if n/50%2 == 1 {
			r.tasks["n1"] = 1
		}
		r.step()
	}
	other := New(Options{})
	other.Load(r.model.Save())
	want, wantSD := r.model.LatencyRise("s", "n")
	got, gotSD := other.LatencyRise("s", "n")
	i.True(math.Abs(got-want) < 1e-6 && math.Abs(gotSD-wantSD) < 1e-6)
	other.Load([]byte{0xff})
	i.Equal(len(other.filters), 0)
}

// Guards against a panic on scores that another version or a faulty writer
// stored, and against decoded values that make coefficients NaN or infinite.
func FuzzLoad(f *testing.F) {
	m := New(Options{})
	m.filters["s"] = newFilter(0.02, start)
	m.filters["s"].index("k")
	f.Add(m.Save())
	f.Add([]byte{0x0a, 0x02, 0x0a, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New(Options{})
		m.Load(data)
		for name, f := range m.filters {
			f.update(start, 1.1, 0.5, map[string]float64{"k": 1})
			for n := range f.mean {
				if math.IsNaN(f.mean[n]) || math.IsInf(f.mean[n], 0) || math.IsNaN(f.cov[n][n]) {
					t.Fatalf("service %q: mean %v, variance %v", name, f.mean[n], f.cov[n][n])
				}
			}
		}
		m.Load(m.Save())
	})
}
