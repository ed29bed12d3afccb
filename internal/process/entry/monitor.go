package entry

import (
	"context"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/process/lead"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/internal/process/relay"
	"github.com/parsleybarrow/parsleybarrow/pkg/watch"
)

const (
	// pingInterval is the time between two pings of a planner by the first
	// frequentPingers candidates for its cell. The others ping it slowPingFactor
	// times less often, to spare the planner.
	pingInterval    = 250 * time.Millisecond
	frequentPingers = 3
	slowPingFactor  = 8
	// observeInterval replaces pingInterval while the partition of the cell is
	// observed.
	observeInterval = 80 * time.Millisecond
	// probeTimeout bounds a ping by which another instance is asked to ping the
	// planner in turn.
	probeTimeout = 900 * time.Millisecond
	// firstTermDelay is the time without a further instance in the directory after which
	// the first term of a cell may begin, so that the best candidate begins it.
	// maxFirstTermDelay bounds the wait for that.
	firstTermDelay    = 600 * time.Millisecond
	maxFirstTermDelay = 2 * time.Second
	// earlyObserveDelay is the time without an answer to a ping after which the partition
	// is observed, before the ping has failed.
	earlyObserveDelay = 120 * time.Millisecond
)

// askedByPlanner is the reason of a takeover that the present planner has asked for.
const askedByPlanner = "asked by the planner"

// plannerMonitor monitors the planner of one cell until this instance should take
// the cell over.
type plannerMonitor struct {
	cell    *cellController
	planner peers.Planner // as last read from the directory

	watch watch.Monitor
	// observation calls the other instances and the store. The results are sent to
	// observed.
	observation observation
	// instances is the number of instances in the directory, grownAt when it last grew.
	instances int
	grownAt   time.Time
	// otherBegan is when a better candidate first said that it is beginning a term after
	// that of planner. Until waitUntil this instance leaves the cell to it.
	otherBegan, waitUntil time.Time
}

// run returns when this instance should take the cell over, with the reason for the
// log. It returns an empty string when the context has ended. After failures of the
// planner here, and after attempts that didn't begin a term, it waits longer, unless the
// present planner asks for the takeover.
func (m *plannerMonitor) run(c context.Context) string {
	e := m.cell.entry
	began := e.Clock.Now()
	m.observation.init(m)
	for {
		p, known := e.directory.Planner(m.cell.number)
		if p.Term != m.planner.Term {
			m.watch, m.otherBegan, m.waitUntil = watch.Monitor{}, time.Time{}, time.Time{}
		}
		m.planner = p
		m.checkPlanner(c, p, known)
		for next := time.After(m.interval()); next != nil; {
			now := e.Clock.Now()
			yes, why := m.watch.TakeOver(now)
			if yes && !now.Before(m.waitUntil) && m.cell.mayBegin(now) && (known || m.settled(began, now)) && m.checkTerm(c, p, known) {
				return why
			}
			select {
			case after := <-m.cell.takeoverRequests:
				if m.planner, _ = e.directory.Planner(m.cell.number); m.planner.Term <= after {
					return askedByPlanner
				}
				next = nil
			case apply := <-m.observation.results:
				apply()
				m.updateRank(p)
			case <-next:
				next = nil
			case <-c.Done():
				return ""
			}
		}
	}
}

// settled reports whether the first term of the cell may begin: no instance has joined for
// some time.
func (m *plannerMonitor) settled(began, now time.Time) bool {
	if n := len(m.cell.entry.directory.Instances()); n > m.instances {
		m.instances, m.grownAt = n, now
	}
	if m.grownAt.IsZero() {
		m.grownAt = began
	}
	return now.Sub(m.grownAt) >= firstTermDelay || now.Sub(began) >= maxFirstTermDelay
}

