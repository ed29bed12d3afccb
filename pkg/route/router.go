package route

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Distances of a backend server from this instance, in the order of preference.
const (
	tierLocal = iota
	tierRegion
	tierFar
	tiers
)

// minExpectedFree is the least expected number of free slots at which a server
// gets a request. equalFreeMargin is the difference in this number up to which
// two servers count as equally free.
const (
	minExpectedFree = 0.75
	equalFreeMargin = 0.5
)

// maxScanned bounds the number of servers examined per tier and pick, so that
// the cost of a pick doesn't grow with the fleet.
const maxScanned = 64

// instanceGenerations is the number of generations of entry instances that can
// have connections at the same time: old instances and their replacements.
const instanceGenerations = 2

// initialMeanFree is the mean number of free slots assumed before the first
// report.
const initialMeanFree = 4

// initialAnswerBytes is the mean size of an answer assumed before the first
// one.
const initialAnswerBytes = 16 << 10

// Query describes the send that needs a backend server.
type Query struct {
	Service string
	Urgency sched.Urgency
	// RequestBytes is the size of the request in bytes.
	RequestBytes int64
	// Exclude lists the backend servers to exclude, because earlier sends of the
	// request went to them.
	Exclude []sched.InstanceID
}

// Pick is a chosen backend server. Router.Done must be called once with it when
// the send has ended.
type Pick struct {
	Member sched.Member
	// CrossRegion is set if the backend server is in another region.
	CrossRegion bool

	fleet         *fleet
	server        *server
	reservedBytes int64
}

// Router chooses backend servers. It is safe for concurrent use; each service
// has its own lock.
type Router struct {
	// Region and DataCentre are those of this instance. Set before use.
	Region     sched.Region
	DataCentre sched.DataCentre
	// Seed makes the random choices repeatable. Set before use.
	Seed uint64

	mu     sync.RWMutex
	fleets map[string]*fleet

	budgetMu        sync.Mutex
	budget          byteBudget
	crossRegionRate int64
}

// fleet holds the backend servers of one service.
type fleet struct {
	mu          sync.Mutex
	random      *rand.Rand
	byID        map[sched.InstanceID]*server
	byTier      [tiers][]*server
	instances   int
	answerBytes float64
	// meanFree is the exponentially weighted moving average of the reported
	// numbers of free slots.
	meanFree float64
}

// Update replaces the members. instances is the largest number of entry
// instances that may have connections at the same time. crossRegion is the
// budget for other regions in bytes per second. The state of servers that stay
// with the same incarnation is kept.
func (r *Router) Update(members []sched.Member, instances int, crossRegion int64) {
	byService := map[string][]sched.Member{}
	for _, m := range members {
		if m.Role == sched.RoleBackend {
			byService[m.Service] = append(byService[m.Service], m)
		}
	}
	r.budgetMu.Lock()
	r.crossRegionRate = crossRegion
	r.budgetMu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fleets == nil {
		r.fleets = map[string]*fleet{}
	}
	for s := range byService {
		if r.fleets[s] == nil {
			seed := r.Seed + uint64(len(r.fleets))
			r.fleets[s] = &fleet{
				random:      rand.New(rand.NewPCG(seed, seed)),
				answerBytes: initialAnswerBytes, meanFree: initialMeanFree,
			}
		}
	}
	for s, f := range r.fleets {
		f.update(byService[s], max(instances, 1), r.tier)
	}
}

// tier returns the distance of m from this instance.
func (r *Router) tier(m sched.Member) int {
	switch {
	case m.Region != r.Region:
		return tierFar
	case m.DataCentre != r.DataCentre:
		return tierRegion
	}
	return tierLocal
}

func (f *fleet) update(members []sched.Member, instances int, tier func(sched.Member) int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.byID
	f.instances = instances
	f.byID = make(map[sched.InstanceID]*server, len(members))
	f.byTier = [tiers][]*server{}
	for _, m := range members {
		s := old[m.ID]
		if s == nil || s.member.Incarnation != m.Incarnation {
			// Sends to the older incarnation keep its server value until Done.
			s = &server{}
		}
		s.member, s.tier = m, tier(m)
		f.byID[m.ID] = s
		f.byTier[s.tier] = append(f.byTier[s.tier], s)
	}
}

// MaxConnections returns the number of connections that one instance may have to m. It
// keeps the instances and their replacements together within m.Connections,
// unless that would leave an instance without a connection.
func MaxConnections(m sched.Member, instances int) int {
	return max(1, m.Connections/(instanceGenerations*max(instances, 1)))
}

// MarkLeaving stops new sends to this incarnation of a backend server at once,
// whatever state later members show.
func (r *Router) MarkLeaving(m sched.Member) {
	f := r.fleet(m.Service)
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.byID[m.ID]; s != nil {
		s.reportedLeaving, s.leavingIncarnation = true, m.Incarnation
	}
}

func (r *Router) fleet(service string) *fleet {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.fleets[service]
}

