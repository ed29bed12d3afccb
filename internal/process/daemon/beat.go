package daemon

import (
	"context"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/member"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	tickInterval = 100 * time.Millisecond
	listInterval = time.Second
	listTime     = 2 * time.Second
	// beatTime bounds a heartbeat to less than the silence that makes a peer
	// unreachable.
	beatTime = 800 * time.Millisecond
)

func (d *Daemon) tickLoop(c context.Context) {
	for d.Clock.Sleep(c, tickInterval) == nil {
		d.post(tick{})
	}
}

func (d *Daemon) listLoop(c context.Context) {
	for {
		x, cancel := context.WithTimeout(c, listTime)
		members, err := d.List.Members(x)
		cancel()
		if c.Err() != nil {
			return
		}
		d.meters.polls[result(err)].Inc()
		d.post(listed{members, err})
		if d.Clock.Sleep(c, listInterval) != nil {
			return
		}
	}
}

// beatLoop exchanges heartbeats with the contacts of each interval.
func (d *Daemon) beatLoop(c context.Context) {
	for d.Clock.Sleep(c, member.ContactInterval) == nil {
		d.beat(c, func(k *control) []sched.Member { return k.table.Contacts(d.Clock.Now()) })
	}
}

// beat sends one heartbeat to each of the chosen instances, without waiting
// for the answers: an instance that hangs must not delay the others.
func (d *Daemon) beat(c context.Context, choose func(*control) []sched.Member) {
	type call struct {
		to sched.Member
		h  sched.Heartbeat
	}
	var calls []call
	err := d.ask(c, func(k *control) {
		for _, m := range choose(k) {
			calls = append(calls, call{m, k.heartbeat(m.ID, m.DataCentre)})
		}
	})
	if err != nil {
		return // the actor may still be about to fill in the calls
	}
	for _, x := range calls {
		go func() { d.exchange(c, x.to, x.h) }()
	}
}

func (d *Daemon) exchange(c context.Context, to sched.Member, h sched.Heartbeat) {
	x, cancel := context.WithTimeout(c, beatTime)
	defer cancel()
	answer, err := d.PeerCall.Exchange(x, to.Address, h)
	if c.Err() != nil {
		return
	}
	d.meters.heartbeats[result(err)].Inc()
	d.post(beaten{to, answer, err})
}

// beaten is the result of a heartbeat that this instance sent.
type beaten struct {
	to     sched.Member
	answer sched.Heartbeat
	err    error
}

func (m beaten) apply(c *control) {
	now := c.d.Clock.Now()
	if m.err != nil {
		c.table.Missed(now, m.to.ID, m.to.Incarnation)
		c.quota.Failed(m.to.ID, m.to.DataCentre)
		return
	}
	c.heard(now, m.answer)
}

// heartbeat is the own one for a peer.
func (c *control) heartbeat(to sched.InstanceID, d sched.DataCentre) sched.Heartbeat {
	now := c.d.Clock.Now()
	version, _ := c.versions.InForce()
	h := sched.Heartbeat{
		From: c.d.ID, Incarnation: c.d.Incarnation, DataCentre: c.d.DataCentre, Region: c.d.Region,
		Address: c.d.address(), State: sched.StateLive, SentAt: time.Unix(0, c.d.stamps.Now().Wall),
		Version: version, TaskApplied: c.plan.ledger.Applied(), TermSeen: c.termSeen(), LogReached: c.logAt,
		Totals: c.d.proxy.Totals(),
	}
	if c.leaving {
		h.State = sched.StateLeaving
	}
	h.Demand, h.Areas = c.quota.Report(now, to, d)
	h.Unheard, h.Partial = c.quota.Unheard(now, to, d), c.quota.Partial(now)
	b := c.beats[to]
	h.Config = c.versions.News(now, b.at, b.h)
	return h
}

// heard takes a peer's heartbeat.
func (c *control) heard(now time.Time, h sched.Heartbeat) {
	if h.From == "" {
		return // the peer has stopped
	}
	c.reported[h.From] = h.Version
	c.keepBeat(now, h)
	c.d.stamps.Observe(sched.Stamp{Wall: h.SentAt.UnixNano()})
	c.table.Heartbeat(now, h)
	c.quota.Hear(now, h)
	c.usage.Observe(h.From, h.Incarnation, h.Totals)
	c.versions.Heard(now, h.Version)
	if c.versions.TakeNews(h.Config) {
		c.configured(now)
	}
	c.peerHeard(now, h)
	if c.versions.WantCopy(now, h.Version) && h.Address != "" {
		c.d.spawn(func(x context.Context) { c.d.fetchConfig(x, h.Address) })
	}
}

// beat is a heartbeat and the time it was heard.
type beat struct {
	at time.Time
	h  sched.Heartbeat
}

// maxBeats bounds the heartbeats that are kept, above the target scale.
const maxBeats = 1000

// keepBeat keeps what the next heartbeat to the peer answers to.
func (c *control) keepBeat(now time.Time, h sched.Heartbeat) {
	if len(c.beats) >= maxBeats {
		clear(c.beats) // ids of instances that are long gone
	}
	h.Demand, h.Areas, h.Totals, h.Config = nil, nil, nil, sched.ConfigNews{}
	c.beats[h.From] = beat{now, h}
}

// fetchConfig takes the configuration in force over from a peer.
func (d *Daemon) fetchConfig(c context.Context, address string) {
	x, cancel := context.WithTimeout(c, listTime)
	defer cancel()
	if copied, err := d.PeerCall.FetchConfig(x, address); err == nil {
		d.post(fetched{copied})
	}
}

// fetched is a configuration that a peer passed on.
type fetched struct{ copied sched.ConfigCopy }

func (m fetched) apply(c *control) {
	if c.versions.TakeCopy(m.copied) {
		c.configured(c.d.Clock.Now())
	}
}

// local answers the peers' calls.
type local struct{ d *Daemon }

// Heartbeat implements peer.Local. The answer is the own heartbeat; after the
// stop it is empty, which a peer ignores as it names no instance.
func (l local) Heartbeat(h sched.Heartbeat) sched.Heartbeat {
	x, cancel := context.WithTimeout(context.Background(), beatTime)
	defer cancel()
	answers := make(chan sched.Heartbeat, 1)
	_ = l.d.ask(x, func(c *control) {
		c.heard(c.d.Clock.Now(), h)
		answers <- c.heartbeat(h.From, h.DataCentre)
	})
	select {
	case a := <-answers:
		return a
	default:
		return sched.Heartbeat{}
	}
}

// Config implements peer.Local. It is refused when several peers ask within
// the pause that bounds the bytes for copies.
func (l local) Config() (sched.ConfigCopy, bool) {
	x, cancel := context.WithTimeout(context.Background(), beatTime)
	defer cancel()
	copies := make(chan sched.ConfigCopy, 1)
	_ = l.d.ask(x, func(c *control) {
		if c.versions.ServeCopy(c.d.Clock.Now()) {
			copies <- c.versions.Copy()
		}
	})
	select {
	case copied := <-copies:
		return copied, true
	default:
		return sched.ConfigCopy{}, false
	}
}

// Events implements peer.Local.
func (l local) Events(f sched.Filter) []sched.Event { return l.d.events.Select(f) }
