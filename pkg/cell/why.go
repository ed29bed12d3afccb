package cell

import (
	"time"

	"go.uber.org/zap"
)

// waitingLogDelay is how long a step waits before the reason is logged.
const waitingLogDelay = time.Second

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

// logWaiting logs once why tasks of a step have waited for waitingLogDelay: how
// many workers can't be used, lack room, or have serving tasks that can't bear
// the filler.
func (p *Planner) logWaiting(now time.Time, w *waitingStep) {
	if w.waitingSince.IsZero() {
		w.waitingSince = now
	}
	if w.logged || now.Sub(w.waitingSince) < waitingLogDelay {
		return
	}
	w.logged = true
	step := &w.job.Steps[w.step]
	unusable, full, disturbed := 0, 0, 0
	for _, h := range p.workers {
		switch {
		case !p.usable(now, h, w.job.Queue.Service, step):
			unusable++
		case !step.Counted().Fits(h.Free()) || p.atTaskLimit(w, step, h):
			full++
		default:
			if _, fits := p.score(h, waitingStepRef(w), step); !fits {
				disturbed++
			}
		}
	}
	p.options.Log.Info("stepWaiting", zap.String("job", string(w.job.ID)),
		zap.Int("occurrence", w.occurrence.Number), zap.Int("step", w.step),
		zap.Int("waiting", len(w.tasks)), zap.Int("class", int(w.claim.Class)), zap.Bool("filler", step.Filler),
		zap.Int("workers", len(p.workers)), zap.Int("unusable", unusable), zap.Int("full", full),
		zap.Int("disturbed", disturbed), zap.Int("steps", len(p.waitingSteps)))
}
