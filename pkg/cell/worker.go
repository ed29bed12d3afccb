package cell

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// minExchangePause is the time between two exchanges with a worker that has
	// runs. It lets one exchange report several ends. While the planner is behind, the
	// pause is longer by as much, up to maxExchangePause: the reports would wait as long.
	minExchangePause = 60 * time.Millisecond
	maxExchangePause = 400 * time.Millisecond
	// exchangeWait is how long a worker may wait for an end before it answers,
	// and so about the time between two renewals of its lease.
	exchangeWait = time.Second
	// minSharedWait is the least wait of a worker where fillers work beside
	// serving tasks: the paces of fillers follow the reports.
	minSharedWait = 200 * time.Millisecond
	// maxSharedExchangeRate bounds the exchanges a second with such workers:
	// their wait grows with the number of all workers. Each exchange takes about
	// a tenth of a millisecond of processor time.
	maxSharedExchangeRate = 1000
	// idleExchangePause is the time between exchanges with a worker without
	// runs. They keep the reading of its clock fresh.
	idleExchangePause = 8 * time.Second
	// retryPause is the delay before an exchange or a stop order without success
	// is repeated.
	retryPause = 250 * time.Millisecond
	// noRoomPause is how long nothing is placed on a worker that has refused a
	// start for lack of room.
	noRoomPause = 300 * time.Millisecond
)

// Listed handles a new or changed entry of the platform's list of workers. The
// first exchange with a new worker, or a new life of one, is due at once.
func (p *Planner) Listed(now time.Time, w sched.Worker) {
	p.fleet.Listed(now, w)
	h := p.worker(w.ID)
	added := !h.Listed
	if w.Incarnation > h.NewestIncarnation() {
		if h.NewestIncarnation() > 0 {
			p.options.Log.Info("workerReborn", zap.String("worker", string(w.ID)), zap.Int64("life", w.Incarnation))
		}
		h.BeginIncarnation(w.Incarnation)
		h.NextExchangeAt = now
	}
	if w.Draining && !h.Draining {
		p.options.Log.Info("workerDraining", zap.String("worker", string(w.ID)), zap.Duration("remaining", w.DrainRemaining))
	}
	if w.Capacity != h.Capacity {
		if !added {
			p.options.Log.Info("workerResized", zap.String("worker", string(w.ID)),
				zap.Int64("processors", w.Capacity.Processors), zap.Int64("memory", w.Capacity.Memory), zap.Int("runs", len(h.Slots)))
		}
		h.NoRoomUntil = time.Time{}
		h.Touch()
	}
	h.SetLeaving(w)
	h.Worker, h.Listed, h.ListedAt = w, true, now
	if added {
		p.options.Log.Info("workerListed", zap.String("worker", string(w.ID)), zap.String("address", w.Address))
		h.NextExchangeAt = now
	}
}

// Unlisted handles the removal of a worker from the platform's list. Nothing
// more is placed on the worker; its runs go on.
func (p *Planner) Unlisted(now time.Time, id sched.InstanceID) {
	p.fleet.Unlisted(now, id)
	h := p.workers[id]
	if h == nil || !h.Listed {
		return
	}
	p.options.Log.Info("workerUnlisted", zap.String("worker", string(id)), zap.Int("runs", len(h.Slots)))
	h.Listed, h.ListedAt = false, now
}

// ListComplete tells the planner that Listed was called for every entry of the list.
func (p *Planner) ListComplete(now time.Time) { p.fleet.Complete(now) }

// sendExchanges sends the exchanges that are due. The lease is renewed only for
// a worker that has runs and answered the last exchange.
func (p *Planner) sendExchanges(now time.Time) {
	if !p.mayOrder(now) {
		return
	}
	for _, h := range p.workers {
		if h.ExchangeInFlight || h.Address == "" || now.Before(h.NextExchangeAt) {
			continue
		}
		o := sched.LeaseOrder{Token: h.Token(p.options.Term), RecordedEnd: h.Acknowledgement(now)}
		if h.Failures == 0 && len(h.Slots) > 0 {
			o.Lease = h.Grant(now, p.options.LeaseLimit)
		}
		if h.RunsKnown && !h.MoreEnds && h.Failures == 0 && (o.Lease > 0 || h.Strays > 0) {
			o.Wait = exchangeWait
			if h.Shared() {
				o.Wait = min(exchangeWait, max(minSharedWait, time.Duration(len(p.workers))*time.Second/maxSharedExchangeRate))
			}
		}
		h.ExchangeInFlight = true
		p.effects.Leases = append(p.effects.Leases, LeaseCall{h.Worker, o})
	}
}

