package cell

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/fleet"
	"github.com/parsleybarrow/parsleybarrow/pkg/jobs"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/share"
)

var acceptedVerdict = sched.Verdict{Code: sched.CodeAccepted}

// Submit accepts a job. The caller with the ticket gets the reply once the job
// is durable. A job with a known id is acknowledged and not added again.
func (p *Planner) Submit(now time.Time, t Ticket, s sched.Job) {
	if j := p.jobs[s.ID]; j != nil && p.keep(j) {
		if !p.commitTicket(t) {
			p.refuse(t, s, withdrawnVerdict)
			return
		}
		p.replyRecorded(j, t)
		return
	}
	if v := p.admit(s); v.Code != sched.CodeAccepted {
		p.refuse(t, s, v)
		return
	}
	if step, found := p.stepWithoutWorkers(now, s); found {
		p.refuseStep(now, t, s, step)
		return
	}
	if v, wait, limit := p.adviceVerdict(now, s); v.Code != sched.CodeAccepted {
		p.refuseForAdvice(now, t, s, v, wait, limit)
		return
	}
	j := &job{Job: jobs.New(s.WithSubmittedAt(now)), unrecorded: true, ticket: t, stepLoads: map[int]*share.Load{}}
	j.pendingReplies = []Reply{{t, acceptedVerdict}}
	p.jobs[s.ID] = j
	p.noteAdvised(j)
	p.stats.Accepted++
	if s.Schedule.Times == 0 {
		p.pendingByQueue[s.Queue.Name]++
	} else {
		p.scheduledJobs[s.ID] = j
	}
	p.options.Log.Info("jobAccepted", zap.String("job", string(s.ID)), zap.String("queue", string(s.Queue.Name)),
		zap.Int("steps", len(s.Steps)), zap.Int("tasks", s.TaskCount()*s.Occurrences()))
	p.markDirty(j)
	p.openOccurrences(now, j)
}

// replyRecorded accepts a repeated submission or a cancel once the job is
// durable, and its final state too if it has ended.
func (p *Planner) replyRecorded(j *job, t Ticket) {
	if j.durableState != 0 && j.durableState.Final() == j.State.Final() {
		p.effects.Replies = append(p.effects.Replies, Reply{t, acceptedVerdict})
		return
	}
	j.pendingReplies = append(j.pendingReplies, Reply{t, acceptedVerdict})
	p.markDirty(j)
}

// openOccurrences opens the occurrences of a job that are due and queues the
// tasks of their open steps.
func (p *Planner) openOccurrences(now time.Time, j *job) {
	for _, o := range j.Begin(now.Add(p.options.Early/2), p.maxOpenTasks()) {
		for s := range o.Steps {
			if o.Steps[s].Open {
				p.enqueueStep(j, o, s)
			}
		}
		p.markDirty(j)
	}
	if _, more := j.NextDue(); !more {
		delete(p.scheduledJobs, j.ID)
	}
}

// Cancel ends a job as cancelled, if it hasn't ended. The caller with the ticket
// gets the reply once that is durable. The runs of the job are stopped then.
func (p *Planner) Cancel(now time.Time, t Ticket, id sched.JobID) {
	j := p.jobs[id]
	if j == nil || !p.keep(j) {
		// Another planner may have taken over and accepted the job; the next
		// proof rules that out.
		p.unprovenReplies = append(p.unprovenReplies, unprovenReply{now, Reply{t, unknownJobVerdict}})
		return
	}
	if !j.State.Final() {
		p.options.Log.Info("jobCancelled", zap.String("job", string(id)))
		p.endJob(now, j, sched.JobCancelled)
	}
	p.replyRecorded(j, t)
}

var unknownJobVerdict = sched.Verdict{Code: sched.CodeUnknownTask, Reason: "no such job"}

// unprovenReply is a reply that is true only if no other planner had taken over
// at a time.
type unprovenReply struct {
	since time.Time
	reply Reply
}

