package work

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// timeStep is the longest step for which the rates of progress are constant.
const timeStep = 20 * time.Millisecond

// figureWindow is the time over which a worker smooths the reported use of
// processors, and after which the error of a reported tail latency changes.
const figureWindow = 500 * time.Millisecond

// Advance advances the worker to the given time, in steps of at most timeStep if
// it has runs. A run may crash the worker meanwhile.
func (w *Worker) Advance(to time.Time) {
	for !w.Down && w.now.Before(to) {
		d := min(timeStep, to.Sub(w.now))
		if len(w.runs) == 0 {
			d = to.Sub(w.now)
		}
		w.now = w.now.Add(d)
		w.advanceStep(d)
	}
	if w.Down {
		w.now = to
	}
}

// advanceStep ends all runs if the lease has expired, and advances the others by d.
func (w *Worker) advanceStep(d time.Duration) {
	if w.Clock(w.now) > w.leaseUntil && !w.lapsed {
		w.lapsed = true
		w.lapses++
		for _, k := range slices.Clone(w.runOrder) {
			w.finish(w.now, k, sched.EndLeaseExpired)
		}
	}
	if len(w.runs) == 0 {
		return
	}
	for _, k := range w.runOrder {
		if t := w.runs[k].crashAt; !t.IsZero() && !w.now.Before(t) {
			w.crash(w.now, k)
			return
		}
	}
	speed := w.fillerSpeed()
	for _, k := range slices.Clone(w.runOrder) {
		if r := w.runs[k]; r != nil {
			w.advanceRun(r, d, speed)
		}
	}
	w.updateTails()
}

// fillerSpeed returns the fraction of the processors wanted by fillers that the
// other tasks leave to them. It is 1 if fillers want none.
func (w *Worker) fillerSpeed() float64 {
	whole := float64(max(1, w.Capacity.Processors))
	spare, wanted := 1.0, 0.0
	for _, r := range w.runs {
		need := float64(r.step.Needs.Processors) / whole
		switch {
		case r.step.Filler:
			wanted += need * r.pace
		case r.step.TailGoal > 0:
			spare -= need * w.loadOf(r)
		default:
			spare -= need
		}
	}
	if wanted <= 0 {
		return 1
	}
	return min(1, max(0, spare)/wanted)
}

// loadOf returns the present load of a serving task, as a fraction of what it needs.
func (w *Worker) loadOf(r *run) float64 {
	s := w.Rules.Interference
	if s.Period <= 0 {
		return s.Load
	}
	turn := 2 * math.Pi * (float64(w.now.UnixNano()%int64(s.Period))/float64(s.Period) + r.truth.LoadPhase)
	return s.Load * (1 + s.Swing*math.Sin(turn))
}

// advanceRun ends a run if its end has come, or else advances it by d.
func (w *Worker) advanceRun(r *run, d time.Duration, speed float64) {
	how, over := w.endOf(r)
	if over {
		w.finish(w.now, r.key, how)
		return
	}
	r.working = w.now.After(r.worksFrom) && !w.Still && (!r.step.Gang || w.Gangs.together(r.key))
	rate := 0.0
	if r.working {
		rate = r.pace / max(1, w.Slow)
		if r.step.Filler {
			rate *= speed
		}
	}
	smooth := min(1, d.Seconds()/figureWindow.Seconds())
	r.milliProcessors += smooth * (rate*float64(r.step.Needs.Processors) - r.milliProcessors)
	r.workDone += time.Duration(rate * float64(d))
	if every := w.Rules.Checkpoint; r.step.Checkpoints && every > 0 {
		w.saveCheckpoint(r, r.workDone/every*every)
	}
}

// endOf reports whether a run ends now, and how.
func (w *Worker) endOf(r *run) (sched.RunEnd, bool) {
	part := float64(r.workDone) / float64(max(1, r.totalWork))
	switch {
	case !r.stopAt.IsZero() && !w.now.Before(r.stopAt):
		return sched.EndStopped, true
	case r.step.Gang && w.Gangs.broken(r.key):
		return sched.EndGangBroken, true
	case r.step.Gang && w.Gangs.finished(r.key):
		return sched.EndDone, true
	case r.step.Gang && !w.Gangs.together(r.key) && w.now.Sub(r.began) > w.Rules.GangLimit:
		return sched.EndGangIncomplete, true
	case part >= r.failsAt:
		return sched.EndFailed, true
	case !r.step.Lasting && part >= 1:
		return sched.EndDone, true
	}
	return 0, false
}

// updateTails sets the tail latencies of the serving tasks.
func (w *Worker) updateTails() {
	s := w.Rules.Interference
	whole := float64(max(1, w.Capacity.Processors))
	for _, k := range w.runOrder {
		r := w.runs[k]
		if r.step.TailGoal == 0 {
			continue
		}
		used := w.loadOf(r)
		for _, o := range w.runs {
			if o.step.Filler {
				used += o.milliProcessors / whole * s.Factor(r.step.Image, o.step.Image)
			}
		}
		tail := float64(s.Base.Milliseconds()) / (1 - min(used, maxUtilization))
		r.tailMillis = tail * (1 + s.Noise*w.noise("tail", k.Task.String(), w.now.UnixNano()/int64(figureWindow)))
	}
}

// Harmed reports whether fillers keep a serving task over its latency bound: its
// reported tail latency is over the bound, and would be within it without fillers.
func (w *Worker) Harmed(k RunKey) bool {
	r := w.runs[k]
	if r == nil || r.step.TailGoal == 0 || !r.working {
		return false
	}
	s := w.Rules.Interference
	alone := float64(s.Base.Milliseconds()) / (1 - min(w.loadOf(r), maxUtilization))
	goal := float64(r.step.TailGoal.Milliseconds())
	return r.tailMillis > goal && alone <= goal
}

// Factor returns the utilization that a filler adds to a serving task if it uses
// all processors of the worker. It depends only on the two images.
func (s Interference) Factor(serving, filler string) float64 {
	h := xxhash.Sum64String(serving + "/" + filler)
	if float64(h>>11)/(1<<53) < s.HeavyShare {
		return s.Heavy
	}
	return s.Light
}
