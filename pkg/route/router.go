package route

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Distances of a backend server.
const (
	tierLocal = iota
	tierRegion
	tierFar
	tiers
)

// likelyFree is the least expected number of free slots that justifies a send,
// alike the difference below which servers count as equally free.
const (
	likelyFree = 0.75
	alike      = 0.5
)

// scanLimit bounds the servers looked at per tier and pick, so that the cost
// of a pick doesn't grow with the fleet.
const scanLimit = 64

// overlap is the number of generations of instances that can be connected at
// once: old instances and the ones that replace them.
const overlap = 2

// startFree is the assumed mean of free slots before a report was seen.
const startFree = 4

// startAnswerBytes is the assumed size of an answer before one was seen.
const startAnswerBytes = 16 << 10

// Query describes the send that needs a backend server.
type Query struct {
	Service string
	Urgency sched.Urgency
	// RequestBytes is the size of the request.
	RequestBytes int64
	// Tried are excluded.
	Tried []sched.InstanceID
}

// Pick is a chosen backend server. Done must be called once when the send has
// ended.
type Pick struct {
	Member sched.Member
	// Far is set if the backend server is in another region.
	Far bool

	fleet *fleet
	chosn *server
	bytes int64
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

	budgetMu sync.Mutex
	budget   byteBudget
	rate     int64
}

// fleet holds the backend servers of one service.
type fleet struct {
	mu          sync.Mutex
	random      *rand.Rand
	byID        map[sched.InstanceID]*server
	byTier      [tiers][]*server
	instances   int
	answerBytes float64
	// meanFree is the mean of the free slots in recent reports.
	meanFree float64
}

// Update replaces the members and the number of entry instances that may be
// connected at the same time (the largest number known). crossRegion is in
// bytes per second. What is known about servers that stay is kept.
func (r *Router) Update(members []sched.Member, instances int, crossRegion int64) {
	byService := map[string][]sched.Member{}
	for _, m := range members {
		if m.Role == sched.RoleBackend {
			byService[m.Service] = append(byService[m.Service], m)
		}
	}
	r.budgetMu.Lock()
	r.rate = crossRegion
	r.budgetMu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fleets == nil {
		r.fleets = map[string]*fleet{}
	}
	for s := range byService {
		if r.fleets[s] == nil {
			seed := r.Seed + uint64(len(r.fleets))
			r.fleets[s] = &fleet{random: rand.New(rand.NewPCG(seed, seed)), answerBytes: startAnswerBytes, meanFree: startFree}
		}
	}
	for s, f := range r.fleets {
		f.update(byService[s], max(instances, 1), r.tier)
	}
}

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
			// Sends to the older incarnation end on its own server value.
			s = &server{}
		}
		s.member, s.tier = m, tier(m)
		f.byID[m.ID] = s
		f.byTier[s.tier] = append(f.byTier[s.tier], s)
	}
}

// Bound returns the number of connections that one instance may have to m, so
// that the instances and the ones that replace them stay within the
// connections of m together.
func Bound(m sched.Member, instances int) int {
	return max(1, m.Connections/(overlap*max(instances, 1)))
}

// Leaving excludes a backend server at once, whatever the list shows.
func (r *Router) Leaving(m sched.Member) {
	f := r.fleet(m.Service)
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.byID[m.ID]; s != nil {
		s.saidLeaving, s.leavingIncarnation = true, m.Incarnation
	}
}

func (r *Router) fleet(service string) *fleet {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.fleets[service]
}

// Pick chooses a backend server. Otherwise the code tells why there is none:
// CodeNoBackend, CodeOverloaded or CodeCrossRegionBudget.
func (r *Router) Pick(q Query, now time.Time) (*Pick, sched.Code) {
	f := r.fleet(q.Service)
	if f == nil {
		return nil, sched.CodeNoBackend
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	code := sched.CodeNoBackend
	for tier := tierLocal; tier < tiers; tier++ {
		s, some := f.best(tier, q.Tried, now)
		if some && code == sched.CodeNoBackend {
			code = sched.CodeOverloaded
		}
		if s == nil {
			continue
		}
		p := &Pick{Member: s.member, Far: tier == tierFar, fleet: f, chosn: s}
		if p.Far {
			p.bytes = q.RequestBytes + int64(f.answerBytes)
			if !r.reserve(q.Urgency, p.bytes, now) {
				return nil, sched.CodeCrossRegionBudget
			}
		}
		s.inFlight++
		s.sent++
		return p, 0
	}
	return nil, code
}

// best returns the better of two random servers among those with the most
// expected free slots, nil if none is expected to take work. some tells
// whether the tier has any server that takes work in general.
func (f *fleet) best(tier int, tried []sched.InstanceID, now time.Time) (chosen *server, some bool) {
	list := f.byTier[tier]
	if len(list) == 0 {
		return nil, false
	}
	var pair [2]*server
	var scores [2]float64
	top, seen := 0.0, 0
	start := f.random.IntN(len(list))
	var probe *server
	for n := range min(len(list), scanLimit) {
		s := list[(start+n)%len(list)]
		if !s.takesWork() {
			continue
		}
		some = true
		if s.inFlight >= Bound(s.member, f.instances) || now.Before(s.refusedUntil) || contains(tried, s.member.ID) {
			continue
		}
		e := s.estimate(f.meanFree, now)
		if e < likelyFree {
			if now.Sub(s.seen) >= knowledgeLife && s.inFlight == 0 && probe == nil {
				probe = s
			}
			continue
		}
		if e > top+alike {
			pair, scores, seen = [2]*server{}, [2]float64{}, 0
		}
		if e < top-alike {
			continue
		}
		top = max(top, e)
		seen++
		// Reservoir sample of two.
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
		return probe, some
	}
	return pair[0], some
}

func contains(list []sched.InstanceID, i sched.InstanceID) bool {
	for _, l := range list {
		if l == i {
			return true
		}
	}
	return false
}

func (r *Router) reserve(u sched.Urgency, bytes int64, now time.Time) bool {
	r.budgetMu.Lock()
	defer r.budgetMu.Unlock()
	r.budget.refill(float64(r.rate), now)
	if !r.budget.allows(u, bytes) {
		return false
	}
	r.budget.spend(bytes)
	return true
}

// freeWeight is the weight of a new report in the mean of free slots.
const freeWeight = 0.02

// answerWeight is the weight of a new answer in the mean size of answers.
const answerWeight = 0.05

// Done ends a send and learns from its result. bytes is the size of request
// and answer together.
func (r *Router) Done(p *Pick, s sched.SendResult, bytes int64, now time.Time) {
	f, c := p.fleet, p.chosn
	f.mu.Lock()
	defer f.mu.Unlock()
	c.inFlight--
	free := s.FreeSlots
	if s.Outcome == sched.OutcomeRefusedNotRun {
		free = max(free, 0)
		c.refusedUntil = now.Add(refusedHold)
		if errors.Is(s.Err, sched.ErrUnreachable) {
			c.refusedUntil = now.Add(unreachableHold)
		}
	}
	if free >= 0 {
		c.report(free, now)
		f.meanFree += freeWeight * (float64(free) - f.meanFree)
	}
	if s.Leaving {
		c.saidLeaving, c.leavingIncarnation = true, p.Member.Incarnation
	}
	if s.Outcome == sched.OutcomeAnswered {
		f.answerBytes += answerWeight * (float64(len(s.Answer.Body)) - f.answerBytes)
	}
	if p.Far {
		r.budgetMu.Lock()
		r.budget.spend(bytes - p.bytes)
		r.budgetMu.Unlock()
	}
}

// Slots returns the slots of a service's backend servers that take work.
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
