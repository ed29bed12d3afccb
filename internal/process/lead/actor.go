package lead

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
)

// startActor starts the actor that runs every function which uses the planner, one
// at a time. The planner isn't safe for concurrent use.
func (l *Leader) startActor() {
	silent := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
	l.system = actor.NewActorSystem(actor.WithLoggerFactory(silent))
	l.actorEnded = make(chan struct{})
	l.pid = l.system.Root.Spawn(actor.PropsFromFunc(func(x actor.Context) {
		switch m := x.Message().(type) {
		case message:
			l.handle(m)
		case *actor.Stopped:
			close(l.actorEnded)
		}
	}))
}

// handle does the work of a message and carries out the effects. A panic ends the term:
// the planner's state can't be trusted any more, and nothing may be done with it.
func (l *Leader) handle(m message) {
	if l.failed.Load() {
		return
	}
	begun := l.Clock.Now()
	defer func() {
		l.handled.Add(1)
		if r := recover(); r != nil {
			l.fail(l.plannerFailed(r))
		}
		l.backlog.handled(l.Clock.Now().Sub(begun))
	}()
	for u, more := l.urgent.take(); more; u, more = l.urgent.take() {
		l.measure(u.kind, u.run)
	}
	waited := begun.Sub(m.postedAt)
	l.work.Waited(waited)
	l.planner.SetDelay(waited)
	before := l.planner.Stats()
	l.updateEvacuations(l.Clock.Now())
	l.measure(m.kind, m.run)
	l.applyEffects()
	if l.Spend != nil {
		l.measure(workEmulated, func() { l.Spend(before, l.planner.Stats()) })
	}
}

// fail ends the term with the error. Once it has returned, no effect of the planner is
// carried out any more.
func (l *Leader) fail(err error) {
	l.effects.Lock()
	defer l.effects.Unlock()
	if !l.failed.Swap(true) {
		l.failure <- err
	}
}

// post runs f in the planner's actor, without waiting for it.
func (l *Leader) post(kind workKind, f func()) {
	l.backlog.posted()
	l.system.Root.Send(l.pid, message{kind, l.Clock.Now(), f})
}

// postUrgent runs f in the planner's actor after the message that it is handling, without
// waiting for it. Urgent functions run in the order in which they were posted.
func (l *Leader) postUrgent(kind workKind, f func()) {
	l.urgent.put(message{kind: kind, run: f})
	l.post(kind, func() {}) // f runs at its turn at the latest
}

// ticker has the planner's actor call Tick, and ends the term if the actor is stuck,
// until the context ends.
func (l *Leader) ticker(c context.Context) {
	last := l.Clock.Now()
	s := stall{since: last}
	for l.Clock.Sleep(c, tickInterval) == nil {
		now := l.Clock.Now()
		late := now.Sub(last) - tickInterval
		l.lag.observe(late)
		last = now
		if d, stuck := s.observe(now, late, l.handled.Load(), l.lag.recent()); stuck && !l.failed.Load() {
			l.Log.Error("plannerStuck", zap.Duration("after", d), zap.String("stacks", actorStacks()))
			l.fail(fmt.Errorf("%w: no message handled for %v", ErrPlannerFailed, d))
		}
		if !l.tickWaiting.CompareAndSwap(false, true) {
			continue // a planner that is behind would only fall further behind
		}
		l.post(workTick, func() {
			l.tickWaiting.Store(false)
			l.planner.Tick(l.Clock.Now())
			l.report(l.Clock.Now(), statsInterval)
		})
	}
}

// report calls OnStats and OnLoad if the last call was at least the pause ago. It runs in
// the planner's actor, or after that has ended.
func (l *Leader) report(now time.Time, pause time.Duration) {
	if now.Sub(l.reportedAt) < pause {
		return
	}
	l.reportedAt = now
	l.reportLoad(now)
	done := l.planner.Stats()
	if l.OnStats != nil {
		l.OnStats(l.reportedStats, done)
	}
	l.reportedStats = done
	l.evacuatedRuns.Store(int64(l.planner.EvacuatedRuns()))
	l.unknownWorkers.Store(int64(l.planner.UnknownWorkers()))
}

// applyEffects has the planner place waiting tasks and write a batch, and carries out the
// effects that it has produced: an append, replies to callers, orders to workers and
// calls of the advisor.
func (l *Leader) applyEffects() {
	if l.finished.Load() {
		return
	}
	l.measure(workPlace, func() { l.planner.Place(l.Clock.Now()) })
	l.measure(workFlush, func() { l.planner.Flush(l.Clock.Now()) })
	e := l.planner.TakeEffects()
	l.measure(workEffects, func() { l.carryOut(e) })
}

// carryOut carries out the effects, unless the term has ended.
func (l *Leader) carryOut(e cell.Effects) {
	l.effects.Lock()
	defer l.effects.Unlock()
	if l.failed.Load() || l.finished.Load() {
		return
	}
	if len(e.Append) > 0 {
		select {
		case l.appends <- e.Append:
		case <-l.stopped:
			return
		}
	}
	for _, r := range e.Replies {
		if x := l.tickets[r.Ticket]; x != nil {
			x.verdict <- r.Verdict
			delete(l.tickets, r.Ticket)
		}
	}
	for _, s := range e.Starts {
		l.calls.Go(func() { l.start(s) })
	}
	for _, s := range e.Stops {
		l.calls.Go(func() { l.stop(s) })
	}
	for _, p := range e.Paces {
		l.calls.Go(func() { l.pace(p) })
	}
	for _, o := range e.Leases {
		l.calls.Go(func() { l.lease(o) })
	}
	for _, a := range e.Advice {
		l.calls.Go(func() { l.advise(a) })
	}
}