// Leased handles the result of an exchange: it applies the ends and the progress
// that the worker reports, settles runs that the worker doesn't have, and sets
// the paces of its fillers.
func (p *Planner) Leased(now time.Time, r LeaseResult) {
	h := p.workers[r.Worker]
	if h == nil {
		return
	}
	h.ExchangeInFlight = false
	switch {
	case r.Err != nil || r.Answer.Refusal == sched.RefusedUnhealthy:
		p.noteSilence(h, r.Result, exchangeWait)
		p.exchangeFailed(now, h, r.Err)
		return
	case r.Answer.Refusal == sched.RefusedIdentity:
		p.workerReplaced(now, h)
		return
	case r.Answer.Refusal != sched.NotRefused:
		p.options.Log.Warn("leaseRefused", zap.String("worker", string(h.ID)), zap.Int("refusal", int(r.Answer.Refusal)),
			zap.Int64("token", int64(r.Token)))
		if r.Answer.Refusal == sched.RefusedToken && r.Token == h.Token(p.options.Term) {
			h.Bump()
		}
		h.NextExchangeAt = now.Add(retryPause)
		return
	}
	if !h.Read(r.Answer.OrderAnswer, r.Sent, r.Received) {
		h.NextExchangeAt = now
		return
	}
	if h.Failures > 0 {
		p.options.Log.Info("workerBack", zap.String("worker", string(h.ID)), zap.Int("failures", h.Failures))
	}
	h.Failures = 0
	h.AckedEnd = max(h.AckedEnd, r.AckedEnd)
	p.applyEnds(now, h, r.Answer.Ended)
	restarted := !h.RunsKnown
	p.reconcileRuns(now, h, r)
	p.noteKnown(now, h)
	if h.RunsKnown { // until then the runs of an earlier life aren't settled
		p.answered(r.Received, h, restarted)
	}
	p.updatePaces(now, h)
	h.NextExchangeAt = now.Add(p.exchangePause())
	if len(h.Slots) == 0 && h.Strays == 0 && h.AppliedEnd == h.DurableEnd && h.AckedEnd == h.DurableEnd && h.RunsKnown {
		h.NextExchangeAt = now.Add(idleExchangePause)
	}
}

// exchangePause returns the time between two exchanges with a worker that has runs.
func (p *Planner) exchangePause() time.Duration {
	return min(minExchangePause+p.delay, maxExchangePause)
}

// exchangeFailed counts a call that the worker didn't answer, or refused as
// unhealthy. The next exchange is due after retryPause. Exchanges grant no lease
// until one succeeds.
func (p *Planner) exchangeFailed(now time.Time, h *hosts.Host, err error) {
	h.Failures++
	if h.Failures == 1 {
		p.options.Log.Info("workerSilent", zap.String("worker", string(h.ID)), zap.Error(err), zap.Int("runs", len(h.Slots)))
	}
	h.NextExchangeAt = now.Add(retryPause)
}

// workerReplaced handles an answer from another worker at the address. The
// earlier worker has ended, so all its runs are lost.
func (p *Planner) workerReplaced(now time.Time, h *hosts.Host) {
	p.options.Log.Info("workerReplaced", zap.String("worker", string(h.ID)), zap.Int("runs", len(h.Slots)))
	p.workerCrashed(now, h, slices.AppendSeq(takeCrashed(h, nil), maps.Values(h.Slots)))
	for _, s := range h.Slots {
		p.loseRun(now, h, s, "replaced")
	}
	h.Failures++
	h.NextExchangeAt = now.Add(idleExchangePause)
}

// fullEndList is the number of ends that a worker reports at a time. If it
// reports as many, there may be more, and a run that it doesn't list may have
// ended rather than be lost.
const fullEndList = 500

// reconcileRuns compares the runs that the worker reports with those that the
// planner has placed there. Unknown runs are stopped; runs that the worker can't
// have any more are lost. Those of an earlier incarnation are lost together, since one
// crash has ended them all.
func (p *Planner) reconcileRuns(now time.Time, h *hosts.Host, r LeaseResult) {
	listed := make(map[hosts.Key]bool, len(r.Answer.Running))
	h.Strays = 0
	for _, x := range r.Answer.Running {
		k := hosts.Key{Task: x.Task, Run: x.Run}
		listed[k] = true
		s := h.Slots[k]
		if s == nil {
			h.Strays++
			p.stopStray(h, k)
			continue
		}
		s.Incarnation = h.NewestIncarnation()
		p.applyReport(now, s, x)
	}
	h.Reported(r.Token, len(r.Answer.Ended) >= fullEndList)
	if h.MoreEnds {
		return
	}
	h.RunsKnown = h.RunsKnown || r.Token == h.Token(p.options.Term)
	var gone, crashed []*hosts.Slot
	for k, s := range h.Slots {
		restarted := h.Restarted(s)
		if listed[k] || !s.ProvenGone(r.Token, r.Answer.Clock) || restarted && !h.RunsKnown {
			continue
		}
		gone = append(gone, s)
		if restarted {
			crashed = append(crashed, s)
		}
	}
	if h.RunsKnown {
		crashed = append(crashed, takeCrashed(h, listed)...)
	}
	p.workerCrashed(now, h, crashed)
	for _, s := range gone {
		p.loseRun(now, h, s, "notThere")
	}
}

