package cell

import (
	"time"

	"go.uber.org/zap"
)

const (
	// waitingLogDelay is how long a step waits before the reason is logged. Each
	// further line follows when the step has waited waitingLogFactor times as long.
	waitingLogDelay  = time.Second
	waitingLogFactor = 3
	// heldUpDelay is how long a step waits, with room on a worker, before its tasks
	// count as held up. Users expect a task for which there is room to run by then.
	heldUpDelay = 3 * time.Second
)

// logPlaced logs how many tasks of a step were placed in a pass, if any.
func (p *Planner) logPlaced(now time.Time, w *waitingStep, placed int) {
	if placed == 0 {
		return
	}
	p.options.Log.Info("stepPlaced", zap.String("job", string(w.job.ID)),
		zap.Int("occurrence", w.occurrence.Number), zap.Int("step", w.step),
		zap.Int("placed", placed), zap.Int("waiting", len(w.tasks)), zap.Int("class", int(w.claim.Class)),
		zap.Duration("age", now.Sub(w.claim.Due)))
}

// obstacles counts the workers that don't take a task of a step, by the reason. The
// first one that applies counts.
type obstacles struct {
	// unknown workers answer and may have further runs or ends, unusable ones are not in
	// service for the step for another reason, isolated ones run a suspect of a crash that
	// has to be alone, full ones lack room, suspected ones have room and are avoided,
	// unadvised ones lack a ticket, and those that are disturbed or slow have serving
	// tasks that can't bear the filler, or leave it too few processors.
	unknown, unusable, isolated, full, suspected, unadvised, disturbed, slow int
}

// obstaclesOf returns what keeps the tasks of a waiting step off the workers.
func (p *Planner) obstaclesOf(now time.Time, w *waitingStep) obstacles {
	var o obstacles
	step := &w.job.Steps[w.step]
	for _, h := range p.workers {
		switch {
		case h.Listed && h.Failures == 0 && !h.AllKnown():
			o.unknown++
		case !p.inService(now, h, w.job.Queue.Service, step):
			o.unusable++
		case isolated(now, h):
			o.isolated++
		case !step.Counted().Fits(p.roomFor(w, h)) || p.atTaskLimit(w, step, h):
			o.full++
		case p.judge.Avoid(now, h.ID):
			o.suspected++
		case !p.hasTicket(now, w, h):
			o.unadvised++
		case step.Filler:
			part, v := h.ProcessorShare(step.Needs.Processors), h.FillerRoom(p.interference)
			if v.SlackWith(step.Image, part) < 0 {
				o.disturbed++
			} else if v.Speed(part) < minFillerSpeed {
				o.slow++
			}
		}
	}
	return o
}

// beginWaiting notes that tasks of the step wait, unless they did before.
func (w *waitingStep) beginWaiting(now time.Time) {
	if w.waitingSince.IsZero() {
		w.waitingSince, w.nextLog = now, waitingLogDelay
	}
}

// logWaiting logs why tasks of a step wait, after waitingLogDelay and now and then
// after that, and counts those that have waited for heldUpDelay with room on a worker.
func (p *Planner) logWaiting(now time.Time, w *waitingStep) {
	w.beginWaiting(now)
	waited := now.Sub(w.waitingSince)
	if waited < w.nextLog {
		return
	}
	for w.nextLog <= waited {
		w.nextLog *= waitingLogFactor
	}
	o := p.obstaclesOf(now, w)
	if waited >= heldUpDelay && !w.heldUp && o.unknown+o.unusable+o.full < len(p.workers) {
		w.heldUp = true
		p.stats.HeldUp += int64(len(w.tasks))
	}
	p.options.Log.Info("stepWaiting", zap.String("job", string(w.job.ID)),
		zap.Int("occurrence", w.occurrence.Number), zap.Int("step", w.step), zap.Duration("waited", waited),
		zap.Int("waiting", len(w.tasks)), zap.Int("class", int(w.claim.Class)), zap.Bool("filler", w.job.Steps[w.step].Filler),
		zap.Int("workers", len(p.workers)), zap.Int("unknown", o.unknown), zap.Int("unusable", o.unusable), zap.Int("isolated", o.isolated), zap.Int("full", o.full),
		zap.Int("suspected", o.suspected), zap.Int("unadvised", o.unadvised), zap.Int("disturbed", o.disturbed), zap.Int("slow", o.slow),
		zap.Int("usedPercent", int(100*p.serviceUse(w.job.Queue.Service))),
		zap.Int("steps", len(p.waitingSteps)))
}
