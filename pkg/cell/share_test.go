package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
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
	for k := range 3 { // at most two of them can be placed
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
