package proxy

import (
	"context"

	"github.com/parsleybarrow/parsleybarrow/pkg/route"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// maxSlotWaits bounds the waits of one request for a backend server with a free
// slot.
const maxSlotWaits = 12

// headBytes is the assumed size in bytes of the head of a request or an answer,
// for the accounting of traffic by the router.
const headBytes = 500

// requestEnd is the result of a request after all its sends.
type requestEnd struct {
	result sched.SendResult
	code   sched.Code
	// pick is the backend server of the result, nil if there is none. It is
	// released after the answer has been passed on.
	pick *route.Pick
}

// send sends a request, again if need be, until it has an outcome. The outcome is
// OutcomeRefusedNotRun only if no send can have run.
func (p *Proxy) send(c context.Context, q *request) requestEnd {
	var tried []sched.InstanceID
	mayHaveRun := false
	slotWaits := 0
	for sends := 0; ; {
		pick, code := p.Router.Pick(route.Query{
			Service: q.Service, Urgency: q.Urgency, RequestBytes: int64(len(q.Body)) + headBytes, Exclude: tried,
		}, p.Clock.Now())
		if pick == nil {
			slotWaits++
			if code == sched.CodeNoBackend || slotWaits > maxSlotWaits || !p.waitForSlot(c, q, slotWaits) {
				return giveUp(mayHaveRun, code)
			}
			// A backend server that refused or failed before may be the only one
			// left.
			tried = nil
			continue
		}
		sends++
		p.sends.Add(1)
		r := p.Sender.Send(c, pick.Member, q.Request, sends)
		o, again := p.classify(q, pick, r)
		if !again {
			return o
		}
		closeRest(r)
		p.Router.Done(pick, r, int64(len(q.Body))+headBytes, p.Clock.Now())
		mayHaveRun = mayHaveRun || r.Outcome == sched.OutcomeUnknown
		tried = append(tried, pick.Member.ID)
		if !p.mayResend(c, q, r, sends) {
			return giveUp(mayHaveRun, sched.CodeOverloaded)
		}
	}
}

// giveUp ends a request without an answer. The code applies if no send can have
// run.
func giveUp(mayHaveRun bool, code sched.Code) requestEnd {
	if mayHaveRun {
		return requestEnd{code: sched.CodeUnknown, result: sched.SendResult{Outcome: sched.OutcomeUnknown}}
	}
	return requestEnd{code: code, result: sched.SendResult{Outcome: sched.OutcomeRefusedNotRun}}
}

// classify evaluates the result of one send. again reports whether another send
// may follow; if not, o is the end of the request.
func (p *Proxy) classify(q *request, pick *route.Pick, r sched.SendResult) (o requestEnd, again bool) {
	if r.Stalled {
		p.event("silentConnection", q, string(pick.Member.ID))
	}
	if r.Leaving {
		p.event("backendLeaving", q, string(pick.Member.ID))
	}
	switch r.Outcome {
	case sched.OutcomeAnswered:
		p.Admitter.BackendAnswered(q.Service)
		return requestEnd{result: r, code: sched.CodeAnswered, pick: pick}, false
	case sched.OutcomeFailed:
		return requestEnd{result: r, code: sched.CodeFailedByBackend, pick: pick}, false
	case sched.OutcomeUnknown:
		if q.Unrepeatable {
			p.event("unknown", q, errorText(r.Err))
			return requestEnd{result: r, code: sched.CodeUnknown, pick: pick}, false
		}
	case sched.OutcomeRefusedNotRun:
		if r.Err == nil && !r.Leaving {
			p.Admitter.BackendRefused(q.Service)
		}
	}
	return requestEnd{}, true
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// mayResend takes the next send from the retry or the resend budget and waits
// for the backoff. It returns false if the budget is used up, too little time
// remains or the context ends.
func (p *Proxy) mayResend(c context.Context, q *request, r sched.SendResult, sends int) bool {
	budget := q.retry.Resend
	if r.Outcome == sched.OutcomeUnknown {
		budget = q.retry.Retry
	}
	wait, ok := budget(sends, p.Clock.Now(), q.Deadline)
	return ok && p.Clock.Sleep(c, wait) == nil
}

// waitForSlot waits before the next look for a backend server with a free slot.
// It sends nothing. It returns false if the wait would pass the deadline or the
// context ends.
func (p *Proxy) waitForSlot(c context.Context, q *request, slotWaits int) bool {
	wait, ok := q.retry.SearchDelay(slotWaits, p.Clock.Now(), q.Deadline)
	return ok && p.Clock.Sleep(c, wait) == nil
}
