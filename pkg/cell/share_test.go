package cell_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/order"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/share"
)

func servingStep() sched.Step {
	s := step()
	s.Lasting, s.TailGoal, s.Image = true, 25*time.Millisecond, "serving"
	return s
}

func fillerStep() sched.Step {
	s := step()
	s.Filler, s.Image, s.Needs.Processors = true, "filler", 8000
	return s
}

// begin confirms the start of every placed run and returns the start orders by
// job.
func (r *rig) begin() map[sched.JobID]cell.StartCall {
	r.commit()
	out := map[sched.JobID]cell.StartCall{}
	for _, s := range r.starts() {
		out[s.Order.Task.Job] = s
		r.start(s, nil)
	}
	r.commit()
	return out
}

// Guards against a filler that stays paused after the serving task which it
// disturbed has ended: paces must be set again although no tail is reported.
func TestAFillerWorksOnOnceNoTaskServesBesideIt(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	r.submit(job("s", servingStep()))
	r.submit(job("f", fillerStep()))
	runs := r.begin()
	i.Equal(len(runs), 2)
	tail := func(ms int64) []sched.RunningRun {
		s, f := running(runs["s"], 100), running(runs["f"], 10)
		s.Measurement, f.Measurement = ms, 8000
		return []sched.RunningRun{s, f}
	}
	for _, ms := range []int64{5, 6, 400, 400, 400, 400, 400} {
		r.pass(500 * time.Millisecond)
		r.exchange("w1", sched.LeaseAnswer{Running: tail(ms)}, nil)
	}
	i.True(len(r.effects.Paces) > 0)
	i.Equal(r.effects.Paces[len(r.effects.Paces)-1].Order.Percent, 0)
	r.ticket++
	r.planner.Cancel(r.now, r.ticket, "s")
	r.commit()
	r.pass(time.Second)
	r.exchange("w1", sched.LeaseAnswer{
		Running: tail(0)[1:], Ended: []sched.EndedRun{ended(runs["s"], sched.EndStopped)},
	}, nil)
	i.Equal(r.effects.Paces[len(r.effects.Paces)-1].Order.Percent, 100)
}

// heavyFillers are estimates by which fillers of the image add the given factor to the
// serving tasks of servingStep, whose tail is 5 ms without any load.
func heavyFillers(factor float64) []byte {
	m := share.NewModel()
	m.SetMinTail("serving", 5*time.Millisecond)
	m.SetFactor(share.Factor{Serving: "serving", Filler: "filler", Value: factor, Variance: 0.004})
	return codec.EncodeLearned(m, order.NewRunTimes())
}

// serveEverywhere lists n workers and starts a serving task on each. It returns the
// starts of the tasks by worker.
func (r *rig) serveEverywhere(n int) map[sched.InstanceID]cell.StartCall {
	r.t.Helper()
	var all []sched.Worker
	for k := range n {
		all = append(all, worker(k+1))
	}
	r.list(all...)
	s := servingStep()
	s.Tasks, s.PerWorker = n, 1
	r.submit(job("s", s))
	r.commit()
	out := map[sched.InstanceID]cell.StartCall{}
	for _, x := range r.starts() {
		out[x.Worker.ID] = x
		r.start(x, nil)
	}
	r.commit()
	return out
}

// report answers the pending exchange with each worker that has one: its serving task
// has the given tail, its fillers have worked at full pace.
func (r *rig) report(serving map[sched.InstanceID]cell.StartCall, fillers []cell.StartCall, tail time.Duration) {
	for _, l := range slices.Clone(r.effects.Leases) {
		s := running(serving[l.Worker.ID], 100)
		s.Measurement = tail.Milliseconds()
		a := sched.LeaseAnswer{Running: []sched.RunningRun{s}}
		for _, f := range fillers {
			if f.Worker.ID == l.Worker.ID {
				x := running(f, 10)
				x.Measurement = 8000
				a.Running = append(a.Running, x)
			}
		}
		r.exchange(l.Worker.ID, a, nil)
	}
	r.commit()
}

// Guards against tasks that are held up and show neither in the log nor in the
// metrics, with the reason.
func TestATaskThatIsHeldUpIsCountedAndLogged(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	o := options(1)
	z, lines := observer.New(zap.InfoLevel)
	o.Log = zap.New(z)
	r.planner = cell.New(epoch, nil, o)
	i.NoErr(r.planner.Learn(heavyFillers(4)))
	serving := r.serveEverywhere(2)
	busy := step()
	busy.Tasks, busy.PerWorker, busy.Needs.Processors = 2, 1, 12000
	r.submit(job("busy", busy)) // on a busy service, fillers wait until the serving tasks can bear them
	for k := range 3 {
		r.submit(job(fmt.Sprint("f", k), fillerStep()))
	}
	var fillers []cell.StartCall
	for range 20 {
		r.pass(250 * time.Millisecond)
		for _, s := range r.starts() {
			fillers = append(fillers, s)
			r.start(s, nil)
		}
		r.report(serving, fillers, 9*time.Millisecond)
	}
	i.True(r.planner.Stats().HeldUp > 0)
	last := lines.FilterMessage("stepWaiting").FilterField(zap.Int("disturbed", 2)).All()
	i.True(len(last) > 0)
	i.True(last[len(last)-1].ContextMap()["waited"].(time.Duration) >= 3*time.Second)
}

