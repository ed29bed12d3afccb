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
	// firstTermDelay is the wait before the first term of a cell, so that all
	// instances have registered and the best candidate begins it.
	firstTermDelay = 600 * time.Millisecond
)

// plannerMonitor monitors the planner of one cell until this instance should take
// the cell over.
type plannerMonitor struct {
	cell    *cellController
	planner peers.Planner // as last read from the directory

	watch        watch.Monitor
	probePending bool
	probeResults chan probeResult
}

// probeResult is the result of asking other instances about the planner: whether
// one of them answered, and if so, whether it reaches the planner.
type probeResult struct{ answered, reaches bool }

// run returns when this instance should take the cell over, with the reason for the
// log. It returns an empty string when the context has ended. After failures of the
// planner here it waits longer, unless the present planner asks for the takeover.
func (m *plannerMonitor) run(c context.Context) string {
	e := m.cell.entry
	began := e.Clock.Now()
	m.probeResults = make(chan probeResult, 1)
	for {
		p, known := e.directory.Planner(m.cell.number)
		if p.Term != m.planner.Term {
			m.watch = watch.Monitor{}
		}
		m.planner = p
		m.checkPlanner(c, p, known)
		now := e.Clock.Now()
		yes, why := m.watch.TakeOver(now)
		if yes && !now.Before(m.cell.backoff.until) && (known || now.Sub(began) >= firstTermDelay) {
			return why
		}
		select {
		case after := <-m.cell.takeoverRequests:
			if m.planner, _ = e.directory.Planner(m.cell.number); m.planner.Term <= after {
				return "asked by the planner"
			}
		case o := <-m.probeResults:
			m.applyProbe(o)
		case <-time.After(m.interval()):
		case <-c.Done():
			return ""
		}
	}
}

// checkPlanner updates the watch with the state of the planner. It pings the planner
// unless the directory names none or names this instance, and observes the
// partition if the watch asks for that.
func (m *plannerMonitor) checkPlanner(c context.Context, p peers.Planner, known bool) {
	e := m.cell.entry
	m.watch.Rank = e.directory.Rank(m.cell.number, p.ID)
	switch {
	case !known:
		m.watch.RecordAnswer(e.Clock.Now(), false, 0)
	case p.ID == e.Self.ID:
		// The directory names a term of an earlier process of this instance,
		// which has ended, or a term that this process has just lost. In the
		// first case this instance is the best candidate, since it has proof that
		// the planner is gone.
		if p.Incarnation != e.Self.Incarnation {
			m.watch.Rank = 0
		}
		m.watch.RecordAnswer(e.Clock.Now(), false, 0)
	default:
		m.ping(c, p)
	}
	if m.watch.Observes() {
		m.observe(c, p)
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
	pong, err := e.relay.Ping(x, p.Address, relay.Ping{From: e.Self.ID, Cell: m.cell.number})
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
	m.watch.RecordAnswer(now, pong.Plans(m.cell.number), pong.ProofAge)
}

// observe reads the end of the cell's partition, which shows whether the planner
// still appends, and starts a probe unless one is pending.
func (m *plannerMonitor) observe(c context.Context, p peers.Planner) {
	e := m.cell.entry
	x, cancel := context.WithTimeout(c, pingTimeout)
	b, err := e.Store.Read(x, lead.Partition(m.cell.number), offsetPastEnd, 0)
	cancel()
	if err != nil {
		m.watch.RecordReadFailure()
	} else {
		m.watch.RecordEnd(e.Clock.Now(), b.End)
	}
	if !m.probePending {
		m.probePending = true
		go m.probe(c, p)
	}
}

func (m *plannerMonitor) applyProbe(o probeResult) {
	m.probePending = false
	m.watch.SetAlone(!o.answered)
	if o.answered {
		m.watch.RecordPeerReport(m.cell.entry.Clock.Now(), o.reaches)
	}
}

// probe asks the other candidates in turn whether they reach the planner, until one
// answers, and sends the result to probeResults.
func (m *plannerMonitor) probe(c context.Context, p peers.Planner) {
	e := m.cell.entry
	var o probeResult
	for _, i := range e.directory.Candidates(m.cell.number) {
		if i.ID == e.Self.ID || i.ID == p.ID {
			continue
		}
		x, cancel := context.WithTimeout(c, probeTimeout)
		pong, err := e.relay.Ping(x, i.Address, relay.Ping{From: e.Self.ID, Cell: m.cell.number, ProbePlanner: true})
		cancel()
		if err == nil {
			o = probeResult{true, pong.PlannerReached}
			break
		}
	}
	m.probeResults <- o
}
