package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/process/agent"
	"github.com/parsleybarrow/parsleybarrow/internal/process/busy"
	"github.com/parsleybarrow/parsleybarrow/internal/process/lead"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/internal/process/relay"
	"github.com/parsleybarrow/parsleybarrow/pkg/rank"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// pingTimeout bounds a ping of a planner: several round trips between regions.
	// It also bounds the read of the end of a partition.
	pingTimeout = 400 * time.Millisecond
	// lostTermDelay is the time between the end of a term, or a failed attempt to
	// begin one, and the next check of the cell's planner.
	lostTermDelay = 200 * time.Millisecond
	// storeCheckTimeout bounds the read by which an instance that is asked to take
	// a cell over checks that it reaches the store. One that reaches the store
	// more slowly than that would be no better planner.
	storeCheckTimeout = 120 * time.Millisecond
	// takeoverRequestTimeout bounds a request to take a cell over: the check of
	// the store and a round trip between regions.
	takeoverRequestTimeout = 250 * time.Millisecond
	// takeoverTimeout is how long a planner without the store waits for the
	// instance that agreed to take its cell over to begin a term, and
	// takeoverPollInterval the time between two pings of that instance.
	takeoverTimeout      = 1500 * time.Millisecond
	takeoverPollInterval = 25 * time.Millisecond
	// confirmDelay is how long a planner waits for a further attempt of its append
	// after a candidate has said that it reaches the store. If an outage for all
	// has just ended, the append succeeds and no handover is needed.
	confirmDelay = 60 * time.Millisecond
	// maxHandoverRequests bounds the candidates that are asked in one handover.
	maxHandoverRequests = 5
)

// cellController plans one cell while this instance holds its term, and monitors
// the cell's planner otherwise.
type cellController struct {
	entry  *Entry
	number int
	lead   atomic.Pointer[lead.Leader]
	// takeoverRequests receives the terms after which this instance is asked to
	// plan the cell. It holds one; further ones are dropped while it is pending.
	takeoverRequests chan sched.Offset
	// backoff, after failures of the planner here, and attempts, after attempts that
	// didn't begin a term, are used only by the goroutine of run.
	backoff, attempts termBackoff
	living            living
	// beginning is set while this instance reads the records of the cell to begin a term.
	beginning atomic.Bool
	// loaded is set once it has read them, until the term has begun.
	loaded atomic.Bool
	// movedAfter is the term after which a working planner has asked this instance to
	// plan the cell, 0 if the newest request isn't of that kind.
	movedAfter atomic.Int64
	// placement belongs to the term of this instance, nil if there is none.
	placement atomic.Pointer[placement]
}

func newCellController(e *Entry, cell int) *cellController {
	return &cellController{entry: e, number: cell, takeoverRequests: make(chan sched.Offset, 1)}
}

// run monitors the planner and takes the cell over when that is due, until the
// context ends.
func (k *cellController) run(c context.Context) {
	for c.Err() == nil {
		m := &plannerMonitor{cell: k}
		why := m.run(c)
		if c.Err() != nil {
			return
		}
		k.entry.Log.Info("takeOver", zap.Int("cell", k.number), zap.String("from", string(m.planner.ID)),
			zap.String("why", why))
		moved := why == askedByPlanner && k.movedAfter.Swap(0) == int64(m.planner.Term)
		k.runTerm(c, m.planner, moved)
	}
}

