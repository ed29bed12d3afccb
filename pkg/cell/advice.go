package cell

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// maxAdviceWorkers bounds the workers in one question to the advisor, whose
	// answer takes longer with each of them.
	maxAdviceWorkers = 30
	// ticketMargin is the time before the end of a ticket from which on the
	// ticket isn't used.
	ticketMargin = 300 * time.Millisecond
	// adviceRetry is the delay of the next question after an error, or if there
	// was no worker to ask about.
	adviceRetry = 200 * time.Millisecond
	// adviceRetention is how long unused advice is kept.
	adviceRetention = time.Minute
)

// stepAdvice is the advisor's newest answer about a step.
type stepAdvice struct {
	// inFlight is set while a question about the step has no result.
	inFlight bool
	// retryAt is the earliest time of the next question.
	retryAt time.Time
	// validUntil is when the tickets end, less ticketMargin.
	validUntil time.Time
	// tickets holds the text of the ticket of each worker that may run the step.
	tickets map[sched.InstanceID]string
	// refused holds the workers that were asked about and got no ticket. The
	// advisor doesn't change such an answer.
	refused map[sched.InstanceID]bool
	// usedAt is when ensureAdvice was last called for the step.
	usedAt time.Time
}

// AdviceCall asks the advisor which of the workers may run the step. Its result
// goes to Planner.Advised.
type AdviceCall struct {
	Step    sched.StepRef
	Workers []sched.InstanceID
}

// AdviceResult is the result of an AdviceCall.
type AdviceResult struct {
	Call AdviceCall
	// Sent is when the call was sent, from which Validity counts.
	Sent     time.Time
	Tickets  []sched.Ticket
	Validity time.Duration
	Err      error
}

// waitingStepRef returns the reference of a waiting step.
func waitingStepRef(w *waitingStep) sched.StepRef {
	return sched.StepRef{Job: w.job.ID, Occurrence: w.occurrence.Number, Step: w.step}
}

// ensureAdvice reports whether a worker with a valid ticket has room for a task
// of the step. If none has, it asks the advisor, unless a question is on its way
// or the delay after the last one isn't over.
func (p *Planner) ensureAdvice(now time.Time, w *waitingStep) bool {
	ref := waitingStepRef(w)
	a := p.advice[ref]
	if a == nil {
		a = &stepAdvice{tickets: map[sched.InstanceID]string{}, refused: map[sched.InstanceID]bool{}}
		p.advice[ref] = a
	}
	a.usedAt = now
	if now.Before(a.validUntil) && p.ticketedWorkerHasRoom(now, w, a) {
		return true
	}
	if a.inFlight || now.Before(a.retryAt) {
		return false
	}
	ask := p.adviceCandidates(now, w, a)
	if len(ask) == 0 {
		a.retryAt = now.Add(adviceRetry)
		return false
	}
	a.inFlight = true
	p.effects.Advice = append(p.effects.Advice, AdviceCall{ref, ask})
	return false
}

// ticketedWorkerHasRoom reports whether a worker with a ticket has room for a
// task of the step.
func (p *Planner) ticketedWorkerHasRoom(now time.Time, w *waitingStep, a *stepAdvice) bool {
	step := &w.job.Steps[w.step]
	for id := range a.tickets {
		h := p.workers[id]
		if h != nil && p.usableFor(now, w, h) && step.Counted().Fits(p.roomFor(w, h)) &&
			!p.atTaskLimit(w, step, h) {
			return true
		}
	}
	return false
}

// adviceCandidates returns up to maxAdviceWorkers workers to ask about: those
// with room for a task that weren't refused before, most free processors first.
func (p *Planner) adviceCandidates(now time.Time, w *waitingStep, a *stepAdvice) []sched.InstanceID {
	step := &w.job.Steps[w.step]
	var fit []*hosts.Host
	for _, h := range p.workers {
		if !a.refused[h.ID] && p.usableFor(now, w, h) && step.Counted().Fits(p.roomFor(w, h)) &&
			!p.atTaskLimit(w, step, h) {
			fit = append(fit, h)
		}
	}
	slices.SortFunc(fit, func(a, b *hosts.Host) int {
		return cmp.Or(cmp.Compare(b.Free().Processors, a.Free().Processors), cmp.Compare(a.ID, b.ID))
	})
	var out []sched.InstanceID
	for _, h := range fit[:min(len(fit), maxAdviceWorkers)] {
		out = append(out, h.ID)
	}
	return out
}

// Advised handles the result of an AdviceCall. New tickets replace all earlier
// ones of the step.
func (p *Planner) Advised(now time.Time, r AdviceResult) {
	a := p.advice[r.Call.Step]
	if a == nil {
		return
	}
	a.inFlight = false
	if r.Err != nil {
		p.options.Log.Info("adviceFailed", zap.String("job", string(r.Call.Step.Job)),
			zap.Int("step", r.Call.Step.Step), zap.Error(r.Err))
		a.retryAt = now.Add(adviceRetry)
		return
	}
	for _, id := range r.Call.Workers {
		a.refused[id] = true
	}
	clear(a.tickets)
	for _, t := range r.Tickets {
		a.tickets[t.Worker] = t.Text
		delete(a.refused, t.Worker)
	}
	a.validUntil = r.Sent.Add(r.Validity - ticketMargin)
	if len(r.Tickets) == 0 {
		a.retryAt = now
	}
}

// hasTicket reports whether the worker may run tasks of the step: it has a valid
// ticket, or the queue needs no advice.
func (p *Planner) hasTicket(now time.Time, w *waitingStep, h *hosts.Host) bool {
	if w.job.Queue.Advice == nil {
		return true
	}
	a := p.advice[waitingStepRef(w)]
	return a != nil && now.Before(a.validUntil) && a.tickets[h.ID] != ""
}

// ticketFor returns the ticket for the start of a task on a worker, empty if
// there is none.
func (p *Planner) ticketFor(_ time.Time, r sched.TaskRef, h *hosts.Host) string {
	if a := p.advice[stepRefOf(r)]; a != nil {
		return a.tickets[h.ID]
	}
	return ""
}

// invalidateAdvice ends the validity of the tickets of the task's step, one of
// which a worker has refused.
func (p *Planner) invalidateAdvice(r sched.TaskRef) {
	if a := p.advice[stepRefOf(r)]; a != nil {
		a.validUntil = time.Time{}
	}
}

// dropUnusedAdvice drops advice that wasn't used for adviceRetention.
func (p *Planner) dropUnusedAdvice(now time.Time) {
	for ref, a := range p.advice {
		if !a.inFlight && now.Sub(a.usedAt) > adviceRetention {
			delete(p.advice, ref)
		}
	}
}
