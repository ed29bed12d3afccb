package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/process/busy"
	"github.com/parsleybarrow/parsleybarrow/internal/process/lead"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/internal/process/relay"
	"github.com/parsleybarrow/parsleybarrow/pkg/rank"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// moveCheckInterval is the time between two decisions whether the cell should move.
	moveCheckInterval = 250 * time.Millisecond
	// moveTimeout bounds a move: the time in which the other instance reads the records of
	// the cell and begins a term. The planner works on meanwhile.
	moveTimeout = 5 * time.Second
	// moveBeginTimeout is the time in which the other instance must have begun its term. It
	// is shorter than moveTimeout, so that an instance that was frozen doesn't take a cell
	// whose planner no longer expects it.
	moveBeginTimeout = 4 * time.Second
	// moveHold is how long the planner appends nothing once the other instance has read
	// the records. It lets that instance append its term: some round trips. No start may
	// be delayed for longer than 500 ms.
	moveHold = 350 * time.Millisecond
	// maxMoveProofAge is the age of the last proof from the store above which no move is
	// begun. A planner appends at least every 500 ms.
	maxMoveProofAge = time.Second
	// readyLifetime is the age of an instance's last ping up to which it counts as ready,
	// and maxReadyWait the longest wait of a planner's message there.
	readyLifetime = 5 * time.Second
	maxReadyWait  = 200 * time.Millisecond
)

// placement decides for one term whether the cell should move. It is safe for concurrent
// use.
type placement struct {
	mu    sync.Mutex
	mover *rank.Mover
	wait  time.Duration // longest wait of a message in the last period
	loads map[sched.InstanceID]heardLoad
}

// heardLoad is the load of an instance as of its last ping.
type heardLoad struct {
	relay.Load
	at time.Time
}

func newPlacement(now time.Time, moved bool) *placement {
	return &placement{mover: rank.NewMover(now, moved), loads: map[sched.InstanceID]heardLoad{}}
}

func (p *placement) recordReport(now time.Time, r busy.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wait = r.LongestWait
	p.mover.RecordWait(now, r.LongestWait)
}

func (p *placement) recordLoad(now time.Time, id sched.InstanceID, l relay.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads[id] = heardLoad{l, now}
}

// longestWait returns the longest wait of a planner's message in the last period.
func (p *placement) longestWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wait
}

// decide returns the instance to which the cell should move now, and why.
func (p *placement) decide(now time.Time, self rank.Candidate, all []peers.Ranked) (sched.InstanceID, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []rank.Peer
	for _, c := range all {
		if l, heard := p.loads[c.ID]; heard {
			out = append(out, rank.Peer{Candidate: c.Candidate(), Heard: l.at, Busy: l.Busy, Leaving: l.Leaving})
		}
	}
	return p.mover.Decide(now, self, out)
}

// behind reports whether the planner here is behind.
func (p *placement) behind(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mover.Behind(now)
}

// readyOthers returns how many of the given instances have pinged this one lately, aren't
// leaving and have no planner that is behind.
func (p *placement) readyOthers(now time.Time, all []peers.Instance) (ready int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range all {
		l, heard := p.loads[i.ID]
		if heard && now.Sub(l.at) < readyLifetime && !l.Leaving && l.Wait <= maxReadyWait {
			ready++
		}
	}
	return ready
}

// relieved reports whether this instance should say that it isn't ready, since its planner
// is behind and others of its data centre can take the callers.
func (e *Entry) relieved() bool {
	controllers := e.controllers.Load()
	if controllers == nil {
		return false
	}
	now, anyBehind := e.Clock.Now(), false
	var planning []*placement
	for _, s := range *controllers {
		if p := s.placement.Load(); p != nil {
			planning = append(planning, p)
			anyBehind = anyBehind || p.behind(now)
		}
	}
	if !anyBehind {
		return false // the directory isn't read for each check of readiness
	}
	var near []peers.Instance
	for _, i := range e.directory.Instances() {
		if i.DataCentre == e.Self.DataCentre {
			near = append(near, i)
		}
	}
	others := len(near)
	for _, p := range planning {
		others = min(others, p.readyOthers(now, near))
	}
	e.reliefMu.Lock()
	defer e.reliefMu.Unlock()
	return e.relief.Due(now, anyBehind, others)
}

// watchPlacement moves the cell when that is due, until the term of the leader has ended.
func (k *cellController) watchPlacement(c context.Context, l *lead.Leader, p *placement) {
	e := k.entry
	for k.lead.Load() == l && e.Clock.Sleep(c, moveCheckInterval) == nil {
		if l.ProofAge() >= maxMoveProofAge {
			continue
		}
		all := e.directory.Ranked(k.number)
		var self rank.Candidate
		targets := map[sched.InstanceID]peers.Instance{}
		for _, i := range all {
			targets[i.ID] = i.Instance
			if i.ID == e.Self.ID {
				self = i.Candidate()
			}
		}
		if id, why := p.decide(e.Clock.Now(), self, all); id != "" {
			k.move(c, l, targets[id], why, p.longestWait())
		}
	}
}

// move hands the cell to another instance while the planner works on. If that fails, the
// planner continues.
func (k *cellController) move(c context.Context, l *lead.Leader, to peers.Instance, why string, wait time.Duration) {
	e := k.entry
	began := e.Clock.Now()
	fields := []zap.Field{
		zap.Int("cell", k.number), zap.String("from", string(e.Self.ID)), zap.String("to", string(to.ID)), zap.String("why", why),
		zap.Float64("busy", e.currentLoad().Busy), zap.Duration("wait", wait),
	}
	q := k.ping()
	q.TakeOverAfter, q.QueryOnly, q.Move = l.Number(), true, true
	moved := false
	if k.sendTakeover(to, q) {
		q.QueryOnly = false
		if k.sendTakeover(to, q) {
			x, cancel := context.WithTimeout(c, moveTimeout)
			moved = k.yield(x, l, to, moveHold)
			cancel()
		}
	}
	fields = append(fields, zap.Duration("took", e.Clock.Now().Sub(began)))
	if !moved {
		e.Meter.AddMove("failed")
		e.Log.Warn("plannerMoveFailed", fields...)
		return
	}
	e.Meter.AddMove("ok")
	e.Log.Info("plannerMoved", fields...)
}
