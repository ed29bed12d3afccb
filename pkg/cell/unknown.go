package cell

import (
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
)

// unknownLogDelay is the time for which a worker that answers takes no tasks, since not all
// of its runs are known, before that is logged. A stray is stopped within a second.
const unknownLogDelay = 2 * time.Second

// noteKnown notes after an exchange whether all runs on the worker are known. Nothing is
// placed there until they are; if that takes long, its begin and its end are logged.
func (p *Planner) noteKnown(now time.Time, h *hosts.Host) {
	if h.AllKnown() {
		if h.UnknownLogged {
			p.options.Log.Info("workerRunsKnown", zap.String("worker", string(h.ID)), zap.Duration("after", now.Sub(h.UnknownSince)))
		}
		h.UnknownSince, h.UnknownLogged = time.Time{}, false
		return
	}
	if h.UnknownSince.IsZero() {
		h.UnknownSince = now
	}
	if h.UnknownLogged || now.Sub(h.UnknownSince) < unknownLogDelay {
		return
	}
	h.UnknownLogged = true
	phases := map[hosts.Phase]int{}
	for _, s := range h.Slots {
		phases[s.Phase]++
	}
	p.options.Log.Warn("workerRunsUnknown", zap.String("worker", string(h.ID)), zap.Duration("for", now.Sub(h.UnknownSince)),
		zap.Bool("runsListed", h.RunsKnown), zap.Bool("moreEnds", h.MoreEnds), zap.Int("strays", h.Strays),
		zap.Int("unsure", phases[hosts.Unsure]), zap.Int("ordered", phases[hosts.Ordered]), zap.Int64("appliedEnd", h.AppliedEnd),
		zap.Int64("durableEnd", h.DurableEnd), zap.Int64("acknowledgedEnd", h.AckedEnd))
}

// UnknownWorkers returns the number of listed workers that answer and take no tasks, since
// not all of their runs are known.
func (p *Planner) UnknownWorkers() int {
	n := 0
	for _, h := range p.workers {
		if h.Listed && h.Failures == 0 && !h.AllKnown() {
			n++
		}
	}
	return n
}
