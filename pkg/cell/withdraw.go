package cell

import (
	"slices"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// withdrawnVerdict is the reply to a caller that has withdrawn its job.
var withdrawnVerdict = sched.Verdict{
	Code: sched.CodeDeadlineTooShort, Reason: "the planner could not record the job in time",
}

// commit reports whether a job stays accepted. From then on its caller can't withdraw it.
func (p *Planner) commit(j *job) bool {
	if !j.unrecorded || j.committed {
		return true
	}
	j.committed = p.commitTicket(j.ticket)
	return j.committed
}

// commitTicket reports whether the caller with the ticket still waits for the planner's
// answer, and keeps it from being told anything else.
func (p *Planner) commitTicket(t Ticket) bool { return p.options.Commit == nil || p.options.Commit(t) }

// keep is commit for a job that a further call names. A job whose caller has withdrawn it
// is dropped, so that the call finds none.
func (p *Planner) keep(j *job) bool {
	if p.commit(j) {
		return true
	}
	p.dirtyJobs = slices.DeleteFunc(p.dirtyJobs, func(x *job) bool { return x == j })
	p.dropUnrecorded(j, withdrawnVerdict)
	return false
}

// dropWithdrawn drops the jobs that the next batch would record and whose callers have
// withdrawn them, and commits the others.
func (p *Planner) dropWithdrawn() {
	rest := p.dirtyJobs[:0]
	for _, j := range p.dirtyJobs {
		if p.commit(j) {
			rest = append(rest, j)
			continue
		}
		p.dropUnrecorded(j, withdrawnVerdict)
	}
	clear(p.dirtyJobs[len(rest):])
	p.dirtyJobs = rest
}

// dropUnrecorded drops a job of which nothing is recorded and refuses it to its callers.
// The job must not stay in dirtyJobs.
func (p *Planner) dropUnrecorded(j *job, v sched.Verdict) {
	p.countStarted(j)
	delete(p.jobs, j.ID)
	delete(p.scheduledJobs, j.ID)
	j.State = sched.JobCancelled
	for _, s := range j.pendingStarts {
		if h := p.workers[s.worker]; h != nil {
			h.Remove(s.key)
		}
	}
	for _, r := range j.pendingReplies {
		p.refuse(r.Ticket, j.Job.Job, v)
	}
}
