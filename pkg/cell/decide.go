package cell

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/jobs"
	"github.com/parsleybarrow/parsleybarrow/pkg/order"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// placementInterval is the least time between two passes over the waiting tasks.
// Each report of a worker may free room, and there are hundreds a second.
const placementInterval = 20 * time.Millisecond

// maxFillerInterval bounds the time between two passes over the waiting fillers. While the
// planner is behind, these passes are rarer: they take the most time, and fillers can wait
// longest.
const maxFillerInterval = 400 * time.Millisecond

// placeWaiting places the waiting tasks for which there is room, step by step in
// the order of their claims.
func (p *Planner) placeWaiting(now time.Time) {
	if len(p.waitingSteps) == 0 || now.Sub(p.placedAt) < placementInterval || !p.mayOrder(now) || p.startsHeld() {
		return
	}
	p.placedAt = now
	fillersDue := now.Sub(p.fillersPlacedAt) >= min(placementInterval+p.delay, maxFillerInterval)
	if fillersDue {
		p.fillersPlacedAt = now
		p.misfits.BeginPass()
		p.copyGains()
	}
	for _, w := range p.waitingSteps {
		w.claim = p.claimOf(now, w.job, w.occurrence.Number, w.step)
	}
	slices.SortStableFunc(p.waitingSteps, func(a, b *waitingStep) int { return order.Compare(a.claim, b.claim) })
	p.reserveWorkers(now)
	rest := p.waitingSteps[:0]
	var full noRoom
	use := map[string]float64{}
	for _, w := range p.waitingSteps {
		w.dropSettled()
		if w.job.State.Final() || len(w.tasks) == 0 {
			continue
		}
		if !fillersDue && comparesBeside(&w.job.Steps[w.step]) {
			rest = append(rest, w)
			continue
		}
		p.updateOverdue(now, w, use)
		if n := roomNeedOf(w); (p.reservationReady(w) || !full.covers(n)) && !p.placeStep(now, w) {
			full = append(full, n)
		}
		if w.lastResortAt.Equal(now) {
			delete(use, w.job.Queue.Service) // throttled fillers take memory
		}
		if len(w.tasks) > 0 {
			p.logWaiting(now, w)
			rest = append(rest, w)
		}
	}
	clear(p.waitingSteps[len(rest):])
	p.waitingSteps = rest
}

// copyGains brings gains up to date.
func (p *Planner) copyGains() {
	p.gains = p.gains[:0]
	for _, h := range p.workerList {
		p.gains = append(p.gains, h.Gains)
	}
}

// dropSettled takes the tasks off the waiting list that are done or have a run. Only
// tasks without either may be placed, whatever queued them.
func (w *waitingStep) dropSettled() {
	tasks := w.occurrence.Steps[w.step].Tasks
	w.tasks = slices.DeleteFunc(w.tasks, func(k int) bool { return tasks[k].Done || len(tasks[k].Runs) > 0 })
}

const (
	// lastResortDelay is how long a step waits before one of its tasks may go to a
	// worker that suits it less. The record of the run and its start fit before
	// heldUpDelay.
	lastResortDelay = 2 * time.Second
	// maxLastResortUse is the share of a service's processors or memory in use above which
	// tasks wait for a worker that suits them: on a busy service, those that run or come
	// next would pay for it.
	maxLastResortUse = 0.6
	// maxProbeWait is how long a step waits for the result of another task that probes
	// a suspected worker: a lasting task never gives one.
	maxProbeWait = 2500 * time.Millisecond
	// maxLastAttemptWait is how long a task with its last attempt waits for a worker on
	// which no others have failed. It is the longest pause of a suspected worker.
	maxLastAttemptWait = 10 * time.Second
)

// updateOverdue sets which workers that suit it less a step may use in a pass. The time
// counts in which no task of the step runs; of lasting tasks each one is needed.
func (p *Planner) updateOverdue(now time.Time, w *waitingStep, use map[string]float64) {
	if !w.job.Steps[w.step].Lasting && w.running() {
		w.ranAt = now
	}
	w.overdue = p.isOverdue(now, w, use)
	idle := now.Sub(w.waitingSince)
	if w.ranAt.After(w.waitingSince) {
		idle = now.Sub(w.ranAt)
	}
	w.longOverdue, w.mayRiskAll = w.overdue && idle >= maxProbeWait, w.overdue && idle >= maxLastAttemptWait
}