// Pick chooses a backend server. If there is none, the code is CodeNoBackend,
// CodeOverloaded or CodeCrossRegionBudget.
func (r *Router) Pick(q Query, now time.Time) (*Pick, sched.Code) {
	f := r.fleet(q.Service)
	if f == nil {
		return nil, sched.CodeNoBackend
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	code := sched.CodeNoBackend
	for tier := tierLocal; tier < tiers; tier++ {
		s, available := f.bestServer(tier, q.Exclude, now)
		if available && code == sched.CodeNoBackend {
			code = sched.CodeOverloaded
		}
		if s == nil {
			continue
		}
		p := &Pick{Member: s.member, CrossRegion: tier == tierFar, fleet: f, server: s}
		if p.CrossRegion {
			p.reservedBytes = q.RequestBytes + int64(f.answerBytes)
			if !r.reserveBytes(q.Urgency, p.reservedBytes, now) {
				return nil, sched.CodeCrossRegionBudget
			}
		}
		s.inFlight++
		s.sentSinceReport++
		return p, 0
	}
	return nil, code
}

// bestServer returns the better of two random servers among those with the most
// expected free slots. If no server is expected to have a free slot, it returns
// an idle server without a recent report, as a probe, or nil. available reports
// whether any of the examined servers takes work, even if it can't be chosen
// now.
func (f *fleet) bestServer(tier int, tried []sched.InstanceID, now time.Time) (chosen *server, available bool) {
	list := f.byTier[tier]
	if len(list) == 0 {
		return nil, false
	}
	var pair [2]*server
	var scores [2]float64
	top, seen := 0.0, 0
	start := f.random.IntN(len(list))
	var probe *server
	for n := range min(len(list), maxScanned) {
		s := list[(start+n)%len(list)]
		if !s.takesWork() {
			continue
		}
		available = true
		if s.inFlight >= MaxConnections(s.member, f.instances) || now.Before(s.refusedUntil) || contains(tried, s.member.ID) {
			continue
		}
		e := s.estimate(f.meanFree, now)
		if e < minExpectedFree {
			if now.Sub(s.reportedAt) >= reportLifetime && s.inFlight == 0 && probe == nil {
				probe = s
			}
			continue
		}
		if e > top+equalFreeMargin {
			pair, scores, seen = [2]*server{}, [2]float64{}, 0
		}
		if e < top-equalFreeMargin {
			continue
		}
		top = max(top, e)
		seen++
		// Reservoir sampling of two servers.
		if at := seen - 1; at < len(pair) {
			pair[at], scores[at] = s, e
		} else if at := f.random.IntN(seen); at < len(pair) {
			pair[at], scores[at] = s, e
		}
	}
	if pair[1] != nil && scores[1] > scores[0] {
		return pair[1], true
	}
	if pair[0] == nil {
		return probe, available
	}
	return pair[0], available
}

func contains(list []sched.InstanceID, i sched.InstanceID) bool {
	for _, l := range list {
		if l == i {
			return true
		}
	}
	return false
}

// reserveBytes takes bytes from the cross-region budget. It returns false if the
// class may not spend them.
func (r *Router) reserveBytes(u sched.Urgency, bytes int64, now time.Time) bool {
	r.budgetMu.Lock()
	defer r.budgetMu.Unlock()
	r.budget.refill(float64(r.crossRegionRate), now)
	if !r.budget.allows(u, bytes) {
		return false
	}
	r.budget.spend(bytes)
	return true
}

// meanFreeWeight is the weight of a new report in the moving average of free
// slots.
const meanFreeWeight = 0.02

// answerBytesWeight is the weight of a new answer in the moving average of
// answer sizes.
const answerBytesWeight = 0.05

// Done ends a send and updates the server's state with the result. bytes is the
// size of request and answer together; for a send to another region it replaces
// the estimate that Pick took from the budget.
func (r *Router) Done(p *Pick, s sched.SendResult, bytes int64, now time.Time) {
	f, c := p.fleet, p.server
	f.mu.Lock()
	defer f.mu.Unlock()
	c.inFlight--
	free := s.FreeSlots
	if s.Outcome == sched.OutcomeRefusedNotRun {
		free = max(free, 0)
		c.refusedUntil = now.Add(refusedBackoff)
		if errors.Is(s.Err, sched.ErrUnreachable) {
			c.refusedUntil = now.Add(unreachableBackoff)
		}
	}
	if free >= 0 {
		c.recordReport(free, now)
		f.meanFree += meanFreeWeight * (float64(free) - f.meanFree)
	}
	if s.Leaving {
		c.reportedLeaving, c.leavingIncarnation = true, p.Member.Incarnation
	}
	if s.Outcome == sched.OutcomeAnswered {
		f.answerBytes += answerBytesWeight * (float64(len(s.Answer.Body)) - f.answerBytes)
	}
	if p.CrossRegion {
		r.budgetMu.Lock()
		r.budget.spend(bytes - p.reservedBytes)
		r.budgetMu.Unlock()
	}
}

// Slots returns the total number of slots of a service's backend servers that
// take work.
func (r *Router) Slots(service string) int {
	f := r.fleet(service)
	if f == nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.byID {
		if s.takesWork() {
			n += s.member.Slots
		}
	}
	return n
}
