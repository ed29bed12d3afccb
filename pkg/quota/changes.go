package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// maxPeerItems and maxAreaItems bound the teams per heartbeat, inside the
	// data centre (one heartbeat a second to each peer) and outside (one a
	// second in total). A team takes about 17 bytes; with 8 peers, both bounds
	// together keep the traffic of both directions below 2 KB/s.
	maxPeerItems = 6
	maxAreaItems = 12
	// A change is sent if it exceeds relativeThreshold times the value sent
	// before, quotaThreshold times an even part of the quota, and the noise of
	// counting. Changes that are not sent make the parts fit the demand less
	// well, but the parts still sum to the quota, as every instance uses the
	// values that it has sent.
	relativeThreshold = 0.2
	// sumRelativeThreshold replaces relativeThreshold for the summed demand of
	// the data centre. Within the data centre, the split uses the exact sum of
	// the demands that were sent.
	sumRelativeThreshold = 0.05
	quotaThreshold       = 0.1
	// lowDemandQuotaThreshold replaces quotaThreshold while the known demand is
	// at most half of the quota. Each instance's part then exceeds the demand
	// that it has sent by at least half of an even part, so that the demand
	// that is not sent is admitted as well.
	lowDemandQuotaThreshold = 0.5
	// noiseDeviations is the number of standard deviations that a change must
	// exceed. The smoothed demand averages over about noiseWindowSeconds.
	noiseDeviations    = 2
	noiseWindowSeconds = 3
	// repeatInterval and, at low demand, lowDemandRepeatInterval are the ages at
	// which a value is sent again, for receivers that missed it because an
	// answer was lost. With 170 teams and 18 data centres, repetitions every
	// minute would fill the heartbeats.
	repeatInterval          = 3 * time.Minute
	lowDemandRepeatInterval = 15 * time.Minute
	// headerInterval is the time after which a data centre from which heartbeats
	// arrive without changes is mentioned to a peer again. It is well below
	// areaMaxAge, so that the peer keeps the data centre in its view.
	headerInterval = 5 * time.Second
)

// demandKey identifies the demand of a team at this instance, if centre is empty,
// or in a data centre.
type demandKey struct {
	centre sched.DataCentre
	team   string
}

// stamp is the number and the time of a change.
type stamp struct {
	number uint64
	at     time.Time
}

// receiver is the state of sending to one peer or data centre: the number of the
// last change sent, and that before the last heartbeat, in case it fails.
// headersSentAt holds when each data centre was last mentioned.
type receiver struct {
	sentUpTo      uint64
	previousUpTo  uint64
	headersSentAt map[sched.DataCentre]time.Time
}

// changeLog numbers the changes of demand, so that each receiver gets those after
// the last one that it was sent.
type changeLog struct {
	lastNumber uint64
	// latest holds the newest change of each demand, for the peers.
	latest map[demandKey]stamp
	// centreSums holds the latest changes of the summed demand of the own data
	// centre, for receivers outside, and announcedSums the values sent.
	centreSums    map[string]stamp
	announcedSums demand
	// heardDirectlyAt holds, per data centre, the time of the last heartbeat
	// from there that followed headerInterval without newer information.
	heardDirectlyAt map[sched.DataCentre]time.Time
	// peerReceivers has an entry per peer in the data centre. Outside it, one
	// entry per data centre is enough, since the instances there pass the
	// changes on among themselves.
	peerReceivers map[sched.InstanceID]*receiver
	areaReceivers map[sched.DataCentre]*receiver
}

func newChangeLog() changeLog {
	return changeLog{
		latest: map[demandKey]stamp{}, centreSums: map[string]stamp{}, announcedSums: demand{},
		heardDirectlyAt: map[sched.DataCentre]time.Time{},
		peerReceivers:   map[sched.InstanceID]*receiver{}, areaReceivers: map[sched.DataCentre]*receiver{},
	}
}

func (n *changeLog) nextStamp(now time.Time) stamp {
	n.lastNumber++
	return stamp{n.lastNumber, now}
}

func (n *changeLog) forgetPeer(p sched.InstanceID) { delete(n.peerReceivers, p) }

func (n *changeLog) rewind(p sched.InstanceID, d sched.DataCentre) {
	for _, q := range []*receiver{n.peerReceivers[p], n.areaReceivers[d]} {
		if q != nil {
			q.sentUpTo = q.previousUpTo
			q.headersSentAt = nil
		}
	}
}

func (n *changeLog) retainTeams(quotas map[string]float64) {
	for i := range n.latest {
		if _, ok := quotas[i.team]; !ok {
			delete(n.latest, i)
		}
	}
	for team := range n.centreSums {
		if _, ok := quotas[team]; !ok {
			delete(n.centreSums, team)
			delete(n.announcedSums, team)
		}
	}
}

func (n *changeLog) peerReceiver(p sched.InstanceID) *receiver {
	q := n.peerReceivers[p]
	if q == nil {
		q = &receiver{}
		n.peerReceivers[p] = q
	}
	return q
}

// worthSending reports whether the change from the value sent before to the current
// one exceeds all thresholds.
func worthSending(sent, current, relative, evenPart float64, lowDemand bool) bool {
	ofEvenPart := quotaThreshold
	if lowDemand {
		ofEvenPart = lowDemandQuotaThreshold
	}
	deviation := math.Sqrt(max(sent, current) / noiseWindowSeconds)
	return math.Abs(current-sent) > max(relative*sent, ofEvenPart*evenPart, noiseDeviations*deviation)
}