// checkPlanner updates the watch with the state of the planner. It pings the planner
// unless the directory names none or names this instance, and observes the
// partition if the watch asks for that.
func (m *plannerMonitor) checkPlanner(c context.Context, p peers.Planner, known bool) {
	e := m.cell.entry
	m.updateRank(p)
	switch {
	case !known:
		m.watch.RecordAnswer(e.Clock.Now(), false, 0)
	case p.ID == e.Self.ID:
		// The directory names a term of an earlier process of this instance,
		// which has ended, or a term that this process has just lost.
		m.watch.RecordAnswer(e.Clock.Now(), false, 0)
	default:
		m.ping(c, p)
	}
	if known && (m.watch.Observes() || m.watch.Idle()) {
		m.observation.start(c, p)
	}
}

func (m *plannerMonitor) interval() time.Duration {
	switch {
	case m.watch.Observes():
		return observeInterval
	case m.watch.Rank >= frequentPingers:
		return pingInterval * slowPingFactor
	}
	return pingInterval
}

// ping pings the planner and updates the watch, unless the directory names a later
// term by then.
func (m *plannerMonitor) ping(c context.Context, p peers.Planner) {
	e := m.cell.entry
	x, cancel := context.WithTimeout(c, pingTimeout)
	defer cancel()
	late := time.AfterFunc(earlyObserveDelay, func() { m.observation.startRead(c) })
	pong, err := e.relay.Ping(x, p.Address, m.cell.ping())
	late.Stop()
	now := e.Clock.Now()
	if err != nil {
		m.watch.RecordNoAnswer(now, relay.IsConnectionError(err))
		return
	}
	for _, l := range pong.Planners {
		e.directory.UpdatePlanner(l)
	}
	if q, _ := e.directory.Planner(m.cell.number); q.Term != p.Term {
		return
	}
	plans := pong.Plans(m.cell.number)
	if plans {
		m.cell.attempts = termBackoff{}
		m.cell.recordSilent(now, pong.Silent)
	}
	m.watch.RecordAnswer(now, plans, pong.ProofAge)
}

// updateRank counts the instances that rank before this one and are believed to be alive.
func (m *plannerMonitor) updateRank(p peers.Planner) {
	e := m.cell.entry
	now, rank := e.Clock.Now(), 0
	for _, i := range e.directory.Better(m.cell.number, p.ID) {
		if m.cell.alive(now, i.ID) {
			rank++
		}
	}
	if p.ID == e.Self.ID && p.Incarnation != e.Self.Incarnation {
		// The directory names a term of an earlier process of this instance, which
		// has ended: this instance has proof that the planner is gone. It begins at
		// once if it is able, and else leaves one candidate the time to do so.
		rank = min(rank, 1)
		if (peers.Ranked{Instance: e.directory.Self}).Candidate().Able() {
			rank = 0
		}
	}
	m.watch.Rank = rank
	m.watch.Near = m.isNear(p, e.directory.Self)
	if e.Meter != nil {
		e.Meter.SetRank(m.cell.number, rank)
	}
}

// isNear reports whether an instance is in the planner's region or near the store.
func (m *plannerMonitor) isNear(p peers.Planner, i peers.Instance) bool {
	if (peers.Ranked{Instance: i}).Candidate().Near() {
		return true
	}
	planner, known := m.cell.entry.directory.Instance(p.ID)
	return !known || planner.Region == i.Region
}

// checkTerm reads the cell's newest term record, which is cheap, before the takeover reads
// the whole partition. It reports whether that would succeed as far as can be known: the
// store answers and names no other term. If it names one, the directory is updated.
func (m *plannerMonitor) checkTerm(c context.Context, p peers.Planner, known bool) bool {
	e := m.cell.entry
	if !known {
		return true // the partition is empty or has a term that no record of the directory names
	}
	t, err := lead.NewestTerm(c, e.Store, m.cell.number)
	if err != nil {
		m.cell.attemptFailed()
		return false
	}
	if t.Ended || t.ID == "" || t.Number <= p.Term || t.ID == e.Self.ID {
		return true
	}
	m.cell.learnPlanner(t)
	return false
}