// applyReport applies a worker's report of a run.
func (p *Planner) applyReport(now time.Time, s *hosts.Slot, x sched.RunningRun) {
	if s.Phase != hosts.Started {
		p.runStarted(now, s)
	}
	s.Progress(now, x.Percent)
	s.Figure = x.Measurement
	if x.Checkpoint != "" {
		s.Checkpoint = x.Checkpoint
	}
}

// runStarted marks a run as started. The job becomes active with its first run.
func (p *Planner) runStarted(now time.Time, s *hosts.Slot) {
	s.Phase, s.StartedAt = hosts.Started, now
	j := p.jobs[s.Task.Job]
	if j == nil {
		return
	}
	p.countStarted(j)
	if j.State == sched.JobPending {
		j.State = sched.JobActive
		p.markDirty(j)
	}
}

// Started handles the result of a start order. Results of earlier orders for a
// run that has been settled meanwhile are ignored.
func (p *Planner) Started(now time.Time, r StartResult) {
	h := p.workers[r.Worker]
	if h == nil {
		return
	}
	s := h.Slots[r.Key]
	if s == nil || s.Phase != hosts.Ordered || s.Token != r.Token {
		return
	}
	if r.Err != nil {
		p.noteSilence(h, r.Result, 0)
		p.startUnsure(now, h, s, r.Err)
		return
	}
	if !h.Read(r.Answer, r.Sent, r.Received) {
		return // the answer is of an earlier life; the new one made the run unsure
	}
	if h.RunsKnown && r.Answer.Refusal != sched.RefusedIdentity {
		p.answered(r.Received, h, false)
	}
	if r.Answer.Refusal == sched.NotRefused {
		if s.Phase == hosts.Ordered {
			s.Clock = r.Answer.Clock
			p.runStarted(now, s)
			p.ticketTaken(s.Task)
			if s.Crowded {
				p.setPaces(now, h) // the next report may be too late for the serving tasks
			}
		}
		if now.Before(h.NextExchangeAt) {
			h.NextExchangeAt = minTime(h.NextExchangeAt, now.Add(p.exchangePause()))
		}
		return
	}
	p.startRefused(now, h, s, r.Answer.Refusal)
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// startUnsure handles a start order without an answer. The next exchange carries
// a higher token, which makes the order void if it hasn't been carried out, and
// its answer shows whether it has.
func (p *Planner) startUnsure(now time.Time, h *hosts.Host, s *hosts.Slot, err error) {
	p.options.Log.Info("startUnsure", zap.String("worker", string(h.ID)), zap.Stringer("task", s.Task),
		zap.Int32("run", int32(s.Run)), zap.Error(err))
	s.Phase = hosts.Unsure
	if s.Token == h.Token(p.options.Term) {
		h.Bump()
	}
	h.NextExchangeAt = now
}

// startRefused gives up a run that the worker refused to start.
func (p *Planner) startRefused(now time.Time, h *hosts.Host, s *hosts.Slot, why sched.Refusal) {
	p.options.Log.Info("startRefused", zap.String("worker", string(h.ID)), zap.Stringer("task", s.Task),
		zap.Int32("run", int32(s.Run)), zap.Int("refusal", int(why)))
	switch why {
	case sched.RefusedNoCapacity:
		p.stats.NoRoom++
		h.NoRoomUntil = now.Add(noRoomPause)
	case sched.RefusedIdentity:
		p.loseRun(now, h, s, "refused") // another worker has refused it, so it never started here
		p.workerReplaced(now, h)
		return
	case sched.RefusedTicket:
		p.ticketRefused(now, s, h)
	case sched.RefusedUnhealthy:
		p.exchangeFailed(now, h, nil)
	default:
		// The next exchange shows the worker's token and runs.
		h.NextExchangeAt = now
	}
	p.loseRun(now, h, s, "refused")
}
