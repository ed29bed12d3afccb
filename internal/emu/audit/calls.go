package audit

import (
	"fmt"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/book"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Submitting records that a caller is about to submit a job. Each call is followed
// by one of Submitted.
func (a *Audit) Submitting(id sched.JobID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callsOf(id).pending++
}

// Submitted records the answer to a submission. The code is 0 if there was no
// answer.
func (a *Audit) Submitted(id sched.JobID, code sched.Code) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.callsOf(id)
	c.pending--
	switch {
	case code == sched.CodeAccepted:
		c.accepted = true
	case code.Outcome() == sched.OutcomeRefusedNotRun:
		c.refusals++
	default:
		c.outcomeUnknown = true
	}
}

// CancelSent records that a caller is about to send a cancel.
func (a *Audit) CancelSent(id sched.JobID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callsOf(id).cancelSent = true
}

// Cancel records that a cancel was acknowledged. Only the first time counts.
func (a *Audit) Cancel(at time.Time, id sched.JobID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.callsOf(id); c.cancelledAt.IsZero() {
		c.cancelledAt = at
	}
}

// CheckState checks a job state that a caller received. Only the final states are
// checked.
func (a *Audit) CheckState(at time.Time, id sched.JobID, s sched.JobState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	truth, known := a.Jobs.Job(id)
	if !known {
		a.report(at, Mixed, "job %s is shown, but was never submitted", id)
		return
	}
	switch s {
	case sched.JobCompleted:
		if r, done := a.allDone(truth.Job); !done {
			a.report(at, Mixed, "job %s is shown as completed, but %v isn't done", id, r)
		}
	case sched.JobFailed:
		a.checkFailed(at, truth)
	case sched.JobCancelled:
		if !a.callsOf(id).cancelSent {
			a.report(at, Lost, "job %s is shown as cancelled, but no caller sent a cancel", id)
		}
	default: // a job that hasn't ended may be shown as anything
	}
}

// checkFailed checks that a job that is shown as failed has a cause for that.
func (a *Audit) checkFailed(at time.Time, truth book.JobTruth) {
	id := truth.Job.ID
	a.callsOf(id).shownFailed = true
	switch {
	case a.attemptsExhausted(truth.Job):
	case !a.crashedEnough(truth.Job):
		a.report(at, Lost, "job %s is shown as failed, but no task or gang has failed %d times or seen %d workers crash",
			id, truth.Job.Queue.MaxAttempts, suspectCrashes)
	case truth.CrashTasks == 0:
		if a.innocentFailed == nil {
			a.innocentFailed = map[sched.JobID]bool{}
		}
		a.innocentFailed[id] = true
	}
}

// CheckUnknown records that an instance doesn't know a job. That is a finding if the job
// was accepted and no cancel was acknowledged.
func (a *Audit) CheckUnknown(at time.Time, id sched.JobID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.callsOf(id); c.accepted && c.cancelledAt.IsZero() {
		a.report(at, Lost, "accepted job %s is unknown to an instance", id)
	}
}

// Unfinished returns the accepted jobs for which no cancel was sent, that were not shown
// as failed, and whose tasks neither are all done nor have used up their attempts. The
// order is random.
func (a *Audit) Unfinished() []sched.JobID {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []sched.JobID
	for id, c := range a.calls {
		truth, _ := a.Jobs.Job(id)
		_, done := a.allDone(truth.Job)
		if c.accepted && !c.cancelSent && !c.shownFailed && !done && !a.attemptsExhausted(truth.Job) {
			out = append(out, id)
		}
	}
	return out
}

// Accepted reports whether a submission of the job was accepted.
func (a *Audit) Accepted(id sched.JobID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.callsOf(id).accepted
}

// Describe returns a job's steps and what was observed of the tasks of its first
// occurrence, for a test's message.
func (a *Audit) Describe(id sched.JobID) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	truth, _ := a.Jobs.Job(id)
	out := fmt.Sprintf("job %s: schedule times %d, probability of failure %v, %d tasks of step %d crash after %s", id,
		truth.Job.Schedule.Times, truth.FailureProbability, truth.CrashTasks, truth.CrashStep, truth.CrashAfter)
	for s, step := range truth.Job.Steps {
		out += fmt.Sprintf("; step %d: %+v", s, step)
		for i := range step.Tasks {
			t := a.taskOf(sched.TaskRef{Job: id, Step: s, Index: i})
			x := a.crashesOf(subjectOf(sched.TaskRef{Job: id, Step: s, Index: i}, &step))
			out += fmt.Sprintf(" [task %d: %d done, %d failed, %d running, %d workers crashed, %d by it]",
				i, t.doneRuns, t.failures, len(t.running), x.shared, x.caused)
		}
	}
	return out
}

// allDone reports whether all tasks of a job are done, or returns one that isn't.
func (a *Audit) allDone(j sched.Job) (sched.TaskRef, bool) {
	for o := range j.Occurrences() {
		for s, step := range j.Steps {
			for i := range step.Tasks {
				r := sched.TaskRef{Job: j.ID, Occurrence: o, Step: s, Index: i}
				if a.taskOf(r).doneRuns > 0 || step.Gang && a.gangDone(r, step.Tasks) {
					continue
				}
				return r, false
			}
		}
	}
	return sched.TaskRef{}, true
}

// gangDone reports whether any member of a gang has ended as done. That completes
// the whole gang.
func (a *Audit) gangDone(r sched.TaskRef, members int) bool {
	for i := range members {
		r.Index = i
		if a.taskOf(r).doneRuns > 0 {
			return true
		}
	}
	return false
}

// attemptsExhausted reports whether a task, or the members of a gang together, have failed
// as often as the queue allows.
func (a *Audit) attemptsExhausted(j sched.Job) bool {
	for o := range j.Occurrences() {
		for s, step := range j.Steps {
			sum := 0
			for i := range step.Tasks {
				n := a.taskOf(sched.TaskRef{Job: j.ID, Occurrence: o, Step: s, Index: i}).failures
				sum += n
				if n >= j.Queue.MaxAttempts {
					return true
				}
			}
			if step.Gang && sum >= j.Queue.MaxAttempts {
				return true
			}
		}
	}
	return false
}
