package quota

import (
	"math"
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
	// sameArea is the relative difference up to which two instances of a data
	// centre are taken to tell the same of it.
	sameArea = 0.1
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
	incarnation sched.Incarnation
	demand      demand
	heardAt     time.Time
	leaving     bool
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
		if a.DataCentre != b.options.DataCentre {
			b.hearArea(now, a, h.DataCentre == a.DataCentre)
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
		p = &peer{incarnation: h.Incarnation, demand: demand{}}
		b.peers[h.From] = p
		b.news.forget(h.From) // it knows nothing of what was said before
	}
	p.heardAt = now
	p.leaving = h.State == sched.StateLeaving
	for _, d := range h.Demand {
		if _, ok := b.quotas[d.Team]; ok && valid(d.Offered) {
			p.demand[d.Team] = d.Offered
		}
	}
}

// hearArea takes the demand of another data centre. What comes from there
// directly and is new here is passed on to the peers of this data centre. Each
// instance there tells much the same, so most of it is not new.
func (b *Book) hearArea(now time.Time, heard sched.AreaDemand, direct bool) {
	if heard.AsOf.After(now) {
		heard.AsOf = now // the sender's clock is ahead
	}
	a := b.areas[heard.DataCentre]
	if a == nil {
		a = &area{demand: map[string]areaValue{}}
		b.areas[heard.DataCentre] = a
	}
	if direct && now.Sub(a.heardAt) > headerEvery {
		b.news.touched[heard.DataCentre] = now
	}
	if heard.AsOf.After(a.asOf) {
		a.asOf, a.instances, a.heardAt = heard.AsOf, heard.Instances, now
	}
	for _, d := range heard.Demand {
		v := a.demand[d.Team]
		if _, ok := b.quotas[d.Team]; !ok || !valid(d.Offered) || !heard.AsOf.After(v.asOf) {
			continue
		}
		news := math.Abs(d.Offered-v.rate) > sameArea*v.rate || now.Sub(v.spread) > repeatAfter
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

// Parts returns this instance's parts of all quotas, in the order of the
// teams. Entries is the number of entry instances that are not gone, largest
// the largest such number ever known.
func (b *Book) Parts(now time.Time, entries, largest int) []Part {
	heard := 1
	var peers []*peer
	for id, p := range b.peers {
		if now.Sub(p.heardAt) > peerFresh {
			if now.Sub(p.heardAt) > time.Hour {
				delete(b.peers, id)
			}
			continue
		}
		peers = append(peers, p)
		heard++
	}
	var areas []*area
	for _, a := range b.areas {
		if now.Sub(a.heardAt) <= areaFresh {
			areas = append(areas, a)
			heard += a.instances
		}
	}
	all := max(entries, heard)
	if heard == 1 {
		all = max(all, largest)
	}
	parts := make([]Part, 0, len(b.teams))
	for _, t := range b.teams {
		sum := b.said[t.Name]
		for _, p := range peers {
			sum += p.demand[t.Name]
		}
		for _, a := range areas {
			sum += a.demand[t.Name].rate
		}
		quota := t.Requests * float64(heard) / float64(all)
		parts = append(parts, Part{t.Name, split(quota, b.said[t.Name], sum, heard), t.Requests == 0})
	}
	return parts
}

// split returns the part of one of n instances. If all n use the same quota
// and sum, their parts sum to the quota: each gets its demand, scaled down if
// the sum exceeds the quota less the spare part, and an even part of the rest.
func split(quota, own, sum float64, n int) float64 {
	share := 0.0
	given := 0.0
	if scale := max(sum, (1-spare)*quota); scale > 0 {
		share = (1 - spare) * quota * own / scale
		given = (1 - spare) * quota * sum / scale
	}
	return share + (quota-given)/float64(n)
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
