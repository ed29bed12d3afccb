package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/jobs"
	"github.com/parsleybarrow/parsleybarrow/pkg/order"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// maxExplainedSteps and maxExplainedWorkers bound an explanation and the work for it: a
	// step takes one look at all workers.
	maxExplainedSteps   = 4
	maxExplainedWorkers = 5
	// explainInterval is the least time between two explanations. With 890 workers one of four
	// steps takes 0.2 ms, in which no task is placed.
	explainInterval = 100 * time.Millisecond
)

// Explanation tells where the tasks of a job run, would go now, or why they wait.
type Explanation struct {
	// State is 0 for a job that wasn't submitted.
	State sched.JobState
	// Steps holds the steps that aren't done, those that run last, up to a limit. Omitted is
	// the number of the others.
	Steps   []ExplainedStep
	Omitted int
}

// ExplainedStep explains one step of an occurrence.
type ExplainedStep struct {
	Occurrence, Step int
	// Waiting and Running count the tasks without and with a run. Later is set if earlier
	// steps must end first.
	Waiting, Running int
	Later            bool
	// Class is what the job is worth now, and Before the number of waiting steps with a
	// better claim.
	Class  order.Class
	Before int
	// Obstacles counts the workers that take no task, by the first reason that applies.
	Obstacles map[string]int
	// Workers holds workers with a run, with a hold, and those with room, the best first.
	Workers []ExplainedWorker
}

// ExplainedWorker is a worker in the explanation of a step.
type ExplainedWorker struct {
	ID sched.InstanceID
	// Role is runs, held or room.
	Role string
	// Score is that of a worker with room; the highest is chosen.
	Score float64
	Free  sched.Resources
	// Wait is the time until held room is expected.
	Wait time.Duration
}

// Explain explains a job of the planner by its id or, if the id is unknown and the job isn't
// nil, what would become of that job if it was submitted now. It changes nothing else. It
// returns false if there is no such job, or the last explanation was too recent.
func (p *Planner) Explain(now time.Time, id sched.JobID, other *sched.Job) (Explanation, bool) {
	j := p.jobs[id]
	if j == nil && other == nil || now.Sub(p.explainedAt) < explainInterval {
		return Explanation{}, false
	}
	p.explainedAt = now
	var e Explanation
	if j != nil {
		e.State = j.State
	} else {
		j = &job{Job: jobs.New(other.WithSubmittedAt(now))}
		j.Begin(now, other.TaskCount())
	}
	for _, n := range slices.Sorted(maps.Keys(j.Occurrences)) {
		o := j.Occurrences[n]
		for s := range o.Steps {
			switch {
			case o.Complete(s):
			case len(e.Steps) == maxExplainedSteps:
				e.Omitted++
			default:
				e.Steps = append(e.Steps, p.explainStep(now, j, o, s))
			}
		}
	}
	return e, true
}

// explainStep explains a step that isn't complete.
func (p *Planner) explainStep(now time.Time, j *job, o *jobs.Occurrence, s int) ExplainedStep {
	w := &waitingStep{job: j, occurrence: o, step: s, claim: p.claimOf(now, j, o.Number, s)}
	for _, x := range p.waitingSteps {
		if x.occurrence == o && x.step == s {
			w.planned, w.waitingSince = x.planned, x.waitingSince
		}
	}
	w.late = p.lateOf(w)
	x := ExplainedStep{Occurrence: o.Number, Step: s, Later: !o.Steps[s].Open, Class: w.claim.Class, Obstacles: map[string]int{}}
	for k := range o.Steps[s].Tasks {
		t := &o.Steps[s].Tasks[k]
		switch {
		case t.Done:
		case len(t.Runs) == 0:
			x.Waiting++
		default:
			x.Running++
			if h := p.workers[t.Runs[0].Worker]; h != nil && len(x.Workers) < maxExplainedWorkers {
				x.Workers = append(x.Workers, ExplainedWorker{ID: h.ID, Role: "runs", Free: h.Free()})
			}
		}
	}
	if x.Later || x.Waiting == 0 {
		return x
	}
	for _, other := range p.waitingSteps {
		if len(other.tasks) > 0 && other.occurrence != o && order.Compare(other.claim, w.claim) < 0 {
			x.Before++
		}
	}
	x.Workers = append(x.Workers, p.explainHolds(now, w)...)
	x.Workers = append(x.Workers, p.explainRoom(now, w, x.Obstacles)...)
	return x
}

// explainHolds returns the workers with holds for a step.
func (p *Planner) explainHolds(now time.Time, w *waitingStep) []ExplainedWorker {
	var out []ExplainedWorker
	if p.ahead == nil {
		for h, r := range p.reservations {
			if r.step.occurrence == w.occurrence && r.step.step == w.step {
				out = append(out, ExplainedWorker{ID: h.ID, Role: "held", Free: h.Free()})
			}
		}
		return out
	}
	for _, x := range p.ahead.plan.Holds(waitingStepRef(w)) {
		if h := p.workers[x.Worker.ID]; h != nil && len(out) < maxExplainedWorkers {
			out = append(out, ExplainedWorker{ID: h.ID, Role: "held", Free: h.Free(), Wait: max(0, x.Promise.Sub(now))})
		}
	}
	return out
}

// explainRoom returns the workers with room for a task of a step, the best ones first, and
// counts the reasons of the others. Unlike a placement it asks the judge only what changes
// nothing: Avoid may open a probe window.
func (p *Planner) explainRoom(now time.Time, w *waitingStep, obstacles map[string]int) []ExplainedWorker {
	step := &w.job.Steps[w.step]
	rack := p.preferredRack(w, step)
	var out []ExplainedWorker
	for _, h := range p.workerList {
		if why := p.explainObstacle(now, w, h); why != "" {
			obstacles[why]++
			continue
		}
		score, fits := p.score(h, waitingStepRef(w), step)
		if !fits {
			obstacles["disturbed"]++
			continue
		}
		if rack != "" && h.Rack() == rack {
			score += rackWeight
		}
		out = append(out, ExplainedWorker{ID: h.ID, Role: "room", Score: score, Free: h.Free()})
	}
	slices.SortFunc(out, func(a, b ExplainedWorker) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	return out[:min(len(out), maxExplainedWorkers)]
}

// explainObstacle returns why a worker takes no task of the step, empty if it may.
func (p *Planner) explainObstacle(now time.Time, w *waitingStep, h *hosts.Host) string {
	step := &w.job.Steps[w.step]
	need := step.Counted()
	switch {
	case !need.Fits(h.Capacity):
		return "tooSmall"
	case h.Listed && h.Failures == 0 && !h.AllKnown():
		return "runsUnknown"
	case !p.inService(now, h, w.job.Queue.Service, step):
		return "unusable"
	case isolated(now, h):
		return "isolated"
	case !need.Fits(h.Free()):
		return "full"
	case !need.Fits(p.roomFor(w, h)):
		return "heldForOthers"
	case p.atTaskLimit(w, step, h):
		return "taskLimit"
	case p.judge.Suspected(h.ID):
		return "suspected"
	case !p.hasTicket(now, w, h):
		return "unadvised"
	}
	return ""
}
