package cell

import (
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Stopped handles the result of a stop order. It only sets the time of the next
// order: the run has ended when an exchange lists its end.
func (p *Planner) Stopped(now time.Time, r OrderResult) {
	h := p.workers[r.Worker]
	if h == nil {
		return
	}
	s := h.Slots[r.Key]
	if s == nil || !s.Stopping {
		return
	}
	if r.Err == nil && r.Answer.Refusal == sched.NotRefused {
		s.StopAt = now.Add(2 * p.options.StopLimit)
		return
	}
	s.StopAt = now.Add(retryPause)
}

// stopSlot orders the end of a run. A run of which no start order was sent is
// given up.
func (p *Planner) stopSlot(now time.Time, h *hosts.Host, s *hosts.Slot) {
	if s.Phase == hosts.Recorded {
		p.loseRun(now, h, s, "cancelled")
		return
	}
	s.Stopping, s.StopAt = true, now.Add(2*p.options.StopLimit)
	p.stats.Stops++
	p.effects.Stops = append(p.effects.Stops, StopCall{h.Worker, sched.StopOrder{
		Task: s.Task, Run: s.Run, Token: h.Token(p.options.Term),
	}})
}

// stopJob stops every run of a job that may be alive.
func (p *Planner) stopJob(now time.Time, j *job) {
	for _, o := range j.Occurrences {
		for s := range o.Steps {
			for t := range o.Steps[s].Tasks {
				for _, r := range o.Steps[s].Tasks[t].Runs {
					p.stopRun(now, sched.TaskRef{Job: j.ID, Occurrence: o.Number, Step: s, Index: t}, r.Number, r.Worker)
				}
			}
		}
	}
}

// stopRun stops a run on a worker unless it is being stopped or isn't there.
func (p *Planner) stopRun(now time.Time, t sched.TaskRef, n sched.RunNumber, w sched.InstanceID) {
	h := p.workers[w]
	if h == nil {
		return
	}
	if s := h.Slots[hosts.Key{Task: t, Run: n}]; s != nil && !s.Stopping {
		p.stopSlot(now, h, s)
	}
}

// stopStray stops a run that the planner doesn't have on the worker: its job was
// dropped, or the run was lost.
func (p *Planner) stopStray(h *hosts.Host, k hosts.Key) {
	p.options.Log.Info("strayRun", zap.String("worker", string(h.ID)), zap.Stringer("task", k.Task),
		zap.Int32("run", int32(k.Run)))
	p.effects.Stops = append(p.effects.Stops, StopCall{h.Worker, sched.StopOrder{
		Task: k.Task, Run: k.Run, Token: h.Token(p.options.Term),
	}})
}
