package cell

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/jobs"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// applyEnds applies the ends of runs that a worker lists, oldest first, and skips
// those that were applied before.
func (p *Planner) applyEnds(now time.Time, h *hosts.Host, ended []sched.EndedRun) {
	for _, e := range ended {
		if e.Number <= h.AppliedEnd {
			continue
		}
		h.AppliedEnd = e.Number
		k := hosts.Key{Task: e.Task, Run: e.Run}
		s := h.Remove(k)
		if s == nil {
			p.logUnknownEnd(e)
			p.applyLateEnd(now, h, e)
			continue
		}
		p.stats.Ends++
		h.Ended(now, s)
		p.applyEnd(now, h, s, e)
	}
	if len(ended) < fullEndList {
		forgetGivenUp(h)
	}
}

// logUnknownEnd logs the end of a run that the planner doesn't have on the
// worker, such as one that was lost before.
func (p *Planner) logUnknownEnd(e sched.EndedRun) {
	p.options.Log.Info("endOfOther", zap.Stringer("task", e.Task), zap.Int32("run", int32(e.Run)),
		zap.Int("end", int(e.End)))
}

// applyEnd applies the end of one run: its task is done, its job fails, or the
// task waits for another run.
func (p *Planner) applyEnd(now time.Time, h *hosts.Host, s *hosts.Slot, e sched.EndedRun) {
	j := p.jobs[s.Task.Job]
	if j == nil {
		return
	}
	t := j.Task(s.Task)
	if t == nil || !t.RemoveRun(s.Run, h.ID) {
		return
	}
	p.markDirty(j)
	if s.Phase != hosts.Started {
		p.runStarted(now, s)
	}
	p.options.Log.Debug("runEnded", zap.Stringer("task", s.Task), zap.Int32("run", int32(s.Run)),
		zap.Int("end", int(e.End)), zap.String("worker", string(h.ID)), zap.Duration("after", now.Sub(s.PlacedAt)))
	p.saveCheckpoint(j, s.Task, e.Checkpoint)
	step := &j.Steps[s.Task.Step]
	p.judgeWorker(now, h, s, j, e.End)
	if e.End == sched.EndDone || e.End == sched.EndFailed {
		j.noteProven(s.Task)
	}
	switch {
	case e.End == sched.EndDone && !step.Lasting:
		if !s.StartedAt.IsZero() && s.Run == 1 {
			p.runTimes.Observe(j.Queue.Name, step, now.Sub(s.StartedAt))
		}
		if step.Gang {
			p.completeGang(now, j, s.Task)
		} else {
			p.completeTask(now, j, s.Task)
		}
		return
	case e.End == sched.EndFailed && !t.Done:
		if p.countFailure(now, h, s, j, t) {
			return
		}
	}
	if step.Gang {
		p.stopGang(now, j, s.Task, s.Run)
	}
	p.requeue(j, s.Task, t)
}

// judgeWorker reports the end of a run to the judge. Only ends as done and as
// failed say something about the worker.
func (p *Planner) judgeWorker(now time.Time, h *hosts.Host, s *hosts.Slot, j *job, e sched.RunEnd) {
	results := map[sched.RunEnd]sched.AttemptState{
		sched.EndDone: sched.AttemptDone, sched.EndFailed: sched.AttemptFailed,
	}
	if r, known := results[e]; known {
		p.judge.AttemptEnded(now, h.ID, sched.TaskID(s.Task.String()), failureKind(j, s.Step), r)
	}
}

// failureKind returns the kind under which the failures of a task are compared
// across workers: its image, or else its queue.
func failureKind(j *job, s *sched.Step) string {
	if s.Image != "" {
		return s.Image
	}
	return string(j.Queue.Name)
}

// countFailure counts a failed run. It returns true if the task has used up its
// attempts and the job has failed with it. A gang counts as one task; lasting
// tasks have no limit.
func (p *Planner) countFailure(now time.Time, h *hosts.Host, s *hosts.Slot, j *job, t *jobs.Task) bool {
	p.stats.Failed++
	var failures int
	if s.Step.Gang {
		failures = p.countGangFailure(j, s.Task, s.Run)
	} else {
		t.Failures++
		failures = t.Failures
	}
	p.options.Log.Info("runFailed", zap.Stringer("task", s.Task), zap.Int32("run", int32(s.Run)),
		zap.String("worker", string(h.ID)), zap.Int("failures", failures))
	if s.Step.Lasting || failures < j.Queue.MaxAttempts || j.State.Final() {
		return false
	}
	p.options.Log.Info("jobFailed", zap.String("job", string(j.ID)), zap.Stringer("task", s.Task),
		zap.Int("failures", failures))
	j.Failure = sched.FailureAttempts
	p.endJob(now, j, sched.JobFailed)
	return true
}

