package proxy

import (
	"context"

	"github.com/parsleybarrow/parsleybarrow/pkg/route"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// maxPicks bounds the waits for a backend server with a free slot.
const maxPicks = 12

// headBytes is the assumed size of the head of a request or an answer, in
// bytes.
const headBytes = 500

// end is how a request ended. pick is held until the answer has been passed
// on.
type end struct {
	result sched.SendResult
	code   sched.Code
	pick   *route.Pick
}

// send sends a request until it has an outcome. It returns
// OutcomeRefusedNotRun only if no send can have run.
func (p *Proxy) send(c context.Context, q *request) end {
	var tried []sched.InstanceID
	mayHaveRun := false
	picks := 0
	for sends := 0; ; {
		pick, none := p.Route.Pick(route.Query{
			Service: q.Service, Urgency: q.Urgency, RequestBytes: int64(len(q.Body)) + headBytes, Exclude: tried,
		}, p.Clock.Now())
		if pick == nil {
			picks++
			if none == sched.CodeNoBackend || picks > maxPicks || !p.pause(c, q, picks) {
				return giveUp(mayHaveRun, none)
			}
			// A server that refused or failed once may be the only one left.
			tried = nil
			continue
		}
		sends++
		p.sends.Add(1)
		r := p.Sender.Send(c, pick.Member, q.Request, sends)
		o, again := p.judge(q, pick, r)
		if !again {
			return o
		}
		closeRest(r)
		p.Route.Done(pick, r, int64(len(q.Body))+headBytes, p.Clock.Now())
		mayHaveRun = mayHaveRun || r.Outcome == sched.OutcomeUnknown
		tried = append(tried, pick.Member.ID)
		if !p.mayResend(c, q, r, sends) {
			return giveUp(mayHaveRun, sched.CodeOverloaded)
		}
	}
}

func giveUp(mayHaveRun bool, code sched.Code) end {
	if mayHaveRun {
		return end{code: sched.CodeUnknown, result: sched.SendResult{Outcome: sched.OutcomeUnknown}}
	}
	return end{code: code, result: sched.SendResult{Outcome: sched.OutcomeRefusedNotRun}}
}

// judge reads the result of one send and tells whether another may follow.
func (p *Proxy) judge(q *request, pick *route.Pick, r sched.SendResult) (o end, again bool) {
	if r.Stalled {
		p.event("silentConnection", q, string(pick.Member.ID))
	}
	if r.Leaving {
		p.event("backendLeaving", q, string(pick.Member.ID))
	}
	switch r.Outcome {
	case sched.OutcomeAnswered:
		p.Admit.BackendTook(q.Service)
		return end{result: r, code: sched.CodeAnswered, pick: pick}, false
	case sched.OutcomeFailed:
		return end{result: r, code: sched.CodeFailedByBackend, pick: pick}, false
	case sched.OutcomeUnknown:
		if q.Unrepeatable {
			p.event("unknown", q, errorText(r.Err))
			return end{result: r, code: sched.CodeUnknown, pick: pick}, false
		}
	case sched.OutcomeRefusedNotRun:
		if r.Err == nil && !r.Leaving {
			p.Admit.BackendRefused(q.Service)
		}
	}
	return end{}, true
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// mayResend waits before the next send. It returns false if the budget or the
// time is used up.
func (p *Proxy) mayResend(c context.Context, q *request, r sched.SendResult, sends int) bool {
	budget := q.retry.Resend
	if r.Outcome == sched.OutcomeUnknown {
		budget = q.retry.Retry
	}
	wait, ok := budget(sends, p.Clock.Now(), q.Deadline)
	return ok && p.Clock.Sleep(c, wait) == nil
}

// pause waits for a slot to become free. Nothing is sent meanwhile.
func (p *Proxy) pause(c context.Context, q *request, picks int) bool {
	wait, ok := q.retry.SearchDelay(picks, p.Clock.Now(), q.Deadline)
	return ok && p.Clock.Sleep(c, wait) == nil
}
