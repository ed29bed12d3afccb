package quota

import (
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// spare is the part of a quota that is split evenly whatever the demand,
	// so that an instance without demand can take its first requests before
	// the others have heard of them.
	spare = 0.1
	// peerFresh and areaFresh bound the age of what is heard inside and outside
	// the data centre. Outside, an instance contacts two others every 2 s.
	peerFresh = 5 * time.Second
	areaFresh = 20 * time.Second
	// minInterval is the shortest time over which demand is measured.
	minInterval = 500 * time.Millisecond
	// smoothing is the weight of the newest measurement.
	smoothing = 0.5
)

// Options are set once.
type Options struct {
	Self       sched.InstanceID
	DataCentre sched.DataCentre
}

// demand is what one source offers of each team, in requests per second.
type demand map[string]float64

type peer struct {
	id          sched.InstanceID
	incarnation sched.Incarnation
	demand      demand
	// heardAt is the newest contact that is known to work both ways, contactAt
	// the newest at all.
	heardAt   time.Time
	contactAt time.Time
	leaving   bool
	partial   bool
}

// areaValue is the demand of a data centre for one team.
type areaValue struct {
	rate float64
	asOf time.Time
	// spread is the time at which it was last passed on in this data centre, by
	// anyone.
	spread time.Time
}

type area struct {
	instances int
	asOf      time.Time
	heardAt   time.Time
	// contactAt is the newest contact of this instance, if only one way.
	contactAt time.Time
	partial   bool
	demand    map[string]areaValue
}

// Book splits the quotas. It is not safe for concurrent use.
type Book struct {
	options Options
	teams   []sched.TeamSettings
	quotas  map[string]float64
	// own is the measured demand, said what the peers have been told.
	own     demand
	said    demand
	counts  map[string]Count
	sampled time.Time
	peers   map[sched.InstanceID]*peer
	areas   map[sched.DataCentre]*area
	news    news
	// entries is the number of entry instances at the newest call of Parts.
	entries int
}

// New returns a book without teams.
func New(o Options) *Book {
	return &Book{
		options: o, quotas: map[string]float64{}, own: demand{}, said: demand{},
		counts: map[string]Count{}, peers: map[sched.InstanceID]*peer{}, areas: map[sched.DataCentre]*area{},
		news: newNews(),
	}
}

// SetTeams takes the teams of the configuration in force.
func (b *Book) SetTeams(teams []sched.TeamSettings) {
	b.teams = teams
	b.quotas = make(map[string]float64, len(teams))
	for _, t := range teams {
		b.quotas[t.Name] = t.Requests
	}
	for _, d := range []demand{b.own, b.said} {
		for team := range d {
			if _, ok := b.quotas[team]; !ok {
				delete(d, team)
			}
		}
	}
	b.news.keep(b.quotas)
}

// Sample measures the own demand from the gate's running totals.
func (b *Book) Sample(now time.Time, counts []Count) {
	passed := now.Sub(b.sampled)
	if passed < minInterval {
		return
	}
	first := b.sampled.IsZero()
	b.sampled = now
	for _, c := range counts {
		before := b.counts[c.Team]
		b.counts[c.Team] = c
		if _, ok := b.quotas[c.Team]; !ok || first || c.Offered < before.Offered {
			continue
		}
		b.own[c.Team] += smoothing * (float64(c.Offered-before.Offered)/passed.Seconds() - b.own[c.Team])
	}
	b.announce(now)
}

// Hear takes a peer's heartbeat.
func (b *Book) Hear(now time.Time, h sched.Heartbeat) {
	if h.From == b.options.Self {
		return
	}
	if h.DataCentre == b.options.DataCentre {
		b.hearPeer(now, h)
	}
	for _, a := range h.Areas {
		switch {
		case a.DataCentre != b.options.DataCentre:
			b.hearArea(now, a, h.DataCentre == a.DataCentre, h.Unheard)
		case h.DataCentre == b.options.DataCentre:
			b.hearSums(now, a)
		}
	}
}

