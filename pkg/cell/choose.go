package cell

import (
	"slices"
	"strings"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/misfit"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// rackWeight is added to the score of a worker on the preferred rack.
	rackWeight = 2.0
	// failedOnPenalty is taken off the score of a worker on which the task has
	// failed before.
	failedOnPenalty = 3.0
	// lastResortPenalty is taken off the score of a worker that only an overdue step
	// may use. It outweighs everything else.
	lastResortPenalty = 100.0
)

// chooseWorker returns the best worker for a task, nil if none has room.
func (p *Planner) chooseWorker(now time.Time, w *waitingStep, index int) *hosts.Host {
	p.copyGains()
	return p.rank(now, w).best(index).Host
}

// ranking holds the scores of the workers for the tasks of one step. Tasks of a
// step are alike, so only the worker that got the last one needs a new score.
type ranking struct {
	planner     *Planner
	now         time.Time
	waitingStep *waitingStep
	// step is the description of that step.
	step *sched.Step
	// misfits holds the workers without room for the tasks if they are compared with the
	// tasks beside them, nil otherwise.
	misfits *misfit.Row
	// rack is the preferred rack, empty if there is none.
	rack string
	// candidates are the workers with room for a task.
	candidates []scoredWorker
}

// scoredWorker is a worker with room for a task. The highest score is best.
type scoredWorker struct {
	*hosts.Host
	score float64
	// Only an overdue step may use a worker that is crowded, with serving tasks that
	// can't bear the filler at full pace, or suspected.
	crowded, suspected bool
}

// better reports whether a worker comes before another one. Ties go to the lowest id.
func (s scoredWorker) better(o scoredWorker) bool {
	return s.score > o.score || s.score == o.score && s.ID < o.ID
}

// rank scores all workers that have room for a task of the step. gains must be up to date.
func (p *Planner) rank(now time.Time, w *waitingStep) *ranking {
	r := &ranking{planner: p, now: now, waitingStep: w, step: &w.job.Steps[w.step]}
	if comparesBeside(r.step) {
		r.misfits = p.misfits.Row(r.step.Image)
	}
	r.rack = p.preferredRack(w, r.step)
	skipMisfits := r.misfits != nil && !w.overdue
	for n, h := range p.workerList {
		if skipMisfits && r.misfits.Has(n, p.gains[n], r.step.Needs.Processors, r.step.Needs.Memory) {
			continue
		}
		if c, fits := r.rate(h); fits {
			r.candidates = append(r.candidates, c)
		}
	}
	return r
}

// rate scores a worker, and reports whether a task may go there.
func (r *ranking) rate(h *hosts.Host) (scoredWorker, bool) {
	p, c := r.planner, scoredWorker{Host: h}
	p.stats.Ratings++
	// The room is compared first: it is the cheapest test and fails most often.
	if need := r.step.Counted(); !need.Fits(h.Free()) || !need.Fits(p.roomFor(r.waitingStep, h)) {
		if r.misfits != nil && r.step.Needs.Memory > h.Free().Memory {
			r.misfits.AddFull(h.Place, h.Gains, r.step.Needs.Memory)
		}
		return c, false
	}
	if !p.inService(r.now, h, r.waitingStep.job.Queue.Service, r.step) ||
		p.atTaskLimit(r.waitingStep, r.step, h) || !p.hasTicket(r.now, r.waitingStep, h) {
		return c, false
	}
	evidence, fits := p.trust(r.now, r.waitingStep, h)
	if !fits {
		return c, false
	}
	c.score, fits = p.score(h, waitingStepRef(r.waitingStep), r.step)
	if !fits && r.misfits != nil {
		r.misfits.AddDisturbing(h.Place, h.Gains, r.step.Needs.Processors)
	}
	if !fits && r.waitingStep.overdue {
		c.score, c.crowded, fits = p.crowdedScore(h, r.step)-lastResortPenalty, true, true
	}
	if evidence > 0 {
		c.score, c.suspected = c.score-lastResortPenalty-evidence, true
	}
	if r.rack != "" && h.Rack() == r.rack {
		c.score += rackWeight
	}
	return c, fits
}

// risk tells on which suspected workers a task may fail.
type risk struct {
	planner *Planner
	now     time.Time
	step    *waitingStep
	// task is empty if the task hasn't failed before.
	task sched.TaskID
	// lastAttempt is set if another failure would fail the job.
	lastAttempt bool
}

// riskOf returns the risk of a task of the step.
func (p *Planner) riskOf(now time.Time, w *waitingStep, index int) risk {
	failures := w.occurrence.Steps[w.step].Tasks[index].Failures
	x := risk{planner: p, now: now, step: w, lastAttempt: !w.job.Steps[w.step].Lasting && failures+1 >= w.job.Queue.MaxAttempts}
	if failures > 0 {
		x.task = sched.TaskID(w.taskRef(index).String())
	}
	return x
}

// failedOn reports whether the task has failed on a worker, or a gang has failed anywhere.
func (x risk) failedOn(h *hosts.Host) bool {
	return x.task != "" && (x.step.job.Steps[x.step.step].Gang || x.planner.judge.FailedOn(h.ID, x.task))
}

// allows reports whether the task may go to a suspected worker that its step may use. One
// that has failed there before waits longer. One that would fail its job goes there if the
// worker is suspected because of its own job only, or if it has waited for long.
func (x risk) allows(h *hosts.Host) bool {
	switch {
	case x.step.mayRiskAll:
		return true
	case x.lastAttempt:
		return x.step.longOverdue && !x.planner.judge.SuspectedByOthers(x.now, h.ID, x.step.owns)
	}
	return x.step.longOverdue || !x.failedOn(h)
}

