package cell

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/ahead"
	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Size is the kind of a task by the room that it takes.
type Size int

// Sizes. A large task takes a multiple of what most tasks take.
const (
	SizeSmall Size = iota
	SizeLarge
	SizeGang
	SizeLasting
	SizeCount
)

const (
	// endDelay is how long the report of an end takes to become durable.
	endDelay = 100 * time.Millisecond
	// measuredMargin applies to the time left by the measured rate of a run.
	measuredMargin = 1.25
	// unknownRunTime is the least time that a run without a declared time is expected to
	// take from now on.
	unknownRunTime = 2 * time.Second
	// longestFactor times its usual time, nearly all runs have ended.
	longestFactor = 7
	// lateStep is the shortest time of lateOf. The others are its multiples by powers of
	// two, so that few kinds of steps have to be told apart in a pass.
	lateStep = 250 * time.Millisecond
	// largeFactor times the mean needs of the runs, a task is large.
	largeFactor = 2
	// meanNeedInterval is the time between two computations of the mean needs.
	meanNeedInterval = time.Second
)

// forecast brings the forecast of a worker up to date. That of a worker with holds is made
// anew each time.
func (p *Planner) forecast(now time.Time, f *forecastHost) {
	h := f.host
	fresh := f.worker.Held() == sched.Resources{} && now.Sub(f.madeAt) < forecastAge || now.Equal(f.madeAt)
	if fresh && f.version == h.Version {
		return
	}
	f.ends = f.ends[:0]
	for _, s := range h.Slots {
		if late, ends := p.lateEnd(now, h, s); ends {
			f.ends = append(f.ends, ahead.End{Needs: s.Step.Counted(), Late: late + endDelay})
		}
	}
	f.worker.SetForecast(now, h.Free(), f.ends)
	f.version, f.madeAt = h.Version, now
}

// lateEnd returns the time by which a run has most likely ended, and false if it lasts. A
// run that takes longer than nearly all others is expected to go on for as long as it has
// run, up to longestFactor times its usual time.
func (p *Planner) lateEnd(now time.Time, h *hosts.Host, s *hosts.Slot) (time.Duration, bool) {
	j := p.jobs[s.Task.Job]
	switch {
	case s.Stopping || j == nil:
		return p.options.StopLimit, true
	case s.Step.Lasting:
		return 0, false
	case s.Phase == hosts.Unsure:
		return max(0, h.LeaseEnd().Sub(now)), true
	case s.Phase == hosts.Started && s.Pace > 0 && s.Rate() > 0:
		return time.Duration(measuredMargin * float64(p.remainingTime(now, j, s))), true
	}
	began := s.StartedAt
	if began.IsZero() {
		began = s.PlacedAt
	}
	age := now.Sub(began)
	if began.IsZero() {
		age = 0
	}
	usual := p.runTimes.Expect(j.Queue.Name, s.Step)
	if usual <= 0 || s.Pace <= 0 {
		return max(age, unknownRunTime), true
	}
	if left := p.runTimes.Late(j.Queue.Name, s.Step) - age; left > 0 {
		return left, true
	}
	return max(0, min(age, longestFactor*usual-age)), true
}

// lateOf returns the time within which most tasks of the step end, rounded up.
func (p *Planner) lateOf(w *waitingStep) time.Duration {
	step := &w.job.Steps[w.step]
	late := p.runTimes.Late(w.job.Queue.Name, step)
	if step.Lasting || late <= 0 {
		return unboundedTime
	}
	d := lateStep
	for d < late {
		d *= 2
	}
	return d
}

// sizeOf returns the size of a task of the step.
func (p *Planner) sizeOf(step *sched.Step) Size {
	n, m := step.Counted(), p.meanNeed
	switch {
	case step.Lasting:
		return SizeLasting
	case step.Gang:
		return SizeGang
	case m.Processors > 0 && n.Processors >= largeFactor*m.Processors || m.Memory > 0 && n.Memory >= largeFactor*m.Memory,
		n.Accelerators > 0:
		return SizeLarge
	}
	return SizeSmall
}

// updateMeanNeed computes the mean needs of the runs that end, now and then. Runs that
// don't need a resource don't count in its mean.
func (p *Planner) updateMeanNeed(now time.Time) {
	if now.Sub(p.meanNeedAt) < meanNeedInterval {
		return
	}
	p.meanNeedAt = now
	var sum sched.Resources
	var processors, memory int64
	for _, h := range p.workerList {
		for _, s := range h.Slots {
			if s.Step.Lasting {
				continue
			}
			n := s.Step.Counted()
			sum = sum.Plus(n)
			processors, memory = processors+min(1, n.Processors), memory+min(1, n.Memory)
		}
	}
	p.meanNeed = sched.Resources{Processors: sum.Processors / max(1, processors), Memory: sum.Memory / max(1, memory)}
}
