package cell

import (
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/ahead"
	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// reservationDelay is how long a lasting step waits before a worker is reserved for
	// one of its tasks.
	reservationDelay = heldUpDelay
	// reservationTime is how long a worker stays reserved. Then another one is tried:
	// the runs on the first one take longer than they usually do.
	reservationTime = 3 * time.Second
	// workersPerReservation is the number of workers of a cell for each one that may be
	// reserved at the same time, since part of it is idle meanwhile.
	workersPerReservation = 64
)

// reservation holds a worker for a task of a waiting step. As soon as there is room, the
// task starts there.
type reservation struct {
	step  *waitingStep
	since time.Time
}

// reserveWorkers reserves workers for lasting steps that have waited for
// reservationDelay, one for each, in the order of their claims. Without that, small tasks
// take each bit of room that becomes free on full workers, and a task that needs more
// waits for as long as they come.
func (p *Planner) reserveWorkers(now time.Time) {
	p.updateMeanNeed(now)
	if p.ahead != nil {
		p.planAhead(now)
		return
	}
	kept := map[*hosts.Host]reservation{}
	byStep := map[*waitingStep]*hosts.Host{}
	for h, r := range p.reservations {
		byStep[r.step] = h
	}
	most := 1 + len(p.workers)/workersPerReservation
	for _, w := range p.waitingSteps {
		if len(kept) == most {
			break
		}
		step := &w.job.Steps[w.step]
		if !step.Lasting || step.Gang || len(w.tasks) == 0 || w.job.State.Final() ||
			w.waitingSince.IsZero() || now.Sub(w.waitingSince) < reservationDelay {
			continue
		}
		h := byStep[w]
		r := p.reservations[h]
		if h == nil || now.Sub(r.since) >= reservationTime || !p.mayReserve(now, w, h) {
			if h = p.chooseReservation(now, w, h, kept); h == nil {
				continue
			}
			r = reservation{w, now}
			p.options.Log.Info("workerReserved", zap.String("worker", string(h.ID)), zap.String("job", string(w.job.ID)),
				zap.Int("step", w.step), zap.Duration("waited", now.Sub(w.waitingSince)))
		}
		kept[h] = r
	}
	p.reservations = kept
}

// reservationReady reports whether a worker is reserved for the step. With look-ahead
// placement there has to be room, too: a hundred planned steps may wait, and looking at all
// workers for each of them in every pass took a sixth of a processor with 890 workers.
func (p *Planner) reservationReady(w *waitingStep) bool {
	if p.ahead != nil {
		return p.ahead.held && p.ahead.plan.Ready(waitingStepRef(w), func(x *ahead.Worker) sched.Resources {
			if h := p.workers[x.ID]; h != nil {
				return h.Free()
			}
			return sched.Resources{}
		})
	}
	for _, r := range p.reservations {
		if r.step == w {
			return true
		}
	}
	return false
}

// mayReserve reports whether the worker can have room for a task of the step once its
// batch tasks have ended.
func (p *Planner) mayReserve(now time.Time, w *waitingStep, h *hosts.Host) bool {
	step := &w.job.Steps[w.step]
	free := h.Free()
	for _, s := range h.Slots {
		if !s.Step.Lasting {
			free = free.Plus(s.Step.Counted())
		}
	}
	return step.Counted().Fits(free) && p.usableFor(now, w, h) && !p.atTaskLimit(w, step, h) && p.hasTicket(now, w, h)
}

// chooseReservation returns the worker to reserve for a task of the step, nil if there is
// none: the one with the most free processors that isn't among those taken, other than
// the last one if possible.
func (p *Planner) chooseReservation(now time.Time, w *waitingStep, last *hosts.Host, taken map[*hosts.Host]reservation) *hosts.Host {
	var best *hosts.Host
	for _, h := range p.workers {
		if _, reserved := taken[h]; reserved || h == last || !p.mayReserve(now, w, h) {
			continue
		}
		if best == nil || h.Free().Processors > best.Free().Processors ||
			h.Free().Processors == best.Free().Processors && h.ID < best.ID {
			best = h
		}
	}
	if best == nil && last != nil && p.mayReserve(now, w, last) {
		return last
	}
	return best
}

// roomFor returns what is free on a worker for a step: less than Host.Free if the worker
// is reserved for another step or cold, or if the look-ahead placement, which makes no
// reservations, holds room there.
func (p *Planner) roomFor(w *waitingStep, h *hosts.Host) sched.Resources {
	free := p.roomAhead(w, h)
	r, reserved := p.reservations[h]
	if !reserved || r.step == w {
		return free
	}
	left := free.Minus(r.step.job.Steps[r.step.step].Counted())
	return sched.Resources{
		Processors: max(0, left.Processors), Memory: max(0, left.Memory), Accelerators: max(0, left.Accelerators),
	}
}