// running reports whether a task of the step has a run.
func (w *waitingStep) running() bool {
	return slices.ContainsFunc(w.occurrence.Steps[w.step].Tasks, func(t jobs.Task) bool { return len(t.Runs) > 0 })
}

// isOverdue reports whether tasks of a step have waited for lastResortDelay while none
// of the step ran and much of the service was unused. Lasting tasks are all needed, so
// each of them counts, however busy the service is.
func (p *Planner) isOverdue(now time.Time, w *waitingStep, use map[string]float64) bool {
	if w.waitingSince.IsZero() || now.Sub(w.waitingSince) < lastResortDelay {
		return false
	}
	if w.job.Steps[w.step].Lasting {
		return true
	}
	if now.Sub(w.lastResortAt) < lastResortDelay || w.running() {
		return false
	}
	service := w.job.Queue.Service
	if _, known := use[service]; !known {
		use[service] = p.serviceUse(service)
	}
	return use[service] <= maxLastResortUse
}

// serviceUse returns the share of the processors or of the memory of a service that is in
// use, whichever is larger.
func (p *Planner) serviceUse(service string) float64 {
	var used, capacity sched.Resources
	for _, h := range p.workers {
		if h.Listed && h.Service == service && !p.Evacuated(h.DataCentre) {
			used, capacity = used.Plus(h.Used), capacity.Plus(h.Capacity)
		}
	}
	return max(float64(used.Processors)/float64(max(1, capacity.Processors)), float64(used.Memory)/float64(max(1, capacity.Memory)))
}

// roomNeed is what decides whether the workers have room for tasks of a step.
type roomNeed struct {
	service, label string
	// filler is set if placement compares the task with the tasks beside it, which
	// depends on its image then. image is empty otherwise.
	filler bool
	image  string
	// overdue steps may use workers that others don't, and those that are so for long still
	// more.
	overdue, longOverdue bool
	needs                sched.Resources
	// late is the bound of the run time for the look-ahead placement. Shorter tasks may
	// have room where others don't.
	late time.Duration
	// members is how many tasks must have room at the same time: all of a gang.
	members int
}

func roomNeedOf(w *waitingStep) roomNeed {
	s := &w.job.Steps[w.step]
	n := roomNeed{service: w.job.Queue.Service, label: s.Label, overdue: w.overdue, longOverdue: w.longOverdue, needs: s.Counted(), late: w.late, members: 1}
	switch {
	case s.Gang:
		n.members = s.Tasks
	case comparesBeside(s):
		n.filler, n.image, n.needs = true, s.Image, s.Needs
	}
	return n
}

// noRoom holds the needs for which a pass has found no room. A step that needs as much
// as one of them, or more, for as many tasks at the same time, can't be placed in that
// pass either. In a burst a hundred steps wait with different needs, and looking at all
// workers for each of them in every pass took more processor time than a small instance
// has.
type noRoom []roomNeed

// covers reports whether there is no room for the need.
func (f noRoom) covers(n roomNeed) bool {
	for _, x := range f {
		if x.service == n.service && x.label == n.label && x.filler == n.filler && x.image == n.image &&
			(x.overdue || !n.overdue) && (x.longOverdue || !n.longOverdue) && x.members <= n.members &&
			x.late <= n.late && x.needs.Fits(n.needs) {
			return true
		}
	}
	return false
}