// runTerm begins a term after that of the given planner and returns when the new
// term has ended or couldn't begin. moved is set if that planner works and the cell moves
// to this instance.
func (k *cellController) runTerm(c context.Context, from peers.Planner, moved bool) {
	e := k.entry
	agents := &agent.Pool{
		Direct: e.Runner, HTTP: e.PeerClient, Instances: e.directory.Instances, MinWorkers: e.AgentsFrom, Clock: e.Clock,
		Log: e.Log.With(zap.Int("cell", k.number)),
	}
	defer agents.Close()
	l := &lead.Leader{
		Cell: k.number, Store: e.Store, Runner: agents, Advisor: e.Advisor, Clock: e.Clock, Log: e.Log,
		Options:     e.settings.Load().options,
		Term:        lead.Term{ID: e.Self.ID, Incarnation: e.Self.Incarnation, Address: e.Self.Address},
		Predecessor: lead.Term{ID: from.ID, Incarnation: from.Incarnation, Number: from.Term},
	}
	l.Options.AdviceLine = &e.adviceLine
	l.Options.PredecessorStopped = k.predecessorEnded(from)
	l.OnStats = e.Meter.AddPlannerStats
	l.OnLoad = func(r busy.Report) {
		e.Meter.AddPlannerLoad(r)
		if p := k.placement.Load(); p != nil {
			p.recordReport(e.Clock.Now(), r)
		}
	}
	l.OnLoaded = func() { k.loaded.Store(true) }
	l.Spend, l.Evacuations = e.Spend, e.evacuations.Load
	k.beginning.Store(true)
	defer func() {
		k.beginning.Store(false)
		k.loaded.Store(false)
	}()
	if moved {
		l.BeginTimeout = moveBeginTimeout
	}
	term, endTerm := context.WithCancel(c)
	var moves sync.WaitGroup
	l.OnBegin = func(number sched.Offset) {
		placed := k.termBegan(context.WithoutCancel(c), l, number, moved)
		moves.Go(func() { k.watchPlacement(term, l, placed) })
	}
	l.OnAppendOverdue = func() { k.offerCell(l) }
	err := l.Run(c)
	endTerm()
	moves.Wait()
	k.placement.Store(nil)
	if k.lead.CompareAndSwap(l, nil) {
		e.workers.removeTerm()
	}
	if l.Number() == 0 {
		k.attemptFailed()
	}
	var rival *lead.SupersededError
	switch {
	case errors.As(err, &rival):
		k.learnPlanner(rival.Term)
	case c.Err() != nil:
		k.handOver(l.Number(), nil)
		return
	case errors.Is(err, lead.ErrPlannerFailed):
		k.backoff.recordFailure(e.Clock.Now())
		e.Log.Warn("termFailed", zap.Int("cell", k.number), zap.Error(err), zap.Duration("delay", k.backoff.delay))
	case err != nil:
		e.Log.Warn("termFailed", zap.Int("cell", k.number), zap.Error(err))
	}
	_ = e.Clock.Sleep(c, lostTermDelay)
}

// termBegan updates the state of this instance when its term has begun. The context isn't
// the one that ends the term. It returns what decides on moves of the cell.
func (k *cellController) termBegan(
	c context.Context, l *lead.Leader, term sched.Offset, moved bool,
) *placement {
	e := k.entry
	k.beginning.Store(false)
	k.loaded.Store(false)
	placed := newPlacement(e.Clock.Now(), moved)
	k.placement.Store(placed)
	e.Meter.TermBegan()
	k.living.do(func(l *rank.Living) { *l = rank.Living{} })
	k.lead.Store(l)
	p := k.ownPlanner(term)
	e.directory.UpdatePlanner(p)
	e.workers.addTerm(c, k.number)
	go k.announce(c, p)
	return placed
}

// predecessorEnded reports whether the planner surely gives no more orders: there
// was none, it was this instance, or its instance has restarted since, which a
// higher incarnation shows.
func (k *cellController) predecessorEnded(p peers.Planner) bool {
	if p.ID == "" || p.ID == k.entry.Self.ID {
		return true
	}
	for _, i := range k.entry.directory.Instances() {
		if i.ID == p.ID {
			return i.Incarnation > p.Incarnation
		}
	}
	return false
}

// ownPlanner returns this instance as the planner of the cell in the given term.
func (k *cellController) ownPlanner(term sched.Offset) peers.Planner {
	e := k.entry
	return peers.Planner{
		Cell: k.number, Term: term, ID: e.Self.ID, Incarnation: e.Self.Incarnation, Address: e.Self.Address,
	}
}

// announce writes to the directory that this instance plans the cell. It retries
// until that succeeds or the term ends.
func (k *cellController) announce(c context.Context, p peers.Planner) {
	for k.lead.Load() != nil {
		err := k.entry.directory.WritePlanner(c, p)
		if err == nil {
			return
		}
		k.entry.Log.Warn("announceFailed", zap.Int("cell", k.number), zap.Error(err))
		_ = k.entry.Clock.Sleep(c, storeRetryDelay)
	}
}

// handoverCandidates returns the candidates to ask in a handover, the best first: those
// that count as alive.
func (k *cellController) handoverCandidates() []peers.Instance {
	var out []peers.Instance
	now := k.entry.Clock.Now()
	silent := k.silent()
	for _, i := range k.entry.directory.Candidates(k.number) {
		if i.ID != k.entry.Self.ID && k.alive(now, i.ID) && !slices.Contains(silent, i.ID) {
			out = append(out, i)
		}
	}
	return out[:min(len(out), maxHandoverRequests)]
}

