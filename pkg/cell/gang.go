package cell

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// stepRefOf returns the step of a task.
func stepRefOf(r sched.TaskRef) sched.StepRef {
	return sched.StepRef{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step}
}

// placeGang places all tasks of a gang at once under one run number, or none of
// them. Its result is that of placeStep. All resume from the checkpoint that is kept
// with the first member.
func (p *Planner) placeGang(now time.Time, w *waitingStep) bool {
	tasks := w.occurrence.Steps[w.step].Tasks
	if len(w.tasks) < len(tasks) {
		return true // some members of the last run haven't ended
	}
	members := p.gangWorkers(now, w)
	if members == nil {
		return w.job.Steps[w.step].PerWorker > 0 || w.job.Queue.Advice != nil || w.overdue && !p.gangMayRisk(now, w)
	}
	n := sched.RunNumber(0)
	for k := range tasks {
		n = max(n, tasks[k].LastRun)
	}
	p.probeEarly(now, w, members)
	saved := tasks[0].Checkpoint
	for k := range tasks {
		tasks[k].Checkpoint = saved
		p.placeTask(now, w, k, members[k], n+1)
	}
	w.tasks = nil
	return true
}

// gangMayRisk reports whether a gang may use all suspected workers once it is overdue: it
// hasn't failed before, and may fail once more without failing its job.
func (p *Planner) gangMayRisk(now time.Time, w *waitingStep) bool {
	return w.occurrence.Steps[w.step].Tasks[0].Failures == 0 && !p.riskOf(now, w, 0).lastAttempt
}

// probeEarly notes for each suspected worker among the members that the gang is its probe.
func (p *Planner) probeEarly(now time.Time, w *waitingStep, members []*hosts.Host) {
	for _, h := range slices.Compact(slices.Clone(members)) {
		if p.judge.Avoid(now, h.ID) {
			w.lastResortAt = now
			p.judge.PlacedEarly(now, h.ID)
			p.options.Log.Info("lastResort", zap.String("job", string(w.job.ID)), zap.Int("step", w.step),
				zap.String("worker", string(h.ID)), zap.Bool("suspected", true), zap.Duration("waited", now.Sub(w.waitingSince)))
		}
	}
}

// saveCheckpoint sets the checkpoint that the next run of a task resumes from.
// A checkpoint of any member is good for the whole gang; it is kept with the
// first member.
func (p *Planner) saveCheckpoint(j *job, r sched.TaskRef, c sched.CheckpointID) {
	if c == "" {
		return
	}
	if j.Steps[r.Step].Gang {
		r.Index = 0
	}
	if t := j.Task(r); t != nil {
		t.Checkpoint = c
	}
}

// gangWorkers returns a worker for each member of a gang, nil if there is no room
// for all of them. If the tasks are faster on one rack, the racks are tried one
// by one first, that of the data before the others. An overdue gang may use suspected
// workers where it must, later if it has failed before.
func (p *Planner) gangWorkers(now time.Time, w *waitingStep) []*hosts.Host {
	step := &w.job.Steps[w.step]
	risk := p.riskOf(now, w, 0)        // the first member counts the failures of all
	risky := map[*hosts.Host]float64{} // the evidence against the suspected workers
	var usable []*hosts.Host
	for _, h := range p.workers {
		evidence, trusted := p.trust(now, w, h)
		if !trusted || evidence > 0 && !risk.allows(h) ||
			!p.inService(now, h, w.job.Queue.Service, step) || !p.hasTicket(now, w, h) {
			continue
		}
		if usable = append(usable, h); evidence > 0 {
			risky[h] = evidence
		}
	}
	slices.SortFunc(usable, func(a, b *hosts.Host) int {
		return cmp.Or(cmp.Compare(risky[a], risky[b]), compareFree(a, b))
	})
	if step.SameRack || step.DataRack != "" {
		racks := map[string][]*hosts.Host{}
		var names []string
		for _, h := range usable {
			if len(racks[h.Rack()]) == 0 {
				names = append(names, h.Rack())
			}
			racks[h.Rack()] = append(racks[h.Rack()], h)
		}
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(compareTrueFirst(a == step.DataRack, b == step.DataRack), cmp.Compare(a, b))
		})
		for _, r := range names {
			if m := p.pack(w, racks[r]); m != nil {
				return m
			}
		}
	}
	return p.pack(w, usable)
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// pack fills the workers in their order with the tasks of a waiting step. It returns a
// worker for each task, nil if they don't all fit.
func (p *Planner) pack(w *waitingStep, usable []*hosts.Host) []*hosts.Host {
	tasks := w.job.Steps[w.step].Tasks
	var out []*hosts.Host
	for _, h := range usable {
		out = append(out, slices.Repeat([]*hosts.Host{h}, p.fitting(w, h, tasks-len(out)))...)
	}
	if len(out) < tasks {
		return nil
	}
	return out
}

// fitting returns how many tasks of a waiting step fit on a worker, n at most.
func (p *Planner) fitting(w *waitingStep, h *hosts.Host, n int) int {
	step := &w.job.Steps[w.step]
	if step.PerWorker > 0 {
		n = min(n, step.PerWorker)
	}
	need, free := step.Counted(), p.roomFor(w, h)
	for k := range n {
		if !need.Fits(free) {
			return k
		}
		free = free.Minus(need)
	}
	return n
}

// stopGang stops the members of a gang under run number n, since one of them has
// ended or is lost.
func (p *Planner) stopGang(now time.Time, j *job, r sched.TaskRef, n sched.RunNumber) {
	o := j.Occurrences[r.Occurrence]
	if o == nil {
		return
	}
	for k := range o.Steps[r.Step].Tasks {
		for _, x := range o.Steps[r.Step].Tasks[k].Runs {
			if x.Number == n {
				p.stopRun(now, sched.TaskRef{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step, Index: k}, n, x.Worker)
			}
		}
	}
}

// completeGang marks all members of a gang as done, since they end together.
func (p *Planner) completeGang(now time.Time, j *job, r sched.TaskRef) {
	o := j.Occurrences[r.Occurrence]
	for k := range o.Steps[r.Step].Tasks {
		p.completeTask(now, j, sched.TaskRef{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step, Index: k})
	}
}

// countGangFailure counts a failed run of a gang once, however many members
// failed, and returns the gang's failures. The count is kept with the first
// member.
func (p *Planner) countGangFailure(j *job, r sched.TaskRef, n sched.RunNumber) int {
	first := j.Task(sched.TaskRef{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step})
	if p.countedGangRuns[stepRefOf(r)] < int(n) {
		p.countedGangRuns[stepRefOf(r)] = int(n)
		first.Failures++
	}
	return first.Failures
}