// Guards against a filler that waits for ever since every serving task is disturbed too
// much by it at full pace, and against one that then works at full pace until the next
// report.
func TestAFillerThatEveryServingTaskMindsStartsThrottled(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	i.NoErr(r.planner.Learn(heavyFillers(1.5)))
	serving := r.serveEverywhere(3)
	for range 20 {
		r.pass(250 * time.Millisecond)
		r.report(serving, nil, 9*time.Millisecond) // a load of 0.44, far below the bound
	}
	f := fillerStep()
	f.Tasks = 4
	r.submit(job("f", f))
	var started []cell.StartCall
	for range 12 { // 3 s
		r.commit()
		for _, s := range r.starts() {
			r.effects.Paces = nil
			started = append(started, s)
			r.start(s, nil)
			i.Equal(len(r.effects.Paces), 1)
			i.Equal(r.effects.Paces[0].Order.Percent, 40)
		}
		r.pass(250 * time.Millisecond)
		r.report(serving, started, 9*time.Millisecond)
	}
	i.Equal(len(started), 1) // the others wait until it has ended, or for room
}

// Guards against a filler that waits for the end of throttled ones of other jobs.
func TestAFillerStartsThrottledBesideOthersThatAre(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	i.NoErr(r.planner.Learn(heavyFillers(1.5)))
	serving := r.serveEverywhere(2)
	for range 20 {
		r.pass(250 * time.Millisecond)
		r.report(serving, nil, 9*time.Millisecond) // a load of 0.44, far below the bound
	}
	const jobs = 5
	for k := range jobs {
		r.submit(job(fmt.Sprint("f", k), fillerStep()))
	}
	var started []cell.StartCall
	perWorker := map[sched.InstanceID]int{}
	for range 12 { // 3 s
		r.commit()
		for _, s := range r.starts() {
			started = append(started, s)
			perWorker[s.Worker.ID]++
			r.start(s, nil)
		}
		r.pass(250 * time.Millisecond)
		r.report(serving, started, 9*time.Millisecond)
	}
	i.Equal(len(started), jobs)
	for _, n := range perWorker {
		i.True(n <= 3) // spread over the workers
	}
}

// Guards against throttled fillers that take the memory which other tasks will need.
func TestThrottledFillersLeaveMemoryToOthers(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	o := options(1)
	z, lines := observer.New(zap.InfoLevel)
	o.Log = zap.New(z)
	r.planner = cell.New(epoch, nil, o)
	i.NoErr(r.planner.Learn(heavyFillers(1.5)))
	serving := r.serveEverywhere(2)
	for range 20 {
		r.pass(250 * time.Millisecond)
		r.report(serving, nil, 8*time.Millisecond)
	}
	f := fillerStep()
	f.Needs.Memory = 4 << 30 // of 64 GiB on each worker
	for k := range 40 {
		r.submit(job(fmt.Sprint("f", k), f))
	}
	var started []cell.StartCall
	for range 40 { // 10 s
		r.commit()
		for _, s := range r.starts() {
			started = append(started, s)
			r.start(s, nil)
		}
		r.pass(250 * time.Millisecond)
		r.report(serving, started, 8*time.Millisecond)
	}
	const maxThrottled = 20 // take 60% of the memory, and one more
	throttled := lines.FilterMessage("lastResort").Len()
	i.True(throttled >= maxThrottled/2)
	i.True(throttled <= maxThrottled)
}

// sharedWorkers simulates workers with a serving task each, whose load goes up and down,
// and with fillers of which each takes 4 s at full pace.
type sharedWorkers struct {
	serving map[sched.InstanceID]cell.StartCall
	runs    map[hosts.Key]*fillerRun
	ends    map[sched.InstanceID][]sched.EndedRun
	// factor is what a filler that uses all processors adds to the utilization.
	factor float64
	// over is how long each serving task has been over its goal, and longest the longest
	// such time.
	over    map[sched.InstanceID]time.Duration
	longest time.Duration
	done    int
}

// fillerRun is the run of a filler with its pace and its progress in percent.
type fillerRun struct {
	cell.StartCall
	pace, percent float64
}

const fillerPart = 3500.0 / 16000

