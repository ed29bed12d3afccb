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
	// listTimeout bounds one poll of the list and one fetch of a peer's
	// configuration.
	listTimeout = 2 * time.Second
	// heartbeatTimeout is shorter than the silence that makes a peer
	// unreachable, so that a slow exchange fails before that.
	heartbeatTimeout = 800 * time.Millisecond
)

func (d *Daemon) tickLoop(c context.Context) {
	for d.Clock.Sleep(c, tickInterval) == nil {
		d.post(tick{})
	}
}

func (d *Daemon) listLoop(c context.Context) {
	for {
		x, cancel := context.WithTimeout(c, listTimeout)
		members, err := d.List.Members(x)
		cancel()
		if c.Err() != nil {
			return
		}
		d.metrics.listPolls[resultLabel(err)].Inc()
		d.post(listPolled{members, err})
		if d.Clock.Sleep(c, listInterval) != nil {
			return
		}
	}
}

// heartbeatLoop exchanges heartbeats, once per contact interval, with the peers
// that the membership table selects.
func (d *Daemon) heartbeatLoop(c context.Context) {
	for d.Clock.Sleep(c, member.ContactInterval) == nil {
		d.sendHeartbeats(c, func(k *control) []sched.Member { return k.table.Contacts(d.Clock.Now()) })
	}
}

// sendHeartbeats sends one heartbeat to each of the chosen instances. It does
// not wait for the answers: an instance that hangs must not delay the
// heartbeats to the others.
func (d *Daemon) sendHeartbeats(c context.Context, choose func(*control) []sched.Member) {
	type call struct {
		to        sched.Member
		heartbeat sched.Heartbeat
	}
	var calls []call
	err := d.callControl(c, func(k *control) {
		for _, m := range choose(k) {
			calls = append(calls, call{m, k.heartbeat(m.ID, m.DataCentre)})
		}
	})
	if err != nil {
		return // the control actor did not fill in the calls
	}
	for _, x := range calls {
		go func() { d.exchangeHeartbeat(c, x.to, x.heartbeat) }()
	}
}

// exchangeHeartbeat sends a heartbeat to a peer and posts the peer's answer to
// the control actor.
func (d *Daemon) exchangeHeartbeat(c context.Context, to sched.Member, h sched.Heartbeat) {
	x, cancel := context.WithTimeout(c, heartbeatTimeout)
	defer cancel()
	answer, err := d.PeerClient.Exchange(x, to.Address, h)
	if c.Err() != nil {
		return
	}
	d.metrics.heartbeats[resultLabel(err)].Inc()
	d.post(heartbeatResult{to, answer, err})
}

// heartbeatResult is the outcome of a heartbeat that this instance sent.
type heartbeatResult struct {
	to     sched.Member
	answer sched.Heartbeat
	err    error
}

func (m heartbeatResult) apply(c *control) {
	now := c.daemon.Clock.Now()
	if m.err != nil {
		c.table.RecordFailedContact(now, m.to.ID, m.to.Incarnation)
		c.quota.HeartbeatFailed(m.to.ID, m.to.DataCentre)
		return
	}
	c.receiveHeartbeat(now, m.answer)
}

// heartbeat returns this instance's heartbeat for the peer to in data centre d.
func (c *control) heartbeat(to sched.InstanceID, d sched.DataCentre) sched.Heartbeat {
	now := c.daemon.Clock.Now()
	version, _ := c.versions.InForce()
	h := sched.Heartbeat{
		From: c.daemon.ID, Incarnation: c.daemon.Incarnation, DataCentre: c.daemon.DataCentre, Region: c.daemon.Region,
		Address: c.daemon.address(), State: sched.StateLive, SentAt: time.Unix(0, c.daemon.stamps.Now().Wall),
		Version: version, TaskApplied: c.plan.ledger.Applied(), TermSeen: c.termSeen(), LogReached: c.logReadAt,
		Totals: c.daemon.proxy.AnsweredTotals(),
	}
	if c.leaving {
		h.State = sched.StateLeaving
	}
	h.Demand, h.Areas = c.quota.HeartbeatDemand(now, to, d)
	h.Unheard, h.Partial = c.quota.Unheard(now, to, d), c.quota.Partial(now)
	b := c.heartbeats[to]
	h.Config = c.versions.News(now, b.receivedAt, b.heartbeat)
	return h
}

