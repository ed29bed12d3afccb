package cell

import (
	"cmp"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/turns"
)

const (
	// ticketMargin is the time before the end of a ticket from which on the
	// ticket isn't used, a quarter of its validity at most.
	ticketMargin = 300 * time.Millisecond
	// adviceRetry is the delay of the next question if there was no worker to ask about.
	adviceRetry = 200 * time.Millisecond
	// maxAdviceRetry bounds the delay of the next question about a step after several in a
	// row were of no use.
	maxAdviceRetry = 2 * time.Second
	// adviceRetention is how long unused advice is kept.
	adviceRetention = time.Minute
)

// stepAdvice is what the advisor has answered about a step.
type stepAdvice struct {
	// inFlight is set while a question about the step has no result. asked holds the
	// workers in it and their incarnations at that time, and waiting is for how long the
	// step had waited then.
	inFlight bool
	asked    map[sched.InstanceID]int64
	waiting  time.Duration
	// retryAt is the earliest time of the next question. fruitless is the number of
	// questions in a row that had no answer, or whose tickets a worker has refused.
	retryAt   time.Time
	fruitless int
	// tickets holds the newest ticket of each worker that may run the step. One that has
	// ended tells that the advisor will permit the worker again.
	tickets map[sched.InstanceID]stepTicket
	// refused holds the incarnations of the workers that got no ticket. The advisor
	// doesn't change such an answer.
	refused map[sched.InstanceID]int64
	// usedAt is when ensureAdvice was last called for the step.
	usedAt time.Time
}

// stepTicket permits tasks of a step on one incarnation of a worker until validUntil, which
// is the end of the ticket less a margin.
type stepTicket struct {
	text        string
	incarnation int64
	receivedAt  time.Time
	validUntil  time.Time
}

// valid reports whether the worker has a ticket that is valid.
func (a *stepAdvice) valid(now time.Time, h *hosts.Host) bool {
	return a.permits(h) && now.Before(a.tickets[h.ID].validUntil)
}

// permits reports whether the worker has had a ticket since it started.
func (a *stepAdvice) permits(h *hosts.Host) bool {
	t, known := a.tickets[h.ID]
	return known && t.incarnation == h.NewestIncarnation()
}

// refuses reports whether the worker has got no ticket since it started.
func (a *stepAdvice) refuses(h *hosts.Host) bool {
	incarnation, refused := a.refused[h.ID]
	return refused && incarnation == h.NewestIncarnation()
}

// AdviceCall asks the advisor which of the workers may run the step. Its result
// goes to Planner.Advised.
type AdviceCall struct {
	// ID is the number of the call in Options.AdviceLine.
	ID      int64
	Step    sched.StepRef
	Workers []sched.InstanceID
	// Expected is how long the call is expected to take, with the wait for earlier ones. It
	// has failed if there is no answer after Timeout.
	Expected, Timeout time.Duration
}

// AdviceResult is the result of an AdviceCall.
type AdviceResult struct {
	Call AdviceCall
	// Sent and Received are when the call began and ended.
	Sent, Received time.Time
	Tickets        []sched.Ticket
	// Validity is how long the tickets are valid, 0 if the answer doesn't tell.
	Validity time.Duration
	Err      error
}

// waitingStepRef returns the reference of a waiting step.
func waitingStepRef(w *waitingStep) sched.StepRef {
	return sched.StepRef{Job: w.job.ID, Occurrence: w.occurrence.Number, Step: w.step}
}

// ensureAdvice reports whether the workers with valid tickets have room for a task
// of the step, or for all of a gang. If they haven't, it asks the advisor, unless a
// question is on its way, the delay after the last one isn't over, or it is another step's
// turn. Steps are passed over in the order of their claims, so that is the order in which
// they ask.
func (p *Planner) ensureAdvice(now time.Time, w *waitingStep) bool {
	ref := waitingStepRef(w)
	a := p.advice[ref]
	if a == nil {
		a = &stepAdvice{tickets: map[sched.InstanceID]stepTicket{}, refused: map[sched.InstanceID]int64{}}
		p.advice[ref] = a
	}
	a.usedAt = now
	ticketed := p.ticketedWorkers(now, w, a)
	if len(ticketed) > 0 && (!w.job.Steps[w.step].Gang || p.pack(w, ticketed) != nil) {
		return true
	}
	if a.inFlight || now.Before(a.retryAt) || !p.options.AdviceLine.Free(now, p) {
		return false
	}
	workers := p.workersToAsk(now, w, a, ticketed)
	if len(workers) == 0 {
		a.retryAt = now.Add(adviceRetry)
		return false
	}
	p.ask(now, w, a, workers)
	return false
}

// ask calls the advisor about the workers for a step.
func (p *Planner) ask(now time.Time, w *waitingStep, a *stepAdvice, workers []*hosts.Host) {
	c := AdviceCall{Step: waitingStepRef(w)}
	a.inFlight, a.asked = true, map[sched.InstanceID]int64{}
	for _, h := range workers {
		c.Workers = append(c.Workers, h.ID)
		a.asked[h.ID] = h.NewestIncarnation()
	}
	if !w.waitingSince.IsZero() {
		a.waiting = now.Sub(w.waitingSince)
	}
	c.ID, c.Expected, c.Timeout = p.options.AdviceLine.Begin(now, p, adviceTime(w.job.Queue.Advice, len(workers)))
	p.stats.Asked++
	p.effects.Advice = append(p.effects.Advice, c)
}