// end lists the end of a run.
func (w *sharedWorkers) end(k hosts.Key, e sched.RunEnd) {
	if f := w.runs[k]; f != nil {
		id := f.Worker.ID
		w.ends[id] = append(w.ends[id], sched.EndedRun{
			Number: int64(len(w.ends[id]) + 1), Task: k.Task, Run: k.Run, End: e,
		})
		delete(w.runs, k)
	}
}

// step carries out the pending orders, lets the fillers work for the given time beside
// the load, and answers the exchanges.
func (w *sharedWorkers) step(r *rig, d time.Duration, load float64) {
	r.pass(d)
	for _, s := range r.starts() {
		w.runs[keyOf(s)] = &fillerRun{s, 100, 0}
		r.start(s, nil)
	}
	for _, x := range r.effects.Paces {
		if f := w.runs[hosts.Key{Task: x.Order.Task, Run: x.Order.Run}]; f != nil {
			f.pace = float64(x.Order.Percent)
		}
	}
	for _, x := range r.effects.Stops {
		w.end(hosts.Key{Task: x.Order.Task, Run: x.Order.Run}, sched.EndStopped)
	}
	r.effects.Paces, r.effects.Stops = nil, nil
	used := map[sched.InstanceID]float64{}
	for k, f := range w.runs {
		used[f.Worker.ID] += w.factor * fillerPart * f.pace / 100
		if f.percent += f.pace * d.Seconds() / 4; f.percent >= 100 {
			w.done++
			w.end(k, sched.EndDone)
		}
	}
	for id := range w.serving {
		if w.over[id] += d; load+used[id] <= 0.8 {
			w.over[id] = 0
		}
		w.longest = max(w.longest, w.over[id])
	}
	for _, l := range slices.Clone(r.effects.Leases) {
		id := l.Worker.ID
		s := running(w.serving[id], 100)
		s.Measurement = int64(math.Ceil(5 / (1 - min(load+used[id], 0.99))))
		a := sched.LeaseAnswer{Running: []sched.RunningRun{s}, Ended: w.ends[id]}
		for _, f := range w.runs {
			if f.Worker.ID == id {
				x := running(f.StartCall, int(f.percent))
				x.Measurement = int64(3500 * f.pace / 100)
				a.Running = append(a.Running, x)
			}
		}
		r.exchange(id, a, nil)
	}
	r.commit()
}

// Guards against fillers that don't work even while the load of the serving tasks that
// they disturb is low, and against some that keep a serving task over its goal.
func TestThrottledFillersWorkWhileTheServingLoadIsLow(t *testing.T) {
	for _, factor := range []float64{1.5, 3, 5} {
		i := is.New(t)
		r := newRig(t)
		i.NoErr(r.planner.Learn(heavyFillers(factor)))
		w := &sharedWorkers{
			serving: r.serveEverywhere(3), runs: map[hosts.Key]*fillerRun{}, ends: map[sched.InstanceID][]sched.EndedRun{},
			factor: factor, over: map[sched.InstanceID]time.Duration{},
		}
		for k := range 6 {
			f := fillerStep()
			f.Tasks, f.Needs.Processors, f.Estimate = 2, 3500, 4*time.Second
			r.submit(job(fmt.Sprint("f", k), f))
		}
		for n := range 160 {
			const d = 250 * time.Millisecond
			w.step(r, d, 0.45*(1+0.5*math.Sin(2*math.Pi*float64(n)*d.Seconds()/20)))
		}
		t.Logf("factor %v: %d fillers done in 40 s, over the goal for %v at most", factor, w.done, w.longest)
		i.True(w.done > 0)
		i.True(w.longest < 4*time.Second)
	}
}

// Guards against a filler that waits though the serving tasks can bear it, since a
// throttled one beside them counts as if it worked at full pace.
func TestAThrottledFillerLeavesItsRoomToOthers(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	i.NoErr(r.planner.Learn(heavyFillers(1.5)))
	serving := r.serveEverywhere(1)
	var started []cell.StartCall
	run := func(passes int) []cell.StartCall {
		n := len(started)
		for range passes {
			r.pass(250 * time.Millisecond)
			a := sched.LeaseAnswer{Running: []sched.RunningRun{running(serving["w1"], 100)}}
			a.Running[0].Measurement = 9 // a load of 0.44
			for _, f := range started {
				a.Running = append(a.Running, running(f, 10)) // has used no processors yet
			}
			r.exchange("w1", a, nil)
			r.commit()
			for _, s := range r.starts() {
				started = append(started, s)
				r.start(s, nil)
			}
		}
		return started[n:]
	}
	run(20)
	r.submit(job("large", fillerStep()))
	i.Equal(len(run(12)), 1) // adds 0.75 at full pace
	small := fillerStep()
	small.Needs.Processors = 2000 // adds 0.19
	r.submit(job("small", small))
	i.Equal(len(run(2)), 1)
}
