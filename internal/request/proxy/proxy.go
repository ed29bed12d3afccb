package proxy

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/parsleybarrow/parsleybarrow/pkg/admit"
	"github.com/parsleybarrow/parsleybarrow/pkg/dedup"
	"github.com/parsleybarrow/parsleybarrow/pkg/route"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Admitter is the admission control of requests. Admit blocks until the request
// may run, is refused or the context ends; a granted ticket is released after
// the request. BackendRefused reports that a backend server refused a request
// for lack of slots, BackendAnswered that one answered a request. Package gate
// implements it.
type Admitter interface {
	Admit(c context.Context, t *admit.Ticket) admit.Result
	Release(t *admit.Ticket)
	BackendRefused(service string)
	BackendAnswered(service string)
}

// Router chooses backend servers. Each Pick is followed by one Done with the
// result of the send. Package route implements it.
type Router interface {
	Pick(q route.Query, now time.Time) (*route.Pick, sched.Code)
	Done(p *route.Pick, s sched.SendResult, bytes int64, now time.Time)
}

// Claimer grants the claim that an unrepeatable request needs before it is sent.
// A granted claim ends by Finish with the outcome, or by Abandon if the request
// did not run. Package claims implements it.
type Claimer interface {
	Claim(c context.Context, partner, id string) (dedup.Verdict, sched.Answer)
	Finish(claim dedup.Claim, o sched.Outcome, a sched.Answer)
	Abandon(c context.Context, claim dedup.Claim)
}

// Quota limits the rate of a team's requests. Take reports whether the team may
// send another request now, and if not, after which time to retry.
type Quota interface {
	Take(team string, now time.Time) (retryAfter time.Duration, ok bool)
}

// defaultMaxBody bounds the body of a request, in bytes.
const defaultMaxBody = 8 << 20

// Proxy is the http.Handler of the callers' requests. Set the exported fields
// before use.
type Proxy struct {
	Clock sched.Clock
	// Settings returns the configuration version in force, nil if there is none
	// yet.
	Settings func() *sched.Settings
	Admitter Admitter
	Router   Router
	Sender   sched.Sender
	// Claimer is nil if unrepeatable requests are refused.
	Claimer Claimer
	// Quota is nil if teams have no limits.
	Quota Quota
	// OnEvent receives rare events, such as an answer that was cut short. It may
	// be nil and must not block.
	OnEvent func(sched.Event)
	// Metrics is the set of the counters and histograms. If it is nil, they are
	// kept but not exported.
	Metrics *metrics.Set
	// MaxBody bounds the body of a request in bytes; 0 means 8 MiB.
	MaxBody int64
	// Seed is the seed of the random delays before retries.
	Seed uint64

	rules    atomic.Pointer[rules]
	draining atomic.Bool
	running  atomic.Int64
	counters sync.Map
	sends    atomic.Int64
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// running is incremented before draining is read, so that Drain waits for
	// every request that isn't refused.
	p.running.Add(1)
	defer p.running.Add(-1)
	if p.draining.Load() {
		w.Header().Set("Connection", "close")
		p.refuse(w, &request{repeat: isRepeat(r.Header)}, refusal{code: sched.CodeDraining})
		return
	}
	q, f := p.read(w, r)
	if f.code != 0 {
		p.refuse(w, q, f)
		return
	}
	c, cancel := context.WithDeadline(r.Context(), q.Deadline)
	defer cancel()
	t := &admit.Ticket{
		Service: q.Service, Partner: q.Partner, Urgency: q.Urgency,
		Bytes: int64(len(q.Body)), Deadline: q.Deadline,
	}
	if a := p.Admitter.Admit(c, t); !a.Granted {
		p.refuse(w, q, refusal{code: a.Code, retryAfter: a.RetryAfter})
		return
	}
	defer p.Admitter.Release(t)
	if q.Unrepeatable {
		p.serveUnrepeatable(c, w, q)
		return
	}
	o := p.send(c, q)
	p.answer(w, q, o)
}

// serveUnrepeatable serves an unrepeatable request. The send isn't cancelled when
// the caller's connection ends, so that the outcome is recorded.
func (p *Proxy) serveUnrepeatable(c context.Context, w http.ResponseWriter, q *request) {
	if p.Claimer == nil {
		p.refuse(w, q, refusal{code: sched.CodeLogUnavailable})
		return
	}
	v, a := p.Claimer.Claim(c, q.Partner, q.ID)
	if !v.Granted {
		p.answerRepeat(w, q, v, a)
		return
	}
	// A granted claim proves that no earlier send of the id has run or will run.
	q.repeat = false
	if c.Err() != nil || p.Clock.Now().Add(minSendTime).After(q.Deadline) {
		p.abandon(c, v.Claim)
		p.refuse(w, q, refusal{code: sched.CodeDeadlineTooShort})
		return
	}
	sendContext, cancel := context.WithDeadline(context.WithoutCancel(c), q.Deadline)
	defer cancel()
	o := p.send(sendContext, q)
	switch o.result.Outcome {
	case sched.OutcomeRefusedNotRun:
		p.abandon(c, v.Claim)
	default:
		p.Claimer.Finish(v.Claim, o.result.Outcome, o.result.Answer)
	}
	p.answer(w, q, o)
}

// abandon gives up a claim before its caller is refused, because the caller may
// send the id again as soon as it has received the refusal.
func (p *Proxy) abandon(c context.Context, claim dedup.Claim) {
	c, cancel := context.WithTimeout(context.WithoutCancel(c), abandonTimeout)
	defer cancel()
	p.Claimer.Abandon(c, claim)
}

// minSendTime is the least time to the deadline with which a claimed request is
// sent. A later send would likely end at the deadline with an unknown outcome.
const minSendTime = 50 * time.Millisecond

// abandonTimeout bounds the wait for the end of a claim. It is several times as
// long as an append from another region, and short for a caller that is refused
// anyway.
const abandonTimeout = 300 * time.Millisecond

// drainPollInterval is short compared with the duration of requests.
const drainPollInterval = 5 * time.Millisecond

// Drain refuses new requests and waits until the running ones have ended. If the
// context ends first, it returns an error that wraps the context's and gives the
// number of requests that still run.
func (p *Proxy) Drain(c context.Context) error {
	p.draining.Store(true)
	for p.running.Load() > 0 {
		if err := p.Clock.Sleep(c, drainPollInterval); err != nil {
			return fmt.Errorf("%d requests still run: %w", p.running.Load(), err)
		}
	}
	return nil
}

// InFlight returns the number of requests that have not ended.
func (p *Proxy) InFlight() int { return int(p.running.Load()) }

// SendCount returns the number of sends to backend servers since the start,
// including retries.
func (p *Proxy) SendCount() int64 { return p.sends.Load() }

func (p *Proxy) event(kind sched.EventKind, q *request, detail string) {
	if p.OnEvent != nil {
		p.OnEvent(sched.Event{Kind: kind, Request: q.ID, Detail: detail})
	}
}
