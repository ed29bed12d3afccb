package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/conn/pool"
	"github.com/parsleybarrow/parsleybarrow/internal/process/claims"
	"github.com/parsleybarrow/parsleybarrow/internal/process/gate"
	"github.com/parsleybarrow/parsleybarrow/internal/request/proxy"
	"github.com/parsleybarrow/parsleybarrow/pkg/admit"
	"github.com/parsleybarrow/parsleybarrow/pkg/event"
	"github.com/parsleybarrow/parsleybarrow/pkg/quota"
	"github.com/parsleybarrow/parsleybarrow/pkg/route"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/stamp"
)

// init creates the state that the goroutines of the instance share. Run and Kill
// both call it; only the first call has an effect.
func (d *Daemon) init() {
	d.initOnce.Do(func() {
		d.killed, d.failure = make(chan struct{}), make(chan error, 1)
		d.flush = make(chan struct{}, 1)
		if d.Logger == nil {
			d.Logger = zap.NewNop()
		}
		d.stamps = &stamp.Clock{Wall: d.Clock}
		d.events = &event.Ring{Instance: d.ID, Clock: d.stamps, Size: d.EventBufferSize}
		d.view.Store(&view{reason: reasonNoConfig})
		d.initRequestPath()
		d.metrics = newInstanceMetrics(d.gauges())
	})
}

// initRequestPath creates the components of the request path. They read views
// and never wait for the control actor.
func (d *Daemon) initRequestPath() {
	d.gate = gate.New(d.Clock, admit.Shares{}, d.Seed)
	d.router = &route.Router{Region: d.Region, DataCentre: d.DataCentre, Seed: d.Seed}
	d.quotas = quota.NewGate()
	d.pool = &pool.Pool{
		Clock:        d.Clock,
		MaxConns:     func(m sched.Member) int { return route.MaxConnections(m, d.view.Load().largestEntries()) },
		AnswerBuffer: func() int64 { return d.view.Load().limits().AnswerBuffer },
	}
	d.claims = &claims.Claimer{
		Log: d.Log, Clock: d.Clock, Incarnation: d.Incarnation, Shards: d.Shards,
		Limits:   d.claimLimits,
		NewNonce: newNonceSource(d.Seed, d.ID, d.Incarnation),
	}
	d.proxy = &proxy.Proxy{
		Clock:    d.Clock,
		Settings: func() *sched.Settings { return d.view.Load().settings },
		Admitter: d.gate,
		Router:   d.router,
		Sender:   d.pool,
		Claimer:  d.claims,
		Quota:    teamQuota{d.quotas},
		OnEvent:  func(e sched.Event) { d.events.Add(e) },
		MaxBody:  d.MaxBodyBytes,
		Seed:     d.Seed,
	}
	if d.SkipDuplicateCheck {
		d.proxy.Claimer = uncheckedClaims{}
	}
}

func (d *Daemon) claimLimits() claims.Limits {
	v := d.view.Load()
	l := v.limits()
	return claims.Limits{DedupWindow: l.DedupWindow, ClockBound: l.ClockBound, Instances: v.largestEntries()}
}

// newNonceSource returns a generator of random numbers for claims, seeded so
// that instances and incarnations draw different sequences. The id is part of
// the seed because two instances may be started with the same seed and
// incarnation, and if two claims shared a nonce, both would be granted.
func newNonceSource(seed uint64, id sched.InstanceID, n sched.Incarnation) func() uint64 {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed^xxhash.Sum64String(string(id)), uint64(n)))
	return func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Uint64()
	}
}

// teamQuota adapts quota.Gate to the proxy.
type teamQuota struct{ gate *quota.Gate }

// quotaRetryAfter is how long a caller is told to wait after its team's quota is
// used up. Quotas are per second, so the team's bucket is full again by then.
const quotaRetryAfter = time.Second

// Take implements proxy.Quota. Requests without a team are always admitted.
func (q teamQuota) Take(team string, now time.Time) (time.Duration, bool) {
	if team == "" || q.gate.Allow(now, team) {
		return 0, true
	}
	return quotaRetryAfter, false
}

func (d *Daemon) gauges() gauges {
	number := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	return gauges{
		inFlight:  func() float64 { return float64(d.proxy.InFlight()) },
		version:   func() float64 { return float64(d.view.Load().version()) },
		ready:     func() float64 { return number(d.view.Load().ready) },
		planner:   func() float64 { return number(d.view.Load().planner == d.ID) },
		queued:    func() float64 { return float64(d.view.Load().queued) },
		placed:    func() float64 { return float64(d.view.Load().placed) },
		displaced: func() float64 { return float64(d.events.Displaced()) },
		requests:  d.requestsEnded,
	}
}

// requestsEnded returns the number of requests that ended with the outcome.
func (d *Daemon) requestsEnded(o sched.Outcome) float64 {
	sum := uint64(0)
	for code, n := range d.proxy.CountsByCode() {
		if code.Outcome() == o {
			sum += n
		}
	}
	return float64(sum)
}

// loops returns the functions that Run executes in a goroutine each until their
// context ends.
func (d *Daemon) loops() []func(context.Context) {
	out := []func(context.Context){
		d.tickLoop, d.listLoop, d.heartbeatLoop, d.usageLoop, d.snapshotLoop,
		d.claimLoop,
	}
	for _, f := range d.replayedStreams() {
		out = append(out, func(c context.Context) { d.followStream(c, f) })
	}
	return out
}

// claimLoop replays and appends intents once there is a configuration. Without
// one the dedup window is 0: every intent would count as expired, and the replay
// would treat ids with open requests as free.
func (d *Daemon) claimLoop(c context.Context) {
	for d.view.Load().settings == nil {
		if d.Clock.Sleep(c, tickInterval) != nil {
			return
		}
	}
	_ = d.claims.Run(c)
}