// handOver asks the candidates in turn to plan the cell after the given term, until
// one agrees, and returns that one. If stillSuspect isn't nil, each candidate is
// first asked only whether it would; once one says yes, handOver gives up unless
// stillSuspect returns true.
func (k *cellController) handOver(after sched.Offset, stillSuspect func() bool) (peers.Instance, bool) {
	e := k.entry
	for _, i := range k.handoverCandidates() {
		if stillSuspect != nil {
			if !k.requestTakeover(i, after, true) {
				continue
			}
			if !stillSuspect() {
				break
			}
		}
		if k.requestTakeover(i, after, false) {
			e.Log.Info("handedOver", zap.Int("cell", k.number), zap.Int64("term", int64(after)),
				zap.String("to", string(i.ID)))
			return i, true
		}
	}
	return peers.Instance{}, false
}

// requestTakeover asks an instance to plan the cell after the given term, or, with
// offer, only whether it would. It reports whether the instance agreed.
func (k *cellController) requestTakeover(i peers.Instance, after sched.Offset, offer bool) bool {
	q := k.ping()
	q.TakeOverAfter, q.QueryOnly = after, offer
	return k.sendTakeover(i, q)
}

func (k *cellController) sendTakeover(i peers.Instance, q relay.Ping) bool {
	x, cancel := context.WithTimeout(context.Background(), takeoverRequestTimeout)
	defer cancel()
	p, err := k.entry.relay.Ping(x, i.Address, q)
	return err == nil && p.TakeOverAccepted
}

// canTakeOver reports whether this instance reaches the store within
// storeCheckTimeout and knows of no term later than the given one.
func (k *cellController) canTakeOver(c context.Context, after sched.Offset) bool {
	x, cancel := context.WithTimeout(c, storeCheckTimeout)
	defer cancel()
	if p, _ := k.entry.directory.Planner(k.number); p.Term > after {
		return false
	}
	_, err := k.entry.Store.Read(x, lead.Partition(k.number), offsetPastEnd, 0)
	return err == nil
}

// acceptRequest accepts a request of a planner to plan the cell after its term.
func (k *cellController) acceptRequest(q relay.Ping) bool {
	after := q.TakeOverAfter
	if !q.Move {
		after = 0
	}
	k.movedAfter.Store(int64(after))
	return k.acceptTakeover(q.TakeOverAfter)
}

// acceptTakeover has this instance plan the cell after the given term. It returns
// true, also if an earlier request is still pending.
func (k *cellController) acceptTakeover(after sched.Offset) bool {
	select {
	case k.takeoverRequests <- after:
	default:
	}
	return true
}

// offerCell hands the cell over to a candidate that reaches the store, since an
// append of this instance has had no answer for too long.
func (k *cellController) offerCell(l *lead.Leader) {
	i, taken := k.handOver(l.Number(), func() bool {
		l.RetryAppend()
		_ = k.entry.Clock.Sleep(context.Background(), confirmDelay)
		return l.Waiting()
	})
	if !taken {
		return
	}
	c, cancel := context.WithTimeout(context.Background(), takeoverTimeout)
	defer cancel()
	k.yield(c, l, i, 0)
}

// yield pings the instance until it reports a later term of the cell, and then
// ends the term of this instance and returns true. It gives up when a ping fails or the
// context ends. Once the instance has read the records, this one appends nothing for the
// time of hold, if that isn't 0, and yield gives up after twice that time.
func (k *cellController) yield(c context.Context, l *lead.Leader, to peers.Instance, hold time.Duration) bool {
	e := k.entry
	var held time.Time
	for k.lead.Load() == l && e.Clock.Sleep(c, takeoverPollInterval) == nil {
		p, err := e.relay.Ping(c, to.Address, relay.Ping{From: e.Self.ID, Cell: k.number})
		if err != nil {
			return false
		}
		if hold > 0 && p.Loaded && held.IsZero() {
			l.Hold(hold)
			held = e.Clock.Now()
		}
		for _, x := range p.Planners {
			if x.Cell == k.number && x.Term > l.Number() {
				e.Log.Info("yielded", zap.Int("cell", k.number), zap.String("to", string(x.ID)),
					zap.Int64("term", int64(x.Term)))
				e.directory.UpdatePlanner(x)
				l.Supersede(lead.Term{ID: x.ID, Incarnation: x.Incarnation, Address: x.Address, Number: x.Term})
				return true
			}
		}
		if !held.IsZero() && e.Clock.Now().Sub(held) >= 2*hold {
			return false
		}
	}
	p, known := e.directory.Planner(k.number)
	return known && p.ID == to.ID && p.Term > l.Number()
}

// offsetPastEnd lies after the end of every partition, so that a read from there
// returns no records, only the end.
const offsetPastEnd sched.Offset = 1 << 40
