package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
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