// ticketedWorkers returns the workers with a valid ticket that have room for a task of
// the step.
func (p *Planner) ticketedWorkers(now time.Time, w *waitingStep, a *stepAdvice) []*hosts.Host {
	var out []*hosts.Host
	for id := range a.tickets {
		if h := p.workers[id]; h != nil && a.valid(now, h) && p.hasRoomFor(now, w, h) {
			out = append(out, h)
		}
	}
	return out
}

// hasRoomFor reports whether the worker is usable for a waiting step and has room for a
// task of it.
func (p *Planner) hasRoomFor(now time.Time, w *waitingStep, h *hosts.Host) bool {
	step := &w.job.Steps[w.step]
	return step.Counted().Fits(p.roomFor(w, h)) && p.usableFor(now, w, h) && !p.atTaskLimit(w, step, h)
}

// Advised handles the result of an AdviceCall. Earlier tickets of other workers stay
// valid.
func (p *Planner) Advised(now time.Time, r AdviceResult) {
	p.options.AdviceLine.End(r.Received, r.Call.ID, r.Err == nil)
	a := p.advice[r.Call.Step]
	if a == nil {
		return
	}
	a.inFlight = false
	log := p.options.Log.With(zap.String("job", string(r.Call.Step.Job)), zap.Int("occurrence", r.Call.Step.Occurrence),
		zap.Int("step", r.Call.Step.Step), zap.Int("asked", len(r.Call.Workers)), zap.Duration("waited", a.waiting),
		zap.Duration("expected", r.Call.Expected), zap.Duration("took", r.Received.Sub(r.Sent)))
	if r.Err != nil {
		p.stats.AdviceFailed++
		log.Info("adviceFailed", zap.Error(r.Err))
		a.backOff(now)
		return
	}
	until := p.usableUntil(r)
	if !now.Before(until) {
		p.stats.LateTickets += int64(len(r.Tickets))
	}
	log.Info("adviceAnswered", zap.Int("tickets", len(r.Tickets)), zap.Duration("left", until.Sub(now)))
	maps.Copy(a.refused, a.asked)
	for _, t := range r.Tickets {
		incarnation, asked := a.asked[t.Worker]
		if t.Text == "" || !asked {
			continue // a worker would refuse a start without a ticket
		}
		a.tickets[t.Worker] = stepTicket{t.Text, incarnation, now, until}
		delete(a.refused, t.Worker)
	}
}

// usableUntil returns the time until which the tickets of an answer are used. The platform
// doesn't tell whether their validity counts from the call, from the begin of its handling or
// from the answer, so that it is counted from the call. A ticket that could never be used then
// is counted from the answer: at worst, the worker refuses the start.
func (p *Planner) usableUntil(r AdviceResult) time.Time {
	validity := r.Validity
	if j := p.jobs[r.Call.Step.Job]; validity == 0 && j != nil && j.Queue.Advice != nil {
		validity = j.Queue.Advice.Validity
	}
	usable := validity - min(ticketMargin, validity/4)
	if r.Call.Expected >= usable {
		return r.Received.Add(usable)
	}
	return r.Sent.Add(usable)
}

// backOff delays the next question about a step after one that was of no use, longer
// each time, so that other steps get their turn.
func (a *stepAdvice) backOff(now time.Time) {
	a.fruitless++
	a.retryAt = now.Add(turns.Backoff(a.fruitless, maxAdviceRetry))
}

// hasTicket reports whether the worker may run tasks of the step: it has a valid
// ticket, or the queue needs no advice.
func (p *Planner) hasTicket(now time.Time, w *waitingStep, h *hosts.Host) bool {
	return p.permitted(now, w.job, waitingStepRef(w), h)
}

// permitted reports whether tasks of a step of the job may start on the worker as far as
// advice is concerned.
func (p *Planner) permitted(now time.Time, j *job, r sched.StepRef, h *hosts.Host) bool {
	if j.Queue.Advice == nil {
		return true
	}
	a := p.advice[r]
	return a != nil && a.valid(now, h)
}

// ticketFor returns the ticket for the start of a task on a worker, empty if
// there is none.
func (p *Planner) ticketFor(r sched.TaskRef, h *hosts.Host) string {
	if a := p.advice[stepRefOf(r)]; a != nil {
		return a.tickets[h.ID].text
	}
	return ""
}

// ticketTaken notes that a worker has accepted the ticket of a task's step.
func (p *Planner) ticketTaken(r sched.TaskRef) {
	if a := p.advice[stepRefOf(r)]; a != nil {
		a.fruitless = 0
	}
}

// ticketRefused ends the validity of the ticket with which a run was ordered, and of those
// of its step that are no newer: the worker may have refused it because of its age. Later
// refusals of the same tickets have no effect.
func (p *Planner) ticketRefused(now time.Time, s *hosts.Slot, h *hosts.Host) {
	a := p.advice[stepRefOf(s.Task)]
	if a == nil {
		return
	}
	refused, known := a.tickets[h.ID]
	if !known || refused.receivedAt.After(s.OrderedAt) || !now.Before(refused.validUntil) {
		return
	}
	for id, t := range a.tickets {
		if !t.receivedAt.After(refused.receivedAt) {
			t.validUntil = time.Time{}
			a.tickets[id] = t
		}
	}
	a.backOff(now)
}

// dropUnusedAdvice drops advice that wasn't used for adviceRetention.
func (p *Planner) dropUnusedAdvice(now time.Time) {
	for ref, a := range p.advice {
		if !a.inFlight && now.Sub(a.usedAt) > adviceRetention {
			delete(p.advice, ref)
		}
	}
}

// compareFree orders workers by their free processors, most first, and by their id.
func compareFree(a, b *hosts.Host) int {
	return cmp.Or(cmp.Compare(b.Free().Processors, a.Free().Processors), cmp.Compare(a.ID, b.ID))
}
