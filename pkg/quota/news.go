package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// peerItems and areaItems bound the teams per heartbeat, inside the data
	// centre (one a second to each peer) and outside (one a second in all). An
	// item takes about 17 bytes; both bounds together stay below 2 KB/s with 8
	// peers, both ways.
	peerItems = 6
	areaItems = 12
	// A change is told if it is over changePart of the value told before, over
	// a part of an even part of the quota, and over the noise of counting. What
	// is not told makes parts less fitting, but they still sum to the quota, as
	// every instance reckons with what it has told.
	changePart = 0.2
	// sumPart replaces changePart for the demand of the whole data centre: the
	// data centre itself reckons with the exact sum.
	sumPart   = 0.05
	quotaPart = 0.1
	// calmPart replaces quotaPart while the known demand is at most half of the
	// quota. Then everyone's part exceeds its told demand by at least half of
	// an even part, so that what is not told is admitted all the same.
	calmPart = 0.5
	// noise is the number of standard deviations that a change must exceed. The
	// smoothed demand averages over about noiseWindow seconds.
	noise       = 2
	noiseWindow = 3
	// repeatAfter and repeatCalm are the ages at which a value is told again,
	// for peers that missed it because an answer was lost. With 170 teams and 18
	// data centres, a repetition every minute alone would fill the heartbeats.
	repeatAfter = 3 * time.Minute
	repeatCalm  = 15 * time.Minute
	// headerEvery is the time after which a data centre that is heard without
	// changes is mentioned to a peer again. It is well below areaFresh.
	headerEvery = 5 * time.Second
)

// item is the demand of a team at this instance (no data centre) or in another
// data centre.
type item struct {
	centre sched.DataCentre
	team   string
}

type told struct {
	number uint64
	at     time.Time
}

// progress is how far a receiver has been told, now and before the newest
// heartbeat to it.
type progress struct {
	upTo    uint64
	before  uint64
	headers map[sched.DataCentre]time.Time
}

// news numbers the changes, so that each receiver gets those after the last
// one that it was told.
type news struct {
	last  uint64
	items map[item]told
	// sums holds the changes of the demand of the own data centre, for
	// receivers outside, and sumSaid the values told.
	sums    map[string]told
	sumSaid demand
	touched map[sched.DataCentre]time.Time
	// peers holds the progress of the peers in the data centre; outside, it is
	// enough that anyone in a data centre has been told.
	peers map[sched.InstanceID]*progress
	areas map[sched.DataCentre]*progress
}

func newNews() news {
	return news{
		items: map[item]told{}, sums: map[string]told{}, sumSaid: demand{},
		touched: map[sched.DataCentre]time.Time{},
		peers:   map[sched.InstanceID]*progress{}, areas: map[sched.DataCentre]*progress{},
	}
}

func (n *news) next(now time.Time) told {
	n.last++
	return told{n.last, now}
}

func (n *news) forget(p sched.InstanceID) { delete(n.peers, p) }

func (n *news) failed(p sched.InstanceID, d sched.DataCentre) {
	for _, q := range []*progress{n.peers[p], n.areas[d]} {
		if q != nil {
			q.upTo = q.before
			q.headers = nil
		}
	}
}

func (n *news) keep(quotas map[string]float64) {
	for i := range n.items {
		if _, ok := quotas[i.team]; !ok {
			delete(n.items, i)
		}
	}
	for team := range n.sums {
		if _, ok := quotas[team]; !ok {
			delete(n.sums, team)
			delete(n.sumSaid, team)
		}
	}
}

func (n *news) peer(p sched.InstanceID) *progress {
	q := n.peers[p]
	if q == nil {
		q = &progress{}
		n.peers[p] = q
	}
	return q
}

// changed tells whether a value is worth telling.
func changed(said, is, relative, evenPart float64, calm bool) bool {
	part := quotaPart
	if calm {
		part = calmPart
	}
	deviation := math.Sqrt(max(said, is) / noiseWindow)
	return math.Abs(is-said) > max(relative*said, part*evenPart, noise*deviation)
}

// announce finds the own demand and the demand of the data centre that are
// worth telling.
func (b *Book) announce(now time.Time) {
	r := b.reach(now)
	peers, reports := r.peers, b.reports(r)
	centres := float64(len(b.areas) + 1)
	for _, t := range b.teams {
		if t.Requests == 0 {
			continue
		}
		sum := b.said[t.Name]
		for _, p := range peers {
			sum += p.demand[t.Name]
		}
		all := sum
		for _, a := range b.areas {
			all += a.demand[t.Name].rate
		}
		calm, repeat := all <= t.Requests/2, repeatAfter
		if calm {
			repeat = repeatCalm
		}
		is := b.own[t.Name]
		old, known := b.news.items[item{"", t.Name}]
		if changed(b.said[t.Name], is, changePart, t.Requests/(centres*float64(len(peers)+1)), calm) ||
			known && now.Sub(old.at) > repeat {
			sum += is - b.said[t.Name]
			b.said[t.Name] = is
			b.news.items[item{"", t.Name}] = b.news.next(now)
		}
		if !reports {
			continue
		}
		old, known = b.news.sums[t.Name]
		if changed(b.news.sumSaid[t.Name], sum, sumPart, t.Requests/centres, calm) ||
			known && now.Sub(old.at) > repeat {
			b.news.sumSaid[t.Name] = sum
			b.news.sums[t.Name] = b.news.next(now)
			b.news.items[item{b.options.DataCentre, t.Name}] = b.news.sums[t.Name]
		}
	}
}