// recordChanges records the changes of this instance's demand and, on the reporter,
// of the data centre's demand that are worth sending or due for repetition.
func (b *Splitter) recordChanges(now time.Time) {
	r := b.view(now)
	peers, reports := r.peers, b.isReporter(r)
	centres := float64(len(b.areas) + 1)
	for _, t := range b.teams {
		if t.Requests == 0 {
			continue
		}
		sum := b.announced[t.Name]
		for _, p := range peers {
			sum += p.demand[t.Name]
		}
		all := sum
		for _, a := range b.areas {
			all += a.demand[t.Name].rate
		}
		lowDemand, repeatAfter := all <= t.Requests/2, repeatInterval
		if lowDemand {
			repeatAfter = lowDemandRepeatInterval
		}
		current := b.measured[t.Name]
		old, known := b.changes.latest[demandKey{"", t.Name}]
		evenPart := t.Requests / (centres * float64(len(peers)+1))
		if worthSending(b.announced[t.Name], current, relativeThreshold, evenPart, lowDemand) ||
			known && now.Sub(old.at) > repeatAfter {
			sum += current - b.announced[t.Name]
			b.announced[t.Name] = current
			b.changes.latest[demandKey{"", t.Name}] = b.changes.nextStamp(now)
		}
		if !reports {
			continue
		}
		old, known = b.changes.centreSums[t.Name]
		if worthSending(b.changes.announcedSums[t.Name], sum, sumRelativeThreshold, t.Requests/centres, lowDemand) ||
			known && now.Sub(old.at) > repeatAfter {
			b.changes.announcedSums[t.Name] = sum
			b.changes.centreSums[t.Name] = b.changes.nextStamp(now)
			b.changes.latest[demandKey{b.options.DataCentre, t.Name}] = b.changes.centreSums[t.Name]
		}
	}
}

// numberedKey is a change that a receiver has not been sent.
type numberedKey struct {
	demandKey
	number uint64
}

// takeUnsent returns up to limit of the unsent changes, oldest first, and marks
// them as sent to the receiver.
func takeUnsent(all []numberedKey, q *receiver, limit int) []demandKey {
	slices.SortFunc(all, func(a, b numberedKey) int { return cmp.Compare(a.number, b.number) })
	q.previousUpTo = q.sentUpTo
	var out []demandKey
	for _, i := range all[:min(limit, len(all))] {
		out = append(out, i.demandKey)
		q.sentUpTo = i.number
	}
	return out
}

// peerUpdate returns the changes that a peer in the data centre has not been sent,
// as far as one heartbeat takes them.
func (b *Splitter) peerUpdate(now time.Time, to sched.InstanceID) ([]sched.TeamDemand, []sched.AreaDemand) {
	q := b.changes.peerReceiver(to)
	var all []numberedKey
	for i, t := range b.changes.latest {
		if t.number > q.sentUpTo {
			all = append(all, numberedKey{i, t.number})
		}
	}
	var own []sched.TeamDemand
	var areas []sched.AreaDemand
	for _, i := range takeUnsent(all, q, maxPeerItems) {
		if i.centre == "" {
			own = append(own, sched.TeamDemand{Team: i.team, Offered: b.announced[i.team]})
			continue
		}
		areas = b.appendDemand(areas, i)
	}
	return own, b.appendHeaders(now, q, areas)
}

// appendDemand adds the demand for a key to the entry with its data centre and
// time, or to a new entry.
func (b *Splitter) appendDemand(areas []sched.AreaDemand, i demandKey) []sched.AreaDemand {
	a, v := &area{instances: 1}, areaValue{rate: b.changes.announcedSums[i.team], asOf: b.changes.centreSums[i.team].at}
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

// appendHeaders adds entries without demand for the data centres from which this
// instance received heartbeats but which have no changes, so that the peer keeps
// them in its view and leaves them their part of the quotas.
func (b *Splitter) appendHeaders(now time.Time, q *receiver, areas []sched.AreaDemand) []sched.AreaDemand {
	if q.headersSentAt == nil {
		q.headersSentAt = map[sched.DataCentre]time.Time{}
	}
	for _, a := range areas {
		q.headersSentAt[a.DataCentre] = now
	}
	for d, at := range b.changes.heardDirectlyAt {
		if now.Sub(at) > headerInterval || now.Sub(q.headersSentAt[d]) < headerInterval {
			continue
		}
		q.headersSentAt[d] = now
		a := b.areas[d]
		areas = append(areas, sched.AreaDemand{DataCentre: d, Instances: a.instances, AsOf: a.asOf, Partial: a.partial})
	}
	slices.SortStableFunc(areas, func(x, y sched.AreaDemand) int { return cmp.Compare(x.DataCentre, y.DataCentre) })
	return areas
}

// areaUpdate returns the state of the own data centre with the changes of its demand
// that this instance has not sent to any instance of the receiver's data centre.
func (b *Splitter) areaUpdate(now time.Time, d sched.DataCentre) []sched.AreaDemand {
	q := b.changes.areaReceivers[d]
	if q == nil {
		q = &receiver{}
		b.changes.areaReceivers[d] = q
	}
	var all []numberedKey
	for team, t := range b.changes.centreSums {
		if t.number > q.sentUpTo {
			all = append(all, numberedKey{demandKey{"", team}, t.number})
		}
	}
	r := b.view(now)
	own := sched.AreaDemand{DataCentre: b.options.DataCentre, Instances: r.centreInstances, AsOf: now, Partial: r.partial}
	for _, p := range r.peers {
		own.Partial = own.Partial || p.partial
	}
	areas := []sched.AreaDemand{own}
	for _, i := range takeUnsent(all, q, maxAreaItems) {
		// appendDemand takes the reporter's time for the value, so that a value
		// which this instance passes on late doesn't replace a newer one.
		areas = b.appendDemand(areas, demandKey{b.options.DataCentre, i.team})
	}
	return areas
}