// completeTask marks a task as done, stops its other copies and queues the tasks
// of the steps that open because of it.
func (p *Planner) completeTask(now time.Time, j *job, r sched.TaskRef) {
	if j.State.Final() {
		return
	}
	t := j.Task(r)
	o := j.Occurrences[r.Occurrence]
	// The task is marked as done before its copies are stopped: a copy that was
	// never started is given up at once, and must not make the task wait again.
	opened := j.Finish(now, r)
	for _, x := range slices.Clone(t.Runs) {
		p.stopRun(now, r, x.Number, x.Worker)
	}
	for _, s := range opened {
		p.enqueueStep(j, o, s)
	}
	if j.State.Final() {
		p.options.Log.Info("jobCompleted", zap.String("job", string(j.ID)), zap.Duration("after", now.Sub(j.SubmittedAt)))
		delete(p.scheduledJobs, j.ID)
	}
}

// requeue lets a task wait for a worker if it isn't done and has no run left.
func (p *Planner) requeue(j *job, r sched.TaskRef, t *jobs.Task) {
	if !j.State.Final() && !t.Done && len(t.Runs) == 0 {
		p.enqueue(j, j.Occurrences[r.Occurrence], r.Step, r.Index)
	}
}

// loseRun gives up a run that isn't on the worker and never will be, and requeues
// its task.
func (p *Planner) loseRun(now time.Time, h *hosts.Host, s *hosts.Slot, why string) {
	h.Remove(s.Key)
	j := p.jobs[s.Task.Job]
	if j == nil {
		return
	}
	t := j.Task(s.Task)
	if t == nil || !t.RemoveRun(s.Run, h.ID) {
		return
	}
	p.stats.Lost++
	p.options.Log.Info("runLost", zap.Stringer("task", s.Task), zap.Int32("run", int32(s.Run)),
		zap.String("worker", string(h.ID)), zap.String("why", why), zap.Duration("after", now.Sub(s.PlacedAt)))
	p.saveCheckpoint(j, s.Task, s.Checkpoint)
	p.markDirty(j)
	if s.Step.Gang && !j.State.Final() {
		p.stopGang(now, j, s.Task, s.Run)
	}
	p.requeue(j, s.Task, t)
}

// enqueueStep queues the tasks of a step that aren't done and have no run.
func (p *Planner) enqueueStep(j *job, o *jobs.Occurrence, s int) {
	for k := range o.Steps[s].Tasks {
		if t := &o.Steps[s].Tasks[k]; !t.Done && len(t.Runs) == 0 {
			p.enqueue(j, o, s, k)
		}
	}
}

// enqueue lets task k of step s wait for a worker.
func (p *Planner) enqueue(j *job, o *jobs.Occurrence, s, k int) {
	if o == nil {
		return
	}
	for _, w := range p.waitingSteps {
		if w.occurrence == o && w.step == s {
			w.tasks = append(w.tasks, k)
			return
		}
	}
	p.waitingSteps = append(p.waitingSteps, &waitingStep{job: j, occurrence: o, step: s, tasks: []int{k}})
}

// Tick does what is due by time alone: it opens occurrences, moves runs off slow
// or draining workers, repeats stop orders, gives up runs whose lease has ended,
// drops what has expired, and sends exchanges. The owner calls it several times a
// second.
func (p *Planner) Tick(now time.Time) {
	for _, j := range p.scheduledJobs {
		p.openOccurrences(now, j)
	}
	for _, h := range p.workers {
		p.tickWorker(now, h)
		if mayDrop(now, h) {
			p.droppedBumps = max(p.droppedBumps, h.Bumps())
			p.dropWorker(h)
		}
	}
	p.expireJobs(now)
	p.dropUnusedAdvice(now)
	p.sendExchanges(now)
}

// runCheckInterval is the time between two checks of the runs of a worker for what is
// due by time alone. Nothing in them has to happen more precisely than that.
const runCheckInterval = 100 * time.Millisecond

// tickWorker does the part of Tick for one worker.
func (p *Planner) tickWorker(now time.Time, h *hosts.Host) {
	if len(h.Slots) == 0 || now.Sub(h.RunsCheckedAt) < runCheckInterval {
		return
	}
	h.RunsCheckedAt = now
	if p.mayOrder(now) {
		p.drainWorker(now, h)
		p.relieveStragglers(now, h)
	}
	over := now.After(h.LeaseEnd()) && (h.Failures > 0 || h.Address == "")
	for _, s := range h.Slots {
		switch {
		case over && s.Phase != hosts.Recorded:
			p.giveUpWithLease(now, h, s)
		case s.Stopping && now.After(s.StopAt) && p.mayOrder(now):
			p.stopSlot(now, h, s)
		}
	}
}

// statusKeptMargin is added to Options.StatusKept.
const statusKeptMargin = 5 * time.Second

// expireJobs drops jobs that ended long ago, oldest first. A job whose runs may
// still be alive holds up those behind it.
func (p *Planner) expireJobs(now time.Time) {
	n := 0
	for _, j := range p.finalJobs {
		if now.Sub(j.Ended) < p.options.StatusKept+statusKeptMargin {
			break
		}
		if j.dirty || j.HasRuns() {
			break
		}
		n++
		delete(p.jobs, j.ID)
		p.expiredJobs = append(p.expiredJobs, j.ID)
	}
	p.finalJobs = p.finalJobs[n:]
}
