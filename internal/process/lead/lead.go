package lead

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/process/busy"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/evac"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/turns"
)

// Leader runs the planner of one cell for one term. Exported fields are set before
// Run.
type Leader struct {
	Cell int
	Term Term
	// Predecessor is the term that this one follows. If another instance has begun
	// a term since, Run ends with a *SupersededError.
	Predecessor Term
	Store       sched.Store
	Runner      sched.OrderClient
	Advisor     sched.Advisor
	Clock       sched.Clock
	Log         *zap.Logger
	Options     cell.Options
	// OnBegin is called once, with the number of the term, when the term has begun.
	OnBegin func(term sched.Offset)
	// OnStats is called about once a second and at the end of the term, with the
	// planner's counters as of the previous call and as of now. It may be nil.
	OnStats func(before, after cell.Stats)
	// OnLoad is called at the same times with what the planner's actor has done since. It
	// may be nil.
	OnLoad func(busy.Report)
	// Spend is called by the planner's actor after each message with what the planner has
	// done for it, and returns once an emulated processor has done as much. It is nil on
	// a real one.
	Spend func(before, after cell.Stats)
	// Evacuations returns the evacuations by the newest read of the operator's records, nil
	// before the first one. If it is nil, there are none.
	Evacuations func() *evac.Set
	// BeginTimeout bounds the time in which the term begins. With 0 there is no bound.
	BeginTimeout time.Duration
	// OnLoaded is called when the records of the cell have been read, before the term
	// begins. It may be nil.
	OnLoaded func()
	// OnAppendOverdue is called, in a goroutine of its own, when an append takes so long
	// that the instance may not reach the store. There is at most one call at a
	// time. It may be nil.
	OnAppendOverdue func()

	system      *actor.ActorSystem
	pid         *actor.PID
	planner     *cell.Planner
	callContext context.Context
	calls       sync.WaitGroup

	// end and meanAppendTime are used only by the goroutine of Run.
	end            sched.Offset
	meanAppendTime time.Duration // exponentially weighted moving average
	termNumber     sched.Offset
	termRecord     []byte
	appends        chan []sched.KeyedRecord
	provenAt       atomic.Int64 // when the last proof from the store was requested, in Unix nanoseconds
	tickets        map[cell.Ticket]*call
	ticket         cell.Ticket
	stopped        chan struct{}
	finished       atomic.Bool
	// failure receives the error of a planner that has panicked or is stuck, and
	// failed is set from then on.
	failure chan error
	failed  atomic.Bool
	// effects is held while effects are carried out. Once failed or finished is set
	// under it, no further ones are.
	effects sync.Mutex
	// handled counts the messages that the planner's actor has handled, and
	// actorEnded is closed when it has handled its last one.
	handled      atomic.Int64
	actorEnded   chan struct{}
	supersededBy chan Term
	suspecting   atomic.Bool
	// appendPending is set while an append has not succeeded yet; retryRequested
	// asks that append for another attempt.
	appendPending  atomic.Bool
	retryRequested chan struct{}
	begunAt        time.Time
	lag            lag
	// evacuations are those that the planner knows, and startsHeld is set while it holds
	// starts. Only the planner's actor uses them.
	evacuations *evac.Set
	startsHeld  bool
	// line holds the calls that wait for the planner's actor, and urgent what it does before
	// them. backlog estimates how long a message waits.
	line    line
	urgent  urgent
	backlog backlog
	// tickWaiting is set while a tick waits for the planner's actor.
	tickWaiting atomic.Bool
	// evacuatedRuns is the number of runs in evacuated data centres as of the last report.
	evacuatedRuns atomic.Int64
	// unknownWorkers is the planner's UnknownWorkers as of the last report.
	unknownWorkers atomic.Int64
	// holdRequested receives the time for which nothing is to be appended.
	holdRequested chan time.Duration
	// reportedStats are the counters that OnStats was last called with, at reportedAt.
	reportedStats cell.Stats
	reportedAt    time.Time
	// work measures the planner's actor, which is the only one to use it. processorTime is
	// what this process had used at the newest report.
	work          *busy.Meter
	processorTime time.Duration
}

// tickInterval is the interval between two calls of the planner's Tick.
const tickInterval = 25 * time.Millisecond

// ErrNotPlanner reports that the instance doesn't plan the cell, or no longer does, and
// that the call had no effect.
var ErrNotPlanner = errors.New("cell is planned elsewhere")

// ErrTermEnded reports that the term ended during a call. The call may have had an
// effect.
var ErrTermEnded = errors.New("term ended during the call")

// ErrPlannerFailed reports that the term has ended because the planner has panicked or
// is stuck. The next planner of the cell begins with what is recorded.
var ErrPlannerFailed = errors.New("planner failed")

// Partition returns the partition of the store that holds the records of a cell.
func Partition(cell int) sched.Partition { return sched.Partition{Topic: Topic, Number: cell} }

