package quota

import (
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// evenShare is the fraction of a quota that is split evenly regardless of
	// demand, so that an instance without demand can admit its first requests
	// before the others have received its new demand.
	evenShare = 0.1
	// peerMaxAge and areaMaxAge are the ages up to which information from inside
	// and from outside the data centre is used. Outside, an instance contacts
	// only two others every 2 s, so that information is older.
	peerMaxAge = 5 * time.Second
	areaMaxAge = 20 * time.Second
	// minSampleInterval is the shortest time over which demand is measured.
	minSampleInterval = 500 * time.Millisecond
	// smoothingWeight is the weight of the newest measurement in the
	// exponentially weighted moving average of the demand.
	smoothingWeight = 0.5
)

// Options identify the instance that a Splitter works for.
type Options struct {
	Self       sched.InstanceID
	DataCentre sched.DataCentre
}

// demand is the rate of requests offered at one source per team, in requests per
// second.
type demand map[string]float64

// peer is what is known of another instance in the data centre.
type peer struct {
	id          sched.InstanceID
	incarnation sched.Incarnation
	demand      demand
	// confirmedAt is the time of the last heartbeat, or zero if that had Unheard
	// set, so that contact works in one direction only. receivedAt is the time
	// of the last heartbeat in any case.
	confirmedAt time.Time
	receivedAt  time.Time
	leaving     bool
	partial     bool
}

// areaValue is the demand of a data centre for one team.
type areaValue struct {
	rate float64
	asOf time.Time
	// relayedAt is the time at which any instance last passed the value on
	// within this data centre.
	relayedAt time.Time
}

// area is what is known of another data centre.
type area struct {
	instances int
	asOf      time.Time
	// confirmedAt is the time at which newer information about the data centre
	// last arrived, directly or through a peer. A heartbeat with Unheard set
	// resets it to zero. receivedAt is the time of the last heartbeat that this
	// instance received from there.
	confirmedAt time.Time
	receivedAt  time.Time
	partial     bool
	demand      map[string]areaValue
}

// Splitter decides which part of each quota this instance takes. It is not safe for
// concurrent use.
type Splitter struct {
	options Options
	teams   []sched.TeamSettings
	quotas  map[string]float64
	// measured is the demand at this instance, and announced the value that the
	// peers have been sent.
	measured   demand
	announced  demand
	lastCounts map[string]Count
	sampledAt  time.Time
	peers      map[sched.InstanceID]*peer
	areas      map[sched.DataCentre]*area
	changes    changeLog
	// entryInstances is the number of entry instances given to the last call of
	// Parts.
	entryInstances int
}

// New returns a book without teams.
func New(o Options) *Splitter {
	return &Splitter{
		options: o, quotas: map[string]float64{}, measured: demand{}, announced: demand{},
		lastCounts: map[string]Count{}, peers: map[sched.InstanceID]*peer{}, areas: map[sched.DataCentre]*area{},
		changes: newChangeLog(),
	}
}

// SetTeams replaces the teams by those of the configuration in force, and drops
// the demand of teams that are not among them.
func (b *Splitter) SetTeams(teams []sched.TeamSettings) {
	b.teams = teams
	b.quotas = make(map[string]float64, len(teams))
	for _, t := range teams {
		b.quotas[t.Name] = t.Requests
	}
	for _, d := range []demand{b.measured, b.announced} {
		for team := range d {
			if _, ok := b.quotas[team]; !ok {
				delete(d, team)
			}
		}
	}
	b.changes.retainTeams(b.quotas)
}

// Sample measures the demand at this instance from the gate's running totals. It
// does nothing within minSampleInterval of the last measurement.
func (b *Splitter) Sample(now time.Time, counts []Count) {
	passed := now.Sub(b.sampledAt)
	if passed < minSampleInterval {
		return
	}
	first := b.sampledAt.IsZero()
	b.sampledAt = now
	for _, c := range counts {
		before := b.lastCounts[c.Team]
		b.lastCounts[c.Team] = c
		if _, ok := b.quotas[c.Team]; !ok || first || c.Offered < before.Offered {
			continue
		}
		b.measured[c.Team] += smoothingWeight * (float64(c.Offered-before.Offered)/passed.Seconds() - b.measured[c.Team])
	}
	b.recordChanges(now)
}

// ApplyHeartbeat processes a heartbeat from another instance.
func (b *Splitter) ApplyHeartbeat(now time.Time, h sched.Heartbeat) {
	if h.From == b.options.Self {
		return
	}
	if h.DataCentre == b.options.DataCentre {
		b.observePeer(now, h)
	}
	for _, a := range h.Areas {
		switch {
		case a.DataCentre != b.options.DataCentre:
			b.observeArea(now, a, h.DataCentre == a.DataCentre, h.Unheard)
		case h.DataCentre == b.options.DataCentre:
			b.observeCentreSums(now, a)
		}
	}
}

