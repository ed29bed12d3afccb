package agent

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// workersPerAgent is the number of workers of a data centre for which one agent
	// is used. Their calls take about a tenth of a processor.
	workersPerAgent = 192
	// assignmentAge is how long the choice of the agents of a data centre stands
	// while all of them are usable.
	assignmentAge = 2 * time.Second
	// openTimeout is how long an order waits for a new stream before it is sent
	// directly: a few round trips between regions.
	openTimeout = 250 * time.Millisecond
	// lostPause is how long an instance isn't used as an agent after it was lost.
	lostPause = 4 * time.Second
	// pathRetention is how long a worker without orders still counts for the number of
	// agents. Workers in use have an order every 8 s at least.
	pathRetention = time.Minute
	// unlimitedTimeout is the timeout of an order whose context has no deadline.
	unlimitedTimeout = time.Minute
	// directPeriod is how long a worker is called directly after an agent had no
	// answer from it, in case only the agent can't reach it.
	directPeriod = 5 * time.Second
)

// Pool is a sched.OrderClient that sends orders through agents. Orders to a worker
// for which there is no agent, or which its agent doesn't reach, are sent directly.
// Exported fields are set before the first call. It is safe for concurrent use.
type Pool struct {
	// Direct sends the orders that don't go through an agent.
	Direct sched.OrderClient
	// HTTP is the client for calls to other instances.
	HTTP *http.Client
	// Instances returns the instances that may be agents, this one excluded.
	Instances func() []peers.Instance
	// MinWorkers is the number of workers from which on agents are used. With 0 they
	// never are.
	MinWorkers int
	Clock      sched.Clock
	Log        *zap.Logger

	mu      sync.Mutex
	context context.Context // of the streams, which outlive the calls
	cancel  context.CancelFunc
	workers map[sched.InstanceID]*workerPath
	// counts holds the number of workers of each data centre.
	counts      map[sched.DataCentre]int
	links       map[sched.InstanceID]*link
	lostUntil   map[sched.InstanceID]time.Time
	assignments map[sched.DataCentre]assignment
	sweptAt     time.Time
	open        sync.WaitGroup
}

var _ sched.OrderClient = (*Pool)(nil)

// workerPath is how a worker is called.
type workerPath struct {
	dataCentre  sched.DataCentre
	hash        uint64
	directUntil time.Time
	usedAt      time.Time
}

// assignment is the choice of the agents of a data centre.
type assignment struct {
	agents []*link
	at     time.Time
}

// Close closes all streams and waits until they have ended. Calls in progress fail,
// and later ones are sent directly.
func (p *Pool) Close() {
	p.mu.Lock()
	p.init()
	p.cancel()
	p.MinWorkers = 0
	p.mu.Unlock()
	p.open.Wait()
}

// init prepares the pool at its first use. p.mu must be held.
func (p *Pool) init() {
	if p.context != nil {
		return
	}
	p.context, p.cancel = context.WithCancel(context.Background())
	p.workers, p.counts = map[sched.InstanceID]*workerPath{}, map[sched.DataCentre]int{}
	p.links, p.lostUntil = map[sched.InstanceID]*link{}, map[sched.InstanceID]time.Time{}
	p.assignments = map[sched.DataCentre]assignment{}
}

// Start implements sched.OrderClient.
func (p *Pool) Start(c context.Context, w sched.Worker, o sched.StartOrder) (sched.OrderAnswer, error) {
	return p.order(c, w, startMessage(o), o.Payload, func() (sched.OrderAnswer, error) { return p.Direct.Start(c, w, o) })
}

// Stop implements sched.OrderClient.
func (p *Pool) Stop(c context.Context, w sched.Worker, o sched.StopOrder) (sched.OrderAnswer, error) {
	return p.order(c, w, stopMessage(o), "", func() (sched.OrderAnswer, error) { return p.Direct.Stop(c, w, o) })
}

// Pace implements sched.OrderClient.
func (p *Pool) Pace(c context.Context, w sched.Worker, o sched.PaceOrder) (sched.OrderAnswer, error) {
	return p.order(c, w, paceMessage(o), "", func() (sched.OrderAnswer, error) { return p.Direct.Pace(c, w, o) })
}

// order sends an order through the worker's agent, or directly if no agent got it.
func (p *Pool) order(
	c context.Context, w sched.Worker, m *pb.WorkerOrder, payload string, direct func() (sched.OrderAnswer, error),
) (sched.OrderAnswer, error) {
	a, err := p.carry(c, w, m, payload)
	if errors.Is(err, errDirect) {
		a.OrderAnswer, err = direct()
		p.calledDirectly(w, err)
	}
	return a.OrderAnswer, err
}

// Lease implements sched.OrderClient. If the agent is lost, the order is sent again
// directly: it may safely reach the worker twice, and the lease goes on.
func (p *Pool) Lease(c context.Context, w sched.Worker, o sched.LeaseOrder) (sched.LeaseAnswer, error) {
	a, err := p.carry(c, w, leaseMessage(o), "")
	if errors.Is(err, errDirect) || errors.Is(err, errLost) {
		a, err = p.Direct.Lease(c, w, o)
		p.calledDirectly(w, err)
	}
	return a, err
}

// errDirect reports that no agent has got the order.
var errDirect = errors.New("no agent")