// Run begins a term and plans the cell until the context ends or another instance
// takes over, which gives a *SupersededError, or until the planner panics or is stuck,
// which gives ErrPlannerFailed. When the context ends between two appends,
// Run appends a record that ends the term, and returns nil. When it ends during an
// append, Run returns the context's error, and the term stays in force until another
// instance replaces it. Run doesn't wait for a planner that is stuck.
func (l *Leader) Run(c context.Context) error {
	if l.Log == nil {
		l.Log = zap.NewNop()
	}
	l.Log = l.Log.With(zap.Int("cell", l.Cell))
	restored, err := l.beginTerm(c)
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.WithoutCancel(c))
	defer stop()
	l.callContext = work
	l.Options.Term, l.Options.Log, l.Options.Commit = l.termNumber, l.Log, l.commit
	if l.Options.AdviceLine == nil {
		l.Options.AdviceLine = &turns.Line{}
	}
	if l.planner, err = l.newPlanner(restored); err != nil {
		return l.ended(err)
	}
	l.tickets = map[cell.Ticket]*call{}
	l.begunAt = l.Clock.Now()
	l.work, l.processorTime = busy.New(l.begunAt), l.readProcessorTime()
	l.appends, l.stopped = make(chan []sched.KeyedRecord, 1), make(chan struct{})
	l.supersededBy, l.retryRequested = make(chan Term, 1), make(chan struct{}, 1)
	l.holdRequested = make(chan time.Duration, 1)
	l.failure = make(chan error, 1)
	l.startActor()
	l.Log.Info("termBegan", zap.Int64("term", int64(l.termNumber)), zap.Int("records", len(restored.records)))
	l.OnBegin(l.termNumber)
	go l.ticker(work)
	err = l.appendLoop(c)
	l.Log.Info("termEnded", zap.Int64("term", int64(l.termNumber)), zap.Error(err))
	close(l.stopped)
	l.effects.Lock()
	l.finished.Store(true)
	l.effects.Unlock()
	stop()
	l.calls.Wait()
	l.system.Root.Poison(l.pid)
	select {
	case <-l.actorEnded:
		l.report(l.Clock.Now(), 0)
	case <-time.After(actorEndTimeout):
		l.Log.Warn("plannerRunsOn", zap.Int64("term", int64(l.termNumber)))
	}
	l.system.Shutdown()
	l.Options.AdviceLine.Leave(l.planner) // after its last call has begun
	return err
}

// actorEndTimeout bounds the wait for the planner's actor at the end of a term.
const actorEndTimeout = time.Second

func (l *Leader) beginTerm(c context.Context) (*keyedState, error) {
	if l.BeginTimeout > 0 {
		x, cancel := context.WithTimeout(c, l.BeginTimeout)
		defer cancel()
		c = x
	}
	k, err := load(c, l.Store, Partition(l.Cell))
	if err != nil {
		return nil, err
	}
	l.provenAt.Store(l.Clock.Now().UnixNano())
	if l.OnLoaded != nil {
		l.OnLoaded()
	}
	if l.termNumber, err = k.appendTerm(c, l.Store, l.Cell, l.Term, l.Predecessor); err != nil {
		return nil, err
	}
	l.end = k.end
	l.Term.Number = l.termNumber
	l.termRecord, err = l.Term.encode()
	return k, err
}

// newPlanner returns a planner that goes on with what is recorded. If that makes it panic,
// the error is ErrPlannerFailed.
func (l *Leader) newPlanner(restored *keyedState) (p *cell.Planner, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = l.plannerFailed(r)
		}
	}()
	p = cell.New(l.Clock.Now(), restored.decodeJobs(l.Log, codec.DecodeProgress), l.Options)
	if r := restored.records[cell.LearnedKey]; len(r.Value) > 0 {
		if err := p.Learn(r.Value); err != nil {
			l.Log.Error("badRecord", zap.String("key", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
		}
	}
	return p, nil
}

// plannerFailed logs a panic of the planner, with the stack, and returns it as an error.
func (l *Leader) plannerFailed(r any) error {
	l.Log.Error("plannerFailed", zap.Any("panic", r), zap.Stack("stack"))
	return fmt.Errorf("%w: %v", ErrPlannerFailed, r)
}

// Number returns the number of the term, 0 before it has begun.
func (l *Leader) Number() sched.Offset { return l.termNumber }

// Ended reports whether the term has ended. Calls have no effect from then on.
func (l *Leader) Ended() bool { return l.finished.Load() }

// Supersede ends the term because a later one has begun. Run then returns a
// *SupersededError with that term.
func (l *Leader) Supersede(by Term) {
	select {
	case l.supersededBy <- by:
	default:
	}
}

// ProofAge returns the time since the last proof that no other planner had taken
// over. Each successful append is such a proof, as of the time it was sent.
func (l *Leader) ProofAge() time.Duration {
	return l.Clock.Now().Sub(time.Unix(0, l.provenAt.Load()))
}

// statsInterval is the least time between two calls of OnStats during a term.
const statsInterval = time.Second