// valid refuses rates that would spoil every sum they are part of.
func valid(rate float64) bool { return rate >= 0 && rate < 1e9 }

func (b *Book) hearPeer(now time.Time, h sched.Heartbeat) {
	p := b.peers[h.From]
	if p != nil && h.Incarnation < p.incarnation {
		return
	}
	if p == nil || h.Incarnation > p.incarnation {
		p = &peer{id: h.From, incarnation: h.Incarnation, demand: demand{}}
		b.peers[h.From] = p
		b.news.forget(h.From) // it knows nothing of what was said before
	}
	p.contactAt = now
	p.leaving, p.partial = h.State == sched.StateLeaving, h.Partial
	p.heardAt = now
	if h.Unheard {
		p.heardAt = time.Time{}
		b.news.forget(h.From) // what was said got lost
	}
	for _, d := range h.Demand {
		if _, ok := b.quotas[d.Team]; ok && valid(d.Offered) {
			p.demand[d.Team] = d.Offered
		}
	}
}

// Unheard tells whether to set the field of that name in a heartbeat. Where
// only one way is cut, the side that hears would else reckon with both sides
// while the other reckons with its own, and together they would exceed the
// quotas.
func (b *Book) Unheard(now time.Time, to sched.InstanceID, d sched.DataCentre) bool {
	if d != b.options.DataCentre {
		a := b.areas[d]
		return a == nil || now.Sub(a.heardAt) > areaFresh && now.Sub(a.contactAt) > areaFresh
	}
	p := b.peers[to]
	return p == nil || now.Sub(p.contactAt) > peerFresh
}

// hearArea takes the demand of another data centre. What comes from there
// directly and is new here is passed on to the peers of this data centre. All
// instances there tell the same, so most of it is not new.
func (b *Book) hearArea(now time.Time, heard sched.AreaDemand, direct, unheard bool) {
	if heard.AsOf.After(now) {
		heard.AsOf = now // the sender's clock is ahead
	}
	a := b.areas[heard.DataCentre]
	if a == nil {
		a = &area{demand: map[string]areaValue{}}
		b.areas[heard.DataCentre] = a
	}
	if direct {
		a.contactAt = now
	}
	if unheard {
		a.heardAt = time.Time{}
		delete(b.news.areas, heard.DataCentre) // what was said got lost
		return
	}
	if direct && now.Sub(a.heardAt) > headerEvery {
		b.news.touched[heard.DataCentre] = now
	}
	if heard.AsOf.After(a.asOf) {
		a.asOf, a.instances, a.heardAt, a.partial = heard.AsOf, heard.Instances, now, heard.Partial
	}
	for _, d := range heard.Demand {
		v := a.demand[d.Team]
		if _, ok := b.quotas[d.Team]; !ok || !valid(d.Offered) || !heard.AsOf.After(v.asOf) {
			continue
		}
		news := d.Offered != v.rate || now.Sub(v.spread) > repeatAfter
		v.asOf = heard.AsOf
		if !direct || news {
			v.rate, v.spread = d.Offered, now
		}
		a.demand[d.Team] = v
		switch {
		case !direct:
			delete(b.news.items, item{heard.DataCentre, d.Team}) // a peer passes on something newer
		case news:
			b.news.items[item{heard.DataCentre, d.Team}] = b.news.next(now)
		}
	}
}

// hearSums takes the demand of the own data centre from its reporter.
func (b *Book) hearSums(now time.Time, heard sched.AreaDemand) {
	for _, d := range heard.Demand {
		old := b.news.sums[d.Team]
		if _, ok := b.quotas[d.Team]; !ok || !valid(d.Offered) || !heard.AsOf.After(old.at) {
			continue
		}
		b.news.sumSaid[d.Team] = d.Offered
		b.news.sums[d.Team] = told{b.news.next(now).number, heard.AsOf}
	}
}

// reports tells whether this instance sums up the demand of the data centre:
// the one with the lowest id does. With one value from one instance, all
// instances here and outside reckon with the same one.
func (b *Book) reports(r reach) bool {
	for _, p := range r.peers {
		if p.id < b.options.Self {
			return false
		}
	}
	return true
}