// receiveHeartbeat applies a peer's heartbeat to the control state.
func (c *control) receiveHeartbeat(now time.Time, h sched.Heartbeat) {
	if h.From == "" {
		return // a peer that has stopped answers with an empty heartbeat
	}
	c.reportedVersions[h.From] = h.Version
	c.keepHeartbeat(now, h)
	c.daemon.stamps.Observe(sched.Stamp{Wall: h.SentAt.UnixNano()})
	c.table.ApplyHeartbeat(now, h)
	c.quota.ApplyHeartbeat(now, h)
	c.usage.Observe(h.From, h.Incarnation, h.Totals)
	c.versions.PeerReported(now, h.Version)
	if c.versions.TakeNews(h.Config) {
		c.applyConfig(now)
	}
	c.recordPeerTerm(now, h)
	if c.versions.ShouldFetchCopy(now, h.Version) && h.Address != "" {
		c.daemon.spawn(func(x context.Context) { c.daemon.fetchConfig(x, h.Address) })
	}
}

// receivedHeartbeat is a peer's heartbeat and the time at which it arrived.
type receivedHeartbeat struct {
	receivedAt time.Time
	heartbeat  sched.Heartbeat
}

// maxHeartbeats bounds the number of heartbeats that are kept. It is above the
// number of entry instances at the target scale.
const maxHeartbeats = 1000

// keepHeartbeat keeps a peer's heartbeat without its lists. The kept heartbeat
// decides which configuration changes the next one to that peer carries.
func (c *control) keepHeartbeat(now time.Time, h sched.Heartbeat) {
	if len(c.heartbeats) >= maxHeartbeats {
		clear(c.heartbeats) // most are of instances that are gone; live peers send again
	}
	h.Demand, h.Areas, h.Totals, h.Config = nil, nil, nil, sched.ConfigNews{}
	c.heartbeats[h.From] = receivedHeartbeat{now, h}
}

// fetchConfig fetches the configuration in force from a peer. A failure is
// ignored, as a later heartbeat of a peer starts another fetch.
func (d *Daemon) fetchConfig(c context.Context, address string) {
	x, cancel := context.WithTimeout(c, listTimeout)
	defer cancel()
	if copied, err := d.PeerClient.FetchConfig(x, address); err == nil {
		d.post(configFetched{copied})
	}
}

// configFetched delivers a configuration that was fetched from a peer.
type configFetched struct{ configCopy sched.ConfigCopy }

func (m configFetched) apply(c *control) {
	if c.versions.TakeCopy(m.configCopy) {
		c.applyConfig(c.daemon.Clock.Now())
	}
}

// peerServer answers the calls of peers.
type peerServer struct{ daemon *Daemon }

// Heartbeat implements peer.Local. The answer is this instance's heartbeat for
// the sender. If the control actor does not answer within heartbeatTimeout or
// has stopped, the answer is empty; a peer ignores it because it names no
// sender.
func (p peerServer) Heartbeat(h sched.Heartbeat) sched.Heartbeat {
	x, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	answers := make(chan sched.Heartbeat, 1)
	_ = p.daemon.callControl(x, func(c *control) {
		c.receiveHeartbeat(c.daemon.Clock.Now(), h)
		answers <- c.heartbeat(h.From, h.DataCentre)
	})
	select {
	case a := <-answers:
		return a
	default:
		return sched.Heartbeat{}
	}
}

// Config implements peer.Local. It returns false if another peer was served too
// recently, which bounds the bytes sent for copies, or if the control actor does
// not answer within heartbeatTimeout.
func (p peerServer) Config() (sched.ConfigCopy, bool) {
	x, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	copies := make(chan sched.ConfigCopy, 1)
	_ = p.daemon.callControl(x, func(c *control) {
		if c.versions.ShouldServeCopy(c.daemon.Clock.Now()) {
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
func (p peerServer) Events(f sched.Filter) []sched.Event { return p.daemon.events.Select(f) }