// owns reports whether a task is one of the step's job.
func (w *waitingStep) owns(t sched.TaskID) bool {
	return strings.HasPrefix(string(t), string(w.job.ID)+".")
}

// best returns the worker with the highest score for a task, without a Host if there
// is none. Ties go to the lowest id.
func (r *ranking) best(index int) scoredWorker {
	x := r.planner.riskOf(r.now, r.waitingStep, index)
	var best scoredWorker
	for _, h := range r.candidates {
		if h.suspected && !x.allows(h.Host) {
			continue
		}
		if x.failedOn(h.Host) {
			h.score -= failedOnPenalty
		}
		if best.Host == nil || h.better(best) {
			best = h
		}
	}
	return best
}

// updateAfterPlacing scores a worker again after it got a task. All workers are
// scored again if the task has set the preferred rack.
func (r *ranking) updateAfterPlacing(h *hosts.Host) {
	if rack := r.planner.preferredRack(r.waitingStep, r.step); rack != r.rack {
		*r = *r.planner.rank(r.now, r.waitingStep)
		return
	}
	for k := range r.candidates {
		if r.candidates[k].Host != h {
			continue
		}
		if c, fits := r.rate(h); fits {
			r.candidates[k] = c
			return
		}
		r.candidates[k] = r.candidates[len(r.candidates)-1]
		r.candidates = r.candidates[:len(r.candidates)-1]
		return
	}
}

// comparesBeside reports whether placement compares a task of the step with those beside it:
// it is a filler that doesn't serve users itself.
func comparesBeside(s *sched.Step) bool { return s.Filler && s.TailGoal == 0 }

// score returns the score of a worker for a task of the step, and whether the
// task may go there as far as the tasks beside it are concerned. Scores of one
// kind of step are in shares of a worker.
func (p *Planner) score(h *hosts.Host, ref sched.StepRef, step *sched.Step) (float64, bool) {
	switch {
	case step.TailGoal > 0:
		return p.servingScore(h, ref, *step), true
	case step.Filler:
		return p.fillerScore(h, *step)
	}
	return h.ProcessorShare(h.Free().Processors), true
}

// preferredRack returns the rack on which a task of the step is fastest, empty if
// there is none: that of its data, else that of the running tasks of the step if
// they should share a rack.
func (p *Planner) preferredRack(w *waitingStep, step *sched.Step) string {
	if step.DataRack != "" || !step.SameRack {
		return step.DataRack
	}
	for _, t := range w.occurrence.Steps[w.step].Tasks {
		for _, r := range t.Runs {
			if h := p.workers[r.Worker]; h != nil {
				return h.Rack()
			}
		}
	}
	return ""
}

// usable reports whether tasks of the step may be placed on the worker, apart
// from room: the worker is in service for the step, not isolated and not suspected.
func (p *Planner) usable(now time.Time, h *hosts.Host, service string, step *sched.Step) bool {
	return p.inService(now, h, service, step) && !isolated(now, h) && !p.judge.Avoid(now, h.ID)
}

// trust reports whether tasks of a waiting step may be placed on the worker as far as
// suspicion is concerned. Nothing may be placed on an isolated one. An overdue step may
// use a suspected worker, and trust returns the evidence against it, which is above 0.
// There is one such step at a time, unless it is long overdue.
func (p *Planner) trust(now time.Time, w *waitingStep, h *hosts.Host) (float64, bool) {
	if isolated(now, h) {
		return 0, false
	}
	if !p.judge.Avoid(now, h.ID) {
		return 0, true
	}
	if !w.overdue {
		return 0, false
	}
	evidence, may := p.judge.EarlyProbe(now, h.ID)
	return max(evidence, minEvidence), may || w.longOverdue
}

// minEvidence stands for evidence that has expired while a worker is still suspected.
const minEvidence = 0.1

// usableFor reports whether tasks of a waiting step may be placed on the worker, apart
// from room.
func (p *Planner) usableFor(now time.Time, w *waitingStep, h *hosts.Host) bool {
	_, trusted := p.trust(now, w, h)
	return trusted && p.inService(now, h, w.job.Queue.Service, &w.job.Steps[w.step])
}

// inService reports whether the worker takes tasks of the step, and hasn't just refused a
// start for lack of room.
func (p *Planner) inService(now time.Time, h *hosts.Host, service string, step *sched.Step) bool {
	return p.takes(h, service, step) && now.After(h.NoRoomUntil)
}

// takes reports whether the worker is listed in its newest incarnation, in contact, not
// draining, of the service and with the label of the step, and has no further runs or ends
// that the planner doesn't know, and whether its data centre isn't being evacuated.
func (p *Planner) takes(h *hosts.Host, service string, step *sched.Step) bool {
	return h.Listed && h.EntryCurrent() && h.AllKnown() && h.Failures == 0 && !h.Draining &&
		h.Service == service && (step.Label == "" || slices.Contains(h.Labels, step.Label)) && !p.Evacuated(h.DataCentre)
}

// atTaskLimit reports whether the worker has as many tasks of the step as
// PerWorker allows.
func (p *Planner) atTaskLimit(w *waitingStep, step *sched.Step, h *hosts.Host) bool {
	if step.PerWorker == 0 {
		return false
	}
	n := 0
	for k := range h.Slots {
		if k.Task.Job == w.job.ID && k.Task.Occurrence == w.occurrence.Number && k.Task.Step == w.step {
			n++
		}
	}
	return n >= step.PerWorker
}