// numberedItem is a change that a receiver has not been told.
type numberedItem struct {
	item
	number uint64
}

// after returns up to limit changes after the progress, oldest first, and
// moves the progress on.
func after(all []numberedItem, q *progress, limit int) []item {
	slices.SortFunc(all, func(a, b numberedItem) int { return cmp.Compare(a.number, b.number) })
	q.before = q.upTo
	var out []item
	for _, i := range all[:min(limit, len(all))] {
		out = append(out, i.item)
		q.upTo = i.number
	}
	return out
}

// peerNews returns what a peer in the data centre has not been told.
func (b *Book) peerNews(now time.Time, to sched.InstanceID) ([]sched.TeamDemand, []sched.AreaDemand) {
	q := b.news.peer(to)
	var all []numberedItem
	for i, t := range b.news.items {
		if t.number > q.upTo {
			all = append(all, numberedItem{i, t.number})
		}
	}
	var own []sched.TeamDemand
	var areas []sched.AreaDemand
	for _, i := range after(all, q, peerItems) {
		if i.centre == "" {
			own = append(own, sched.TeamDemand{Team: i.team, Offered: b.said[i.team]})
			continue
		}
		areas = b.relay(areas, i)
	}
	return own, b.headers(now, q, areas)
}

// relay adds an item to the entry of its data centre and time.
func (b *Book) relay(areas []sched.AreaDemand, i item) []sched.AreaDemand {
	a, v := &area{instances: 1}, areaValue{rate: b.news.sumSaid[i.team], asOf: b.news.sums[i.team].at}
	if i.centre != b.options.DataCentre {
		a = b.areas[i.centre]
		v = a.demand[i.team]
	}
	d := sched.TeamDemand{Team: i.team, Offered: v.rate}
	for k := range areas {
		if areas[k].DataCentre == i.centre && areas[k].AsOf.Equal(v.asOf) {
			areas[k].Demand = append(areas[k].Demand, d)
			return areas
		}
	}
	return append(areas, sched.AreaDemand{
		DataCentre: i.centre, Instances: a.instances, AsOf: v.asOf, Partial: a.partial, Demand: []sched.TeamDemand{d},
	})
}

// headers mentions the data centres that were heard directly, also without
// changes: hearing of them keeps their part of the quotas apart.
func (b *Book) headers(now time.Time, q *progress, areas []sched.AreaDemand) []sched.AreaDemand {
	if q.headers == nil {
		q.headers = map[sched.DataCentre]time.Time{}
	}
	for _, a := range areas {
		q.headers[a.DataCentre] = now
	}
	for d, at := range b.news.touched {
		if now.Sub(at) > headerEvery || now.Sub(q.headers[d]) < headerEvery {
			continue
		}
		q.headers[d] = now
		a := b.areas[d]
		areas = append(areas, sched.AreaDemand{DataCentre: d, Instances: a.instances, AsOf: a.asOf, Partial: a.partial})
	}
	slices.SortStableFunc(areas, func(x, y sched.AreaDemand) int { return cmp.Compare(x.DataCentre, y.DataCentre) })
	return areas
}

// areaNews returns the demand of the own data centre that nobody in the
// receiver's data centre has been told by this instance.
func (b *Book) areaNews(now time.Time, d sched.DataCentre) []sched.AreaDemand {
	q := b.news.areas[d]
	if q == nil {
		q = &progress{}
		b.news.areas[d] = q
	}
	var all []numberedItem
	for team, t := range b.news.sums {
		if t.number > q.upTo {
			all = append(all, numberedItem{item{"", team}, t.number})
		}
	}
	r := b.reach(now)
	own := sched.AreaDemand{DataCentre: b.options.DataCentre, Instances: r.here, AsOf: now, Partial: r.partial}
	for _, p := range r.peers {
		own.Partial = own.Partial || p.partial
	}
	areas := []sched.AreaDemand{own}
	for _, i := range after(all, q, areaItems) {
		// The time is that of the reporter, so that a value which this instance
		// passes on late doesn't replace a newer one.
		areas = b.relay(areas, item{b.options.DataCentre, i.team})
	}
	return areas
}
