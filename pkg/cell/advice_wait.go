package cell

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/jobs"
	"github.com/parsleybarrow/parsleybarrow/pkg/order"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// maxAdviceWait bounds the time that the steps of a new job may have to wait for advice
// behind others. The platform's users expect accepted work to run within 14 s of the end of
// a load, a restart of the planner included.
const maxAdviceWait = 8 * time.Second

// adviceOverloadReason is why a job is refused whose steps would wait too long for advice.
const adviceOverloadReason = "too many jobs wait for the advice service"

// adviceVerdict refuses a job that would miss its objective because of the jobs that wait
// for the advisor before it. It answers to a load above what the advisor bears: of the jobs
// that come, as many are accepted as it bears, and these are in time. The others learn at
// once when to come again.
func (p *Planner) adviceVerdict(now time.Time, s sched.Job) (v sched.Verdict, wait, limit time.Duration) {
	if s.Queue.Advice == nil {
		return acceptedVerdict, 0, 0
	}
	wait, limit = p.adviceBacklog(now, s.Queue.Priority), p.adviceWaitLimit(s)
	if wait <= limit {
		return acceptedVerdict, wait, limit
	}
	return sched.Verdict{
		Code: sched.CodeOverloaded, RetryAfter: min(max(wait-limit, minRetryAfter), maxRetryAfter), Reason: adviceOverloadReason,
	}, wait, limit
}

// adviceWaitLimit returns how long the steps of a job may wait for others' advice: what its
// objective leaves, but no less than the shortest time after which a refused caller could
// come again. Lasting and scheduled jobs have no objective that counts from now.
func (p *Planner) adviceWaitLimit(s sched.Job) time.Duration {
	lasting := func(x sched.Step) bool { return x.Lasting }
	if s.Schedule.Times > 0 || slices.ContainsFunc(s.Steps, lasting) {
		return maxAdviceWait
	}
	chain := slices.Max(p.chainOf(&s))
	spare := order.Outlook{Chain: chain, Left: chain, Stretch: s.Queue.Stretch, Goal: s.Queue.Goal}.Spare()
	return min(max(spare, minRetryAfter), maxAdviceWait)
}

// chainOf returns, for each step of a job, the expected time from the start of its tasks to
// the end of the job along the longest path, with one call of the advisor for each step.
func (p *Planner) chainOf(s *sched.Job) []time.Duration {
	var advice time.Duration
	if a := s.Queue.Advice; a != nil {
		advice = adviceTime(a, maxAskedWorkers)
	}
	return p.runTimes.Chain(s, advice)
}

// noteAdvised counts a job for adviceBacklog, if its queue needs advice.
func (p *Planner) noteAdvised(j *job) {
	if j.Queue.Advice != nil && !j.State.Final() {
		p.advisedJobs[j.ID] = j
	}
}

// adviceBacklog returns the time that the advisor is expected to take for all calls that
// come before those of a new job with the priority: the calls in flight, and one for each
// step of the accepted jobs that may still need one.
func (p *Planner) adviceBacklog(now time.Time, priority int) time.Duration {
	sum := p.options.AdviceLine.Wait(now)
	extra := p.options.AdviceLine.Extra()
	for id, j := range p.advisedJobs {
		if j.State.Final() {
			delete(p.advisedJobs, id)
			continue
		}
		if j.Queue.Priority > priority {
			continue
		}
		each := adviceTime(j.Queue.Advice, min(p.startable(), askLimit(j.Queue.Advice))) + extra
		for _, o := range j.Occurrences {
			sum += time.Duration(p.stepsToAdvise(now, j, o)) * each
		}
	}
	return sum
}

// stepsToAdvise returns the number of steps of an occurrence that wait for a ticket now or
// after other steps.
func (p *Planner) stepsToAdvise(now time.Time, j *job, o *jobs.Occurrence) int {
	n := 0
	for k := range o.Steps {
		s := &o.Steps[k]
		waits := func(t jobs.Task) bool { return !t.Done && len(t.Runs) == 0 }
		a := p.advice[sched.StepRef{Job: j.ID, Occurrence: o.Number, Step: k}]
		if o.Complete(k) || a != nil && a.inFlight || s.Open && !slices.ContainsFunc(s.Tasks, waits) {
			continue
		}
		if a == nil || !a.anyValid(now) {
			n++
		}
	}
	return n
}

// anyValid reports whether a ticket of the step is valid.
func (a *stepAdvice) anyValid(now time.Time) bool {
	for _, t := range a.tickets {
		if now.Before(t.validUntil) {
			return true
		}
	}
	return false
}

// refuseForAdvice refuses a job for now because of the jobs that wait for advice. The caller
// gets the reply with the next proof, since another planner may have accepted the job.
func (p *Planner) refuseForAdvice(now time.Time, t Ticket, s sched.Job, v sched.Verdict, wait, limit time.Duration) {
	p.noteRefused(s, v, zap.Duration("adviceWait", wait), zap.Duration("limit", limit))
	p.unprovenReplies = append(p.unprovenReplies, unprovenReply{now, Reply{t, v}})
}