// validRate reports whether a rate is in a plausible range. A NaN, infinite or
// negative rate would make every sum that it is part of useless.
func validRate(rate float64) bool { return rate >= 0 && rate < 1e9 }

func (b *Splitter) observePeer(now time.Time, h sched.Heartbeat) {
	p := b.peers[h.From]
	if p != nil && h.Incarnation < p.incarnation {
		return
	}
	if p == nil || h.Incarnation > p.incarnation {
		p = &peer{id: h.From, incarnation: h.Incarnation, demand: demand{}}
		b.peers[h.From] = p
		b.changes.forgetPeer(h.From) // a new incarnation has none of the earlier changes
	}
	p.receivedAt = now
	p.leaving, p.partial = h.State == sched.StateLeaving, h.Partial
	p.confirmedAt = now
	if h.Unheard {
		p.confirmedAt = time.Time{}
		b.changes.forgetPeer(h.From) // earlier changes were lost on the way
	}
	for _, d := range h.Demand {
		if _, ok := b.quotas[d.Team]; ok && validRate(d.Offered) {
			p.demand[d.Team] = d.Offered
		}
	}
}

// Unheard reports whether to set the field of that name in a heartbeat: nothing
// was received lately from the receiver or, outside the data centre, from the
// receiver's data centre. Without the field, if a connection fails in one
// direction only, the side that still receives would split the quotas over both
// sides while the other counts only its own, and together they would exceed the
// quotas.
func (b *Splitter) Unheard(now time.Time, to sched.InstanceID, d sched.DataCentre) bool {
	if d != b.options.DataCentre {
		a := b.areas[d]
		return a == nil || now.Sub(a.confirmedAt) > areaMaxAge && now.Sub(a.receivedAt) > areaMaxAge
	}
	p := b.peers[to]
	return p == nil || now.Sub(p.receivedAt) > peerMaxAge
}

// observeArea processes the demand of another data centre. What comes from there
// directly and is new here is passed on to the peers in this data centre. All
// instances there send the same values, so most of them are not new.
func (b *Splitter) observeArea(now time.Time, heard sched.AreaDemand, direct, unheard bool) {
	if heard.AsOf.After(now) {
		heard.AsOf = now // the sender's clock is ahead
	}
	a := b.areas[heard.DataCentre]
	if a == nil {
		a = &area{demand: map[string]areaValue{}}
		b.areas[heard.DataCentre] = a
	}
	if direct {
		a.receivedAt = now
	}
	if unheard {
		a.confirmedAt = time.Time{}
		delete(b.changes.areaReceivers, heard.DataCentre) // earlier changes were lost on the way
		return
	}
	if direct && now.Sub(a.confirmedAt) > headerInterval {
		b.changes.heardDirectlyAt[heard.DataCentre] = now
	}
	if heard.AsOf.After(a.asOf) {
		a.asOf, a.instances, a.confirmedAt, a.partial = heard.AsOf, heard.Instances, now, heard.Partial
	}
	for _, d := range heard.Demand {
		v := a.demand[d.Team]
		if _, ok := b.quotas[d.Team]; !ok || !validRate(d.Offered) || !heard.AsOf.After(v.asOf) {
			continue
		}
		isNew := d.Offered != v.rate || now.Sub(v.relayedAt) > repeatInterval
		v.asOf = heard.AsOf
		if !direct || isNew {
			v.rate, v.relayedAt = d.Offered, now
		}
		a.demand[d.Team] = v
		switch {
		case !direct:
			delete(b.changes.latest, demandKey{heard.DataCentre, d.Team}) // a peer already passes on a newer value
		case isNew:
			b.changes.latest[demandKey{heard.DataCentre, d.Team}] = b.changes.nextStamp(now)
		}
	}
}

// observeCentreSums processes the demand of the own data centre as its reporter
// sums it up.
func (b *Splitter) observeCentreSums(now time.Time, heard sched.AreaDemand) {
	for _, d := range heard.Demand {
		old := b.changes.centreSums[d.Team]
		if _, ok := b.quotas[d.Team]; !ok || !validRate(d.Offered) || !heard.AsOf.After(old.at) {
			continue
		}
		b.changes.announcedSums[d.Team] = d.Offered
		b.changes.centreSums[d.Team] = stamp{b.changes.nextStamp(now).number, heard.AsOf}
	}
}

// isReporter reports whether this instance sums up the demand of the data centre.
// The instance with the lowest id among those in the view does, so that all
// instances inside and outside use the same value.
func (b *Splitter) isReporter(r view) bool {
	for _, p := range r.peers {
		if p.id < b.options.Self {
			return false
		}
	}
	return true
}