// claimOf returns the claim by which the waiting tasks of a step are ordered.
// Lasting steps have no objective; their class is the zero one.
func (p *Planner) claimOf(now time.Time, j *job, occurrence, s int) order.Claim {
	step := &j.Steps[s]
	c := order.Claim{Priority: j.Queue.Priority, Lasting: step.Lasting, Begun: j.started, Due: j.SubmittedAt}
	if j.Schedule.Times > 0 {
		c.Due = j.Schedule.Due(occurrence)
	}
	if step.Lasting {
		return c
	}
	chain := p.chainOf(&j.Job.Job)
	c.Class = order.Outlook{
		Due: c.Due, Chain: slices.Max(chain), Left: chain[s], Stretch: j.Queue.Stretch, Goal: j.Queue.Goal,
	}.Class(now)
	return c
}

// placeStep places tasks of a step while there is room. It returns false if the
// workers have no room for another step with the same roomNeed. It returns true where
// only this step may be short of workers, because of PerWorker or advice.
func (p *Planner) placeStep(now time.Time, w *waitingStep) bool {
	step := &w.job.Steps[w.step]
	if w.job.Queue.Advice != nil && !p.ensureAdvice(now, w) {
		return true
	}
	if step.Gang {
		return p.placeGang(now, w)
	}
	before := len(w.tasks)
	held := p.placeSuspects(now, w)
	defer func() {
		w.tasks = append(w.tasks, held...)
		p.logPlaced(now, w, before-len(w.tasks))
	}()
	if len(w.tasks) == 0 {
		return true
	}
	r := p.rank(now, w)
	for next := 0; next < len(w.tasks); {
		index := w.tasks[next]
		h := r.best(index)
		switch {
		case h.Host == nil && len(r.candidates) == 0:
			return step.PerWorker > 0 || w.job.Queue.Advice != nil
		case h.Host == nil:
			next++ // other tasks may go where this one may not
			continue
		}
		w.tasks = slices.Delete(w.tasks, next, next+1)
		s := p.placeTask(now, w, index, h.Host, w.occurrence.Steps[w.step].Tasks[index].LastRun+1)
		if h.crowded || h.suspected {
			p.useLastResort(now, w, s, h)
			if !step.Lasting {
				return true
			}
		}
		r.updateAfterPlacing(h.Host)
	}
	return true
}

// useLastResort notes that a run was placed on a worker that suits it less.
func (p *Planner) useLastResort(now time.Time, w *waitingStep, s *hosts.Slot, h scoredWorker) {
	w.lastResortAt = now
	s.Crowded = h.crowded
	if h.suspected {
		p.judge.PlacedEarly(now, h.ID)
	}
	p.options.Log.Info("lastResort", zap.Stringer("task", s.Task), zap.Int32("run", int32(s.Run)),
		zap.String("worker", string(h.ID)), zap.Bool("crowded", h.crowded), zap.Bool("suspected", h.suspected),
		zap.Duration("waited", now.Sub(w.waitingSince)))
}

// placeTask gives a task a run with number n on a worker, and returns its slot. The
// start order is sent once the placement is durable.
func (p *Planner) placeTask(now time.Time, w *waitingStep, index int, h *hosts.Host, n sched.RunNumber) *hosts.Slot {
	j := w.job
	w.occurrence.Steps[w.step].Tasks[index].AddRun(n, h.ID, h.NewestIncarnation(), now)
	key := hosts.Key{Task: w.taskRef(index), Run: n}
	slot := j.newSlot(key)
	slot.PlacedAt, slot.Incarnation = now, h.NewestIncarnation()
	h.Add(slot)
	p.judge.Placed(now, h.ID)
	p.notePlaced(now, w, h)
	p.options.Log.Debug("runPlaced", zap.Stringer("task", key.Task), zap.Int32("run", int32(n)),
		zap.String("worker", string(h.ID)),
		zap.String("image", slot.Step.Image), zap.Int64("processors", slot.Step.Needs.Processors),
		zap.Bool("filler", slot.Step.Filler), zap.Bool("lasting", slot.Step.Lasting))
	j.pendingStarts = append(j.pendingStarts, placement{h.ID, key})
	p.markDirty(j)
	return slot
}

// taskRef returns the reference of the task of the step with the index.
func (w *waitingStep) taskRef(index int) sched.TaskRef {
	return sched.TaskRef{Job: w.job.ID, Occurrence: w.occurrence.Number, Step: w.step, Index: index}
}