// reach is what an instance hears now.
type reach struct {
	peers []*peer
	areas []*area
	// here and all are the numbers of instances heard in the data centre and
	// everywhere, this one included.
	here int
	all  int
	// partial is set if an instance that is not gone is not heard, and doubt
	// also if another one reports that.
	partial bool
	doubt   bool
}

func (b *Book) reach(now time.Time) reach {
	r := reach{here: 1}
	for id, p := range b.peers {
		switch {
		case now.Sub(p.contactAt) > time.Hour:
			delete(b.peers, id)
		case now.Sub(p.heardAt) <= peerFresh && !p.leaving:
			r.peers = append(r.peers, p)
			r.here++
			r.doubt = r.doubt || p.partial
		}
	}
	r.all = r.here
	for _, a := range b.areas {
		if now.Sub(a.heardAt) <= areaFresh {
			r.areas = append(r.areas, a)
			r.all += a.instances
			r.doubt = r.doubt || a.partial
		}
	}
	r.partial = r.all < b.entries
	r.doubt = r.doubt || r.partial
	return r
}

// Parts returns this instance's parts of all quotas, in the order of the
// teams. Entries is the number of entry instances that may admit requests,
// largest the largest such number ever known.
//
// If all hear each other, the parts follow the demand everywhere. If anyone
// doesn't, who hears whom may differ between any two, so each data centre
// takes the even part of the instances that hear each other there and follows
// the demand only within. Otherwise a data centre reckons with the demand that
// it has told others, so that all come to the same split.
func (b *Book) Parts(now time.Time, entries, largest int) []Part {
	b.entries = entries
	r := b.reach(now)
	all := max(entries, r.all)
	if r.all == 1 {
		all = max(all, largest)
	}
	here := float64(r.here) / float64(all)
	parts := make([]Part, 0, len(b.teams))
	for _, t := range b.teams {
		centre := t.Requests * here
		if !r.doubt {
			sum := b.news.sumSaid[t.Name]
			for _, a := range r.areas {
				sum += a.demand[t.Name].rate
			}
			centre = split(t.Requests, b.news.sumSaid[t.Name], sum, here)
		}
		sum := b.said[t.Name]
		for _, p := range r.peers {
			sum += p.demand[t.Name]
		}
		parts = append(parts, Part{t.Name, split(centre, b.said[t.Name], sum, 1/float64(r.here)), t.Requests == 0})
	}
	return parts
}

// Partial tells whether to set the field of that name in heartbeats.
func (b *Book) Partial(now time.Time) bool { return b.reach(now).partial }

// split returns the part of one of several that share a quota. If all use the
// same quota and sum, and their even parts sum to 1, their parts sum to the
// quota: each gets its demand, scaled down if the sum exceeds the quota less
// the spare part, and its even part of the rest.
func split(quota, own, sum, even float64) float64 {
	share := 0.0
	given := 0.0
	if scale := max(sum, (1-spare)*quota); scale > 0 {
		share = (1 - spare) * quota * own / scale
		given = (1 - spare) * quota * sum / scale
	}
	return share + (quota-given)*even
}

// Report returns what to put into the next heartbeat to a peer: the own demand
// that changed and the demand of data centres. The amount per heartbeat is
// bounded; the rest follows in the next ones.
func (b *Book) Report(now time.Time, to sched.InstanceID, d sched.DataCentre) ([]sched.TeamDemand, []sched.AreaDemand) {
	if d == b.options.DataCentre {
		return b.peerNews(now, to)
	}
	return nil, b.areaNews(now, d)
}

// Failed reports that a heartbeat to the peer did not get through, so that its
// content is sent again.
func (b *Book) Failed(to sched.InstanceID, d sched.DataCentre) { b.news.failed(to, d) }

// Lost returns the ids of peers that have not been heard for a while, for
// tests and status.
func (b *Book) Lost(now time.Time) []sched.InstanceID {
	var lost []sched.InstanceID
	for id, p := range b.peers {
		if now.Sub(p.heardAt) > peerFresh {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	return lost
}