// view is the set of peers and data centres whose information is recent enough.
type view struct {
	peers []*peer
	areas []*area
	// centreInstances and allInstances are the numbers of instances in the view
	// in the data centre and everywhere, this one included.
	centreInstances int
	allInstances    int
	// partial is set if an entry instance is missing from the view, and
	// viewsMayDiffer also if another instance reports that of its own view.
	partial        bool
	viewsMayDiffer bool
}

func (b *Splitter) view(now time.Time) view {
	r := view{centreInstances: 1}
	for id, p := range b.peers {
		switch {
		case now.Sub(p.receivedAt) > time.Hour:
			delete(b.peers, id)
		case now.Sub(p.confirmedAt) <= peerMaxAge && !p.leaving:
			r.peers = append(r.peers, p)
			r.centreInstances++
			r.viewsMayDiffer = r.viewsMayDiffer || p.partial
		}
	}
	r.allInstances = r.centreInstances
	for _, a := range b.areas {
		if now.Sub(a.confirmedAt) <= areaMaxAge {
			r.areas = append(r.areas, a)
			r.allInstances += a.instances
			r.viewsMayDiffer = r.viewsMayDiffer || a.partial
		}
	}
	r.partial = r.allInstances < b.entryInstances
	r.viewsMayDiffer = r.viewsMayDiffer || r.partial
	return r
}

// Parts returns this instance's parts of all quotas, in the order of the teams.
// The argument entries is the number of entry instances that may admit requests,
// and largest is the largest such number ever known.
//
// If all instances receive each other's heartbeats, the parts follow the demand
// everywhere. A data centre then uses the demand that it has announced instead of
// its exact demand, so that all instances compute the same split. If any instance
// misses another one, any two views may differ. Each data centre then takes the
// even part of the instances that it has in view there, and follows the demand
// only within that part.
func (b *Splitter) Parts(now time.Time, entries, largest int) []Part {
	b.entryInstances = entries
	r := b.view(now)
	all := max(entries, r.allInstances)
	if r.allInstances == 1 {
		all = max(all, largest)
	}
	here := float64(r.centreInstances) / float64(all)
	parts := make([]Part, 0, len(b.teams))
	for _, t := range b.teams {
		centre := t.Requests * here
		if !r.viewsMayDiffer {
			sum := b.changes.announcedSums[t.Name]
			for _, a := range r.areas {
				sum += a.demand[t.Name].rate
			}
			centre = split(t.Requests, b.changes.announcedSums[t.Name], sum, here)
		}
		sum := b.announced[t.Name]
		for _, p := range r.peers {
			sum += p.demand[t.Name]
		}
		even := 1 / float64(r.centreInstances)
		parts = append(parts, Part{t.Name, split(centre, b.announced[t.Name], sum, even), t.Requests == 0})
	}
	return parts
}

// Partial reports whether to set the field of that name in heartbeats: an entry
// instance is missing from the view.
func (b *Splitter) Partial(now time.Time) bool { return b.view(now).partial }

// split returns one sharer's part of a quota. Each sharer gets its demand, scaled
// down if the sum of demands exceeds the quota less evenShare, and its even part
// of the rest. If all sharers use the same quota and sum, and their even parts sum
// to 1, their parts sum to the quota.
func split(quota, own, sum, even float64) float64 {
	byDemand := 0.0
	givenByDemand := 0.0
	if scale := max(sum, (1-evenShare)*quota); scale > 0 {
		byDemand = (1 - evenShare) * quota * own / scale
		givenByDemand = (1 - evenShare) * quota * sum / scale
	}
	return byDemand + (quota-givenByDemand)*even
}

// HeartbeatDemand returns the content of the next heartbeat to an instance: inside the data
// centre, the changes of the demand at this instance and of data centres; outside,
// the demand of the own data centre. The amount per heartbeat is bounded; the rest
// follows in the next ones.
func (b *Splitter) HeartbeatDemand(now time.Time, to sched.InstanceID, d sched.DataCentre) ([]sched.TeamDemand, []sched.AreaDemand) {
	if d == b.options.DataCentre {
		return b.peerUpdate(now, to)
	}
	return nil, b.areaUpdate(now, d)
}

// HeartbeatFailed records that the last heartbeat to an instance was not delivered, so that
// its content is sent again.
func (b *Splitter) HeartbeatFailed(to sched.InstanceID, d sched.DataCentre) { b.changes.rewind(to, d) }

// Lost returns the ids of the peers from which no heartbeat, or none that confirms
// both directions, has arrived within peerMaxAge, in ascending order.
func (b *Splitter) Lost(now time.Time) []sched.InstanceID {
	var lost []sched.InstanceID
	for id, p := range b.peers {
		if now.Sub(p.confirmedAt) > peerMaxAge {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	return lost
}