// carry sends an order through the worker's agent.
func (p *Pool) carry(c context.Context, w sched.Worker, m *pb.WorkerOrder, payload string) (sched.LeaseAnswer, error) {
	if !utf8.ValidString(string(w.ID)) || !utf8.ValidString(w.Address) {
		return sched.LeaseAnswer{}, errDirect // a message with it can't be encoded
	}
	l := p.agentOf(w)
	if l == nil || !p.awaitReady(c, l) {
		return sched.LeaseAnswer{}, errDirect
	}
	now := p.Clock.Now()
	deadline := now.Add(unlimitedTimeout)
	if d, limited := c.Deadline(); limited {
		// Deadlines of contexts follow another clock, which may be stepped.
		deadline = now.Add(time.Until(d))
	}
	m.Worker, m.Address = string(w.ID), w.Address
	k := &call{message: m, payload: payload, queuedAt: now, deadline: deadline, result: make(chan *pb.OrderResult, 1)}
	if !l.put(k) {
		return sched.LeaseAnswer{}, errDirect
	}
	select {
	case r, ok := <-k.result:
		if !ok {
			return sched.LeaseAnswer{}, errLost
		}
		a, err := decodeResult(r)
		if err != nil {
			p.callDirectly(w)
		}
		return a, err
	case <-c.Done():
		p.callDirectly(w)
		if !l.forget(k) {
			return sched.LeaseAnswer{}, fmt.Errorf("%w: not sent: %w", sched.ErrUnavailable, c.Err())
		}
		return sched.LeaseAnswer{}, fmt.Errorf("%w: %w", sched.ErrUncertain, c.Err())
	}
}

// awaitReady reports whether the agent takes orders, for which it waits for at most
// openTimeout.
func (p *Pool) awaitReady(c context.Context, l *link) bool {
	select {
	case <-l.ready:
		return true
	default:
	}
	x, cancel := context.WithTimeout(c, openTimeout)
	defer cancel()
	select {
	case <-l.ready:
		return true
	case <-l.done:
	case <-x.Done():
	}
	return false
}

// callDirectly has the worker called directly for directPeriod.
func (p *Pool) callDirectly(w sched.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.workers[w.ID]; x != nil {
		x.directUntil = p.Clock.Now().Add(directPeriod)
	}
}

// calledDirectly takes the result of a direct call. After a failure the agent is used
// again: it may reach the worker where this instance doesn't.
func (p *Pool) calledDirectly(w sched.Worker, err error) {
	if err == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.workers[w.ID]; x != nil {
		x.directUntil = time.Time{}
	}
}

// agentOf returns the link to the agent of a worker, nil if it is to be called
// directly.
func (p *Pool) agentOf(w sched.Worker) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.MinWorkers == 0 {
		return nil
	}
	p.init()
	x := p.workers[w.ID]
	if x == nil {
		x = &workerPath{dataCentre: w.DataCentre, hash: xxhash.Sum64String(string(w.ID))}
		p.workers[w.ID] = x
		p.counts[w.DataCentre]++
	}
	now := p.Clock.Now()
	x.usedAt = now
	p.dropUnusedPaths(now)
	if len(p.workers) < p.MinWorkers || now.Before(x.directUntil) {
		return nil
	}
	agents := p.agents(now, x.dataCentre)
	if len(agents) == 0 {
		return nil
	}
	return agents[x.hash%uint64(len(agents))]
}

// dropUnusedPaths drops the workers that had no order for pathRetention. p.mu must be
// held.
func (p *Pool) dropUnusedPaths(now time.Time) {
	if now.Sub(p.sweptAt) < pathRetention {
		return
	}
	p.sweptAt = now
	for id, x := range p.workers {
		if now.Sub(x.usedAt) >= pathRetention {
			delete(p.workers, id)
			p.counts[x.dataCentre]--
		}
	}
}

// agents returns the agents of a data centre, and chooses them again if one of them
// can't be used or the choice is old. p.mu must be held.
func (p *Pool) agents(now time.Time, d sched.DataCentre) []*link {
	a, known := p.assignments[d]
	if known && now.Sub(a.at) < assignmentAge && !slices.ContainsFunc(a.agents, func(l *link) bool { return !l.usable() }) {
		return a.agents
	}
	a = assignment{at: now}
	n := (p.counts[d] + workersPerAgent - 1) / workersPerAgent
	for _, i := range p.candidates(now, d) {
		if len(a.agents) == n {
			break
		}
		l := p.links[i.ID]
		if l == nil {
			l = p.openLink(i)
		}
		if l.usable() {
			a.agents = append(a.agents, l)
		}
	}
	p.assignments[d] = a
	return a.agents
}

// candidates returns the instances that may be agents of a data centre: those in it
// first, then those in its region, then the others. A hash orders those of each
// group, so that different planners and data centres use different ones.
func (p *Pool) candidates(now time.Time, d sched.DataCentre) []peers.Instance {
	all := slices.DeleteFunc(p.Instances(), func(i peers.Instance) bool { return now.Before(p.lostUntil[i.ID]) })
	var region sched.Region
	for _, i := range all {
		if i.DataCentre == d {
			region = i.Region
		}
	}
	distance := func(i peers.Instance) int {
		switch {
		case i.DataCentre == d:
			return 0
		case i.Region == region:
			return 1
		}
		return 2
	}
	slices.SortFunc(all, func(a, b peers.Instance) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(b.Processors, a.Processors),
			cmp.Compare(xxhash.Sum64String(string(a.ID)+string(d)), xxhash.Sum64String(string(b.ID)+string(d))))
	})
	return all
}

// openLink opens a link to an instance. p.mu must be held.
func (p *Pool) openLink(i peers.Instance) *link {
	p.open.Add(1)
	l := openLink(p.context, p.HTTP, i, p.Clock, p.Log, func() {
		defer p.open.Done()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.links, i.ID)
		p.lostUntil[i.ID] = p.Clock.Now().Add(lostPause)
	})
	p.links[i.ID] = l
	return l
}