const (
	// minRetryAfter and maxRetryAfter bound the delay that callers are told
	// while the store doesn't answer.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// StoreUnavailable tells the planner for how long the store hasn't answered the append
// in flight. New jobs that aren't part of that batch can't be recorded in time;
// they are refused, and none of their tasks has run. Submissions are refused
// until the next proof. Callers are told to wait for as long as the outage has
// lasted, within minRetryAfter and maxRetryAfter, since that is how much longer it
// is expected to last.
func (p *Planner) StoreUnavailable(span time.Duration) {
	p.outageRetryAfter = min(max(span, minRetryAfter), maxRetryAfter)
	rest := p.dirtyJobs[:0]
	for _, j := range p.dirtyJobs {
		if !j.unrecorded {
			rest = append(rest, j)
			continue
		}
		p.dropUnrecorded(j, p.outageVerdict())
	}
	clear(p.dirtyJobs[len(rest):])
	p.dirtyJobs = rest
}

// outageVerdict refuses a job because the store doesn't answer.
func (p *Planner) outageVerdict() sched.Verdict {
	return sched.Verdict{
		Code: sched.CodeLogUnavailable, RetryAfter: p.outageRetryAfter, Reason: "the platform's store does not answer",
	}
}

// refuse replies to the caller that the job isn't accepted.
func (p *Planner) refuse(t Ticket, s sched.Job, v sched.Verdict) {
	p.noteRefused(s, v)
	p.effects.Replies = append(p.effects.Replies, Reply{t, v})
}

// noteRefused counts and logs a job that isn't accepted.
func (p *Planner) noteRefused(s sched.Job, v sched.Verdict, details ...zap.Field) {
	p.stats.Refused++
	p.options.Log.Info("jobRefused", append([]zap.Field{
		zap.String("job", string(s.ID)), zap.String("queue", string(s.Queue.Name)), zap.Int("code", int(v.Code)),
		zap.Duration("retryAfter", v.RetryAfter), zap.String("reason", v.Reason),
	}, details...)...)
}

// noWorkerVerdict refuses a job that no worker of the cell could finish. Workers of
// the step may be listed at any time; none was in the last fleet.Grace.
var noWorkerVerdict = sched.Verdict{
	Code: sched.CodeNoWorker, RetryAfter: fleet.Grace, Reason: "no worker of the job's cell could run one of its steps",
}

// stepWithoutWorkers returns the first step of a job that no worker of the cell could
// run, and whether there is one.
func (p *Planner) stepWithoutWorkers(now time.Time, s sched.Job) (int, bool) {
	for k := range s.Steps {
		if !p.fleet.MayRun(now, s.Queue.Service, &s.Steps[k]) {
			return k, true
		}
	}
	return 0, false
}

// refuseStep refuses a job because of a step that no worker of the cell could run. The
// caller gets the reply with the next proof, since another planner may have accepted
// the job.
func (p *Planner) refuseStep(now time.Time, t Ticket, s sched.Job, step int) {
	n := s.Steps[step].Counted()
	p.noteRefused(s, noWorkerVerdict, zap.Int("step", step), zap.String("service", s.Queue.Service),
		zap.String("label", s.Steps[step].Label), zap.Int64("processors", n.Processors), zap.Int64("memory", n.Memory),
		zap.Int64("accelerators", n.Accelerators), zap.Int("workers", p.fleet.Size()))
	p.unprovenReplies = append(p.unprovenReplies, unprovenReply{now, Reply{t, noWorkerVerdict}})
}

// endJob gives the job a final state, which becomes visible once it is durable.
func (p *Planner) endJob(now time.Time, j *job, s sched.JobState) {
	p.countStarted(j)
	j.End(now, s)
	delete(p.scheduledJobs, j.ID)
	p.markDirty(j)
}

// countStarted takes the job out of the count of pending jobs of its queue.
// Later calls for the same job have no effect.
func (p *Planner) countStarted(j *job) {
	if !j.started {
		j.started = true
		if j.Schedule.Times == 0 {
			p.pendingByQueue[j.Queue.Name]--
		}
	}
}

// maxStateProofAge is the age up to which a proof shows that there is no such
// job. The platform requires a job to be visible within seconds.
const maxStateProofAge = 900 * time.Millisecond

// State returns the durable state of a job, 0 if there is no such job. It
// returns false for an unknown job if the newest proof is too old to rule out
// that another planner has accepted it.
func (p *Planner) State(now time.Time, id sched.JobID) (sched.JobState, bool) {
	j := p.jobs[id]
	if j == nil || j.durableState == 0 {
		return 0, now.Sub(p.provenAt) < maxStateProofAge
	}
	return j.durableState, true
}

// Failure returns why a job is shown as failed, FailureUnknown if it isn't.
func (p *Planner) Failure(id sched.JobID) sched.JobFailure {
	if j := p.jobs[id]; j != nil && j.durableState == sched.JobFailed {
		return j.Failure
	}
	return sched.FailureUnknown
}

// maxPendingProofAge is the age up to which a proof is good enough for the
// number of pending jobs, which the platform allows to be 2 s old.
const maxPendingProofAge = 1500 * time.Millisecond

// Pending returns the number of accepted jobs of each queue of which nothing has
// started. Jobs with a schedule don't count. It returns false if the newest proof
// is too old to rule out that another planner has accepted more. The map is the
// planner's own: callers copy it before the next call of a method.
func (p *Planner) Pending(now time.Time) (map[sched.QueueName]int, bool) {
	return p.pendingByQueue, now.Sub(p.provenAt) < maxPendingProofAge
}

// admit refuses every job during an outage of the store, and one whose records would be
// larger than the store takes. It accepts any other.
func (p *Planner) admit(s sched.Job) sched.Verdict {
	if p.outageRetryAfter > 0 {
		return p.outageVerdict()
	}
	if n, most := s.TaskCount(), p.maxOpenTasks(); n > most {
		return sched.Verdict{
			Code: sched.CodeTooLarge, Reason: fmt.Sprintf("%d tasks, at most %d can be recorded", n, most),
		}
	}
	key := JobPrefix + string(s.ID)
	if limit := p.valueLimit(key); limit > 0 {
		if n := len(codec.EncodeJob(s)); n > limit {
			return sched.Verdict{
				Code: sched.CodeTooLarge, Reason: fmt.Sprintf("the job takes %d bytes, at most %d can be recorded", n, limit),
			}
		}
	}
	return acceptedVerdict
}

// recordBytesPerTask is more than what a task takes in the record of its job, in bytes:
// its counts, a checkpoint of 16 characters, and two runs, each on a worker of its own.
const recordBytesPerTask = 128

// maxOpenTasks returns how many tasks of a job may be under way at the same time, so that
// their state fits into one record.
func (p *Planner) maxOpenTasks() int {
	if p.options.RecordLimit == 0 {
		return sched.MaxTasks
	}
	return min(sched.MaxTasks, max(1, p.options.RecordLimit/recordBytesPerTask))
}
