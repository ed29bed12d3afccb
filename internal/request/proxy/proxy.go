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

// Admitter decides when a request may run. Package gate implements it.
type Admitter interface {
	Admit(c context.Context, t *admit.Ticket) admit.Result
	Release(t *admit.Ticket)
	BackendRefused(service string)
	BackendTook(service string)
}

// Router chooses backend servers. Package route implements it.
type Router interface {
	Pick(q route.Query, now time.Time) (*route.Pick, sched.Code)
	Done(p *route.Pick, s sched.SendResult, bytes int64, now time.Time)
}

// Claimer gives unrepeatable requests their claim. Package claims implements
// it.
type Claimer interface {
	Claim(c context.Context, partner, id string) (dedup.Verdict, sched.Answer)
	Finish(claim dedup.Claim, o sched.Outcome, a sched.Answer)
	Abandon(c context.Context, claim dedup.Claim)
}

// Quota tells whether a team may send another request now; if not, when to
// come back.
type Quota interface {
	Take(team string, now time.Time) (retryAfter time.Duration, ok bool)
}

// defaultMaxBody bounds the body of a request, in bytes.
const defaultMaxBody = 8 << 20

// Proxy is the http.Handler of the callers' requests. Its fields are set
// before use.
type Proxy struct {
	Clock sched.Clock
	// Settings returns the version in force, nil if there is none yet.
	Settings func() *sched.Settings
	Admit    Admitter
	Route    Router
	Sender   sched.Sender
	// Claims is nil if unrepeatable requests are refused.
	Claims Claimer
	// Quota is nil if teams have no limits.
	Quota Quota
	// Events receives rare events; nil to ignore them. It must not block.
	Events func(sched.Event)
	// Metrics receives the counters, nil for none.
	Metrics *metrics.Set
	// MaxBody bounds the body of a request in bytes, 0 for 8 MiB.
	MaxBody int64
	// Seed makes delays and jitter repeatable.
	Seed uint64

	rules    atomic.Pointer[rules]
	draining atomic.Bool
	running  atomic.Int64
	counters sync.Map
	sends    atomic.Int64
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The order of these two steps lets Drain miss no request.
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
	if a := p.Admit.Admit(c, t); !a.Granted {
		p.refuse(w, q, refusal{code: a.Code, retryAfter: a.RetryAfter})
		return
	}
	defer p.Admit.Release(t)
	if q.Unrepeatable {
		p.serveOnce(c, w, q)
		return
	}
	o := p.send(c, q)
	p.answer(w, q, o)
}

// serveOnce serves an unrepeatable request. Once sent, it doesn't end with the
// caller's connection, so that its outcome is recorded.
func (p *Proxy) serveOnce(c context.Context, w http.ResponseWriter, q *request) {
	if p.Claims == nil {
		p.refuse(w, q, refusal{code: sched.CodeLogUnavailable})
		return
	}
	v, a := p.Claims.Claim(c, q.Partner, q.ID)
	if !v.Granted {
		p.repeat(w, q, v, a)
		return
	}
	// A granted claim proves that no earlier send of the id ran or will run.
	q.repeat = false
	if c.Err() != nil || p.Clock.Now().Add(leastSendTime).After(q.Deadline) {
		p.abandon(c, v.Claim)
		p.refuse(w, q, refusal{code: sched.CodeDeadlineTooShort})
		return
	}
	own, cancel := context.WithDeadline(context.WithoutCancel(c), q.Deadline)
	defer cancel()
	o := p.send(own, q)
	switch o.result.Outcome {
	case sched.OutcomeRefusedNotRun:
		p.abandon(c, v.Claim)
	default:
		p.Claims.Finish(v.Claim, o.result.Outcome, o.result.Answer)
	}
	p.answer(w, q, o)
}

// abandon frees an id before its caller is refused, since the caller may send
// the id again as soon as it has the refusal.
func (p *Proxy) abandon(c context.Context, claim dedup.Claim) {
	c, cancel := context.WithTimeout(context.WithoutCancel(c), abandonWait)
	defer cancel()
	p.Claims.Abandon(c, claim)
}

// leastSendTime has to remain when a claim is granted. A send that starts later
// would likely end by the deadline with an unknown outcome.
const leastSendTime = 50 * time.Millisecond

// abandonWait is long against an append from another region, and short for a
// caller that is refused anyway.
const abandonWait = 300 * time.Millisecond

// drainPoll is short against the time that requests take.
const drainPoll = 5 * time.Millisecond

// Drain refuses new requests and waits until the running ones have ended. It
// returns the context's error, with the number of requests that still run, if
// the context ends first.
func (p *Proxy) Drain(c context.Context) error {
	p.draining.Store(true)
	for p.running.Load() > 0 {
		if err := p.Clock.Sleep(c, drainPoll); err != nil {
			return fmt.Errorf("%d requests still run: %w", p.running.Load(), err)
		}
	}
	return nil
}

// Running returns the number of requests that have not ended.
func (p *Proxy) Running() int { return int(p.running.Load()) }

// Sends returns the number of sends to backend servers since the start.
func (p *Proxy) Sends() int64 { return p.sends.Load() }

func (p *Proxy) event(kind sched.EventKind, q *request, detail string) {
	if p.Events != nil {
		p.Events(sched.Event{Kind: kind, Request: q.ID, Detail: detail})
	}
}
