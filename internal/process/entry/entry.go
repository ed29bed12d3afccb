package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/process/agent"
	"github.com/parsleybarrow/parsleybarrow/internal/process/guard"
	"github.com/parsleybarrow/parsleybarrow/internal/process/lead"
	"github.com/parsleybarrow/parsleybarrow/internal/process/meter"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peer"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/internal/process/relay"
	"github.com/parsleybarrow/parsleybarrow/pkg/budget"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/evac"
	"github.com/parsleybarrow/parsleybarrow/pkg/rank"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/turns"
)

// Entry is one entry instance. Exported fields are set before Run.
type Entry struct {
	Self peers.Instance

	// CallerListener, BalancerListener, PeerListener and MetricsListener are closed by Run. Those that are nil
	// aren't served.
	CallerListener   net.Listener
	BalancerListener net.Listener
	PeerListener     net.Listener
	MetricsListener  net.Listener
	// PeerClient is the client for calls to other instances. If it is nil, Run
	// sets one that uses HTTP/2.
	PeerClient *http.Client
	// CallerHandler returns the handler for callers, ReadyHandler that for the
	// balancer's readiness checks.
	CallerHandler func(sched.JobService) http.Handler
	ReadyHandler  func(sched.JobService) http.Handler

	Store    sched.Store
	Registry sched.Registry
	Runner   sched.OrderClient
	Advisor  sched.Advisor
	Clock    sched.Clock
	Log      *zap.Logger
	// Meter counts the calls of the instance. If it is nil, Run sets one.
	Meter *meter.Meter
	// Spend emulates the processor time of the planners here, see lead.Leader. It is nil on
	// a real processor.
	Spend func(before, after cell.Stats)
	// UsedProcessorTime returns the processor time that the process has used so far. It may
	// be nil; other instances then don't know how busy this one is.
	UsedProcessorTime func() (time.Duration, error)
	// LinesDropped returns the number of log lines dropped so far. It may be nil.
	LinesDropped func() int64
	// WorkersPerCell is the number of workers per cell from which the number of
	// cells is derived at the first start.
	WorkersPerCell int
	// DataCentres are the known data centres. If there are none, any name is taken for one.
	DataCentres []sched.DataCentre
	// AgentsFrom is the number of workers of a cell from which on its planner has
	// other instances carry out its orders. With 0 it never has.
	AgentsFrom int

	// Budget bounds what the clients of the listeners may take. If it is zero, Run sets
	// that of a machine whose limits are unknown.
	Budget budget.Limits

	// adviceLine is shared by the planners here: the advisor handles the calls of one
	// instance one at a time.
	adviceLine turns.Line
	directory  *peers.Directory
	relay      *relay.Client
	catalog    atomic.Pointer[catalog]
	// evacuations is nil until the operator's records were read.
	evacuations atomic.Pointer[evac.Set]
	workers     *workerList
	controllers atomic.Pointer[[]*cellController]
	serving     atomic.Bool
	leaving     atomic.Bool
	inFlight    atomic.Int64
	settings    atomic.Pointer[settings]
	gates       gates
	usage       usage
	reliefMu    sync.Mutex
	relief      rank.Relief
}

// settings holds what Reload sets.
type settings struct {
	options cell.Options
	grace   time.Duration
}

// Reload sets the options for terms that begin from now on, and the grace period
// between SIGTERM and SIGKILL. It must be called once before Run.
func (e *Entry) Reload(o cell.Options, grace time.Duration) { e.settings.Store(&settings{o, grace}) }

// catalog is a catalog with the operator's record from which it was decoded.
type catalog struct {
	*sched.Catalog
	record []byte
}

const (
	// headerTimeout, idleTimeout and maxHeaderBytes are the limits of all servers,
	// except that connections of peers have no idle timeout.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
	// operatorPollWait is how long a read of the operator's records waits for new
	// ones. A configuration must be in force within 2.5 s, and the store may fail
	// to answer a waiting read when the record arrives together with it.
	operatorPollWait = 1500 * time.Millisecond
	// evacuationPollWait replaces operatorPollWait where data centres may be
	// evacuated, since an evacuation should be in force within a second.
	evacuationPollWait = 700 * time.Millisecond
	// operatorReadInterval is the time between two reads. It bounds their rate
	// while many configurations are written.
	operatorReadInterval = 100 * time.Millisecond
	// storeRetryDelay is the time until a failed attempt to join, or to announce
	// a term, is repeated.
	storeRetryDelay = 300 * time.Millisecond
)

// Run serves until the context ends. It then hands its cells over and drains the
// calls in progress, within the grace period, and returns nil. If a server fails, Run
// stops without draining and returns its error.
func (e *Entry) Run(c context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(c))
	defer stop()
	calls, endCalls := context.WithCancel(context.WithoutCancel(c))
	defer endCalls()
	e.registerMetrics()
	e.directory = &peers.Directory{Self: e.Self, Store: e.Store, Clock: e.Clock, Log: e.Log}
	if e.PeerClient == nil {
		e.PeerClient = peer.HTTPClient()
	}
	e.relay = &relay.Client{HTTP: e.PeerClient}
	e.workers = newWorkerList(e)
	e.serving.Store(true)
	failed := make(chan error, 1)
	servers := e.serve(calls, failed)
	e.Log.Info("started", zap.String("instance", string(e.Self.ID)), zap.String("dataCentre", string(e.Self.DataCentre)),
		zap.String("address", e.Self.Address))
	var loops sync.WaitGroup
	loops.Go(func() { newOperator(e).run(work) })
	planning, stopPlanning := context.WithCancel(work)
	defer stopPlanning()
	loops.Go(func() { e.join(planning, work, &loops) })
	var err error
	select {
	case <-c.Done():
		e.drain(stopPlanning)
		endCalls()
		shutDown(servers)
	case err = <-failed:
	}
	stop()
	for _, s := range servers {
		_ = s.Close()
	}
	loops.Wait()
	e.Log.Info("stopped", zap.Error(err))
	return err
}

// Serving reports whether Run has been called and is ready for calls. Those that call
// the instance without its listeners must not do so before.
func (e *Entry) Serving() bool { return e.serving.Load() }

// join registers the instance in the directory and sets the number of cells at the
// first start, retrying each until it succeeds. It then starts a controller for
// each cell. Controllers run until the planning context ends, all else until the
// work context ends.
func (e *Entry) join(planning, work context.Context, loops *sync.WaitGroup) {
	layout := &layout{entry: e}
	for _, f := range []func(context.Context) error{e.directory.Register, layout.fixCells} {
		var last string
		for {
			err := f(work)
			if err == nil {
				break
			}
			if err.Error() != last {
				last = err.Error()
				e.Log.Warn("joinFailed", zap.Error(err))
			}
			if e.Clock.Sleep(work, storeRetryDelay) != nil {
				return
			}
		}
	}
	n := e.directory.Cells()
	e.Log.Info("joined", zap.Int("cells", n), zap.Int("instances", len(e.directory.Instances())+1))
	controllers := make([]*cellController, n)
	for k := range controllers {
		controllers[k] = newCellController(e, k)
	}
	e.controllers.Store(&controllers)
	loops.Go(func() { e.directory.Run(work) })
	for _, s := range controllers {
		loops.Go(func() { s.run(planning) })
	}
}

// serve starts an HTTP server for each listener. The first error of a server is sent
// to failed. The contexts of callers' calls derive from the given one: when it ends, after
// the drain, each call is answered with what is known about it by then.
func (e *Entry) serve(calls context.Context, failed chan<- error) []*http.Server {
	if e.Budget == (budget.Limits{}) {
		e.Budget = budget.Of(0, 0)
	}
	parts := []struct {
		use           string
		listener      net.Listener
		handler       func() http.Handler
		share         budget.Share
		receiveBuffer int
	}{
		{
			"callers", e.CallerListener, func() http.Handler { return e.trackCalls(e.CallerHandler(e.Meter.WrapJobService(e))) },
			e.Budget.Callers, budget.CallerReceiveBuffer,
		},
		{"balancer", e.BalancerListener, func() http.Handler { return e.ReadyHandler(e) }, e.Budget.Probes, budget.CallerReceiveBuffer},
		{"peers", e.PeerListener, e.PeerHandler, e.Budget.Peers, budget.PeerReceiveBuffer},
		{"metrics", e.MetricsListener, e.metricsHandler, e.Budget.Metrics, budget.CallerReceiveBuffer},
	}
	var guards []*guard.Guard
	var servers []*http.Server
	for _, p := range parts {
		if p.listener == nil {
			continue
		}
		g := &guard.Guard{
			Name: p.use, Share: p.share, Limits: e.Budget, HeaderBytes: maxHeaderBytes, Peers: p.use == "peers",
			Lasting: agent.Lasting, ReceiveBuffer: p.receiveBuffer, Log: e.Log,
		}
		guards = append(guards, g)
		s := g.Server(p.handler())
		s.ReadHeaderTimeout, s.IdleTimeout = headerTimeout, idleTimeout
		if p.use == "callers" {
			s.BaseContext = func(net.Listener) context.Context { return calls }
		}
		if p.use == "peers" {
			s.Protocols, s.IdleTimeout = peer.Protocols(), 0
		}
		servers = append(servers, s)
		go func() {
			if err := s.Serve(g.Listener(p.listener)); err != nil && !errors.Is(err, http.ErrServerClosed) {
				select {
				case failed <- fmt.Errorf("serve %s: %w", p.use, err):
				default:
				}
			}
		}()
	}
	e.Meter.RegisterGuards(guards)
	go guard.Run(calls, guards...)
	return servers
}

// PeerHandler returns the handler for calls of other instances.
func (e *Entry) PeerHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle(relay.Handler(localPlanners{e}))
	m.Handle(agent.Handler(e.Runner, e.Clock, e.leaving.Load))
	return m
}

// shutDown closes the listeners and unused connections, and waits until the calls in
// progress have been answered, for at most answerTimeout.
func shutDown(servers []*http.Server) {
	c, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	var loops sync.WaitGroup
	for _, s := range servers {
		loops.Go(func() { _ = s.Shutdown(c) })
	}
	loops.Wait()
}

// trackCalls counts the calls in progress. While the instance drains, it tells
// callers to close their connections.
func (e *Entry) trackCalls(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

const (
	// drainQuietPeriod is the time without a call in progress after which a
	// draining instance stops.
	drainQuietPeriod = 1200 * time.Millisecond
	// drainPollInterval is the time between two checks for calls in progress.
	drainPollInterval = 50 * time.Millisecond
	// answerTimeout bounds the wait, after the drain, for the answers to calls that
	// are still in progress. They have no reason to take longer than that then.
	answerTimeout = 300 * time.Millisecond
	// killMargin is the time between the end of the drain and SIGKILL. It contains
	// answerTimeout and the shutdown of the process, which may be short of processor
	// time.
	killMargin = time.Second
	// leaveTimeout bounds the removal of the instance's record from the directory.
	leaveTimeout = 400 * time.Millisecond
)

// drain ends the terms of this instance, whose cells are handed over, removes it from
// the directory and waits until no calls have been in progress for
// drainQuietPeriod, at most until killMargin before the end of the grace period. Since
// that began with SIGTERM, a Reload may shorten it but not extend it.
func (e *Entry) drain(stopPlanning context.CancelFunc) {
	began, grace := e.Clock.Now(), e.settings.Load().grace
	e.leaving.Store(true)
	e.Log.Info("leaving", zap.Int64("calls", e.inFlight.Load()))
	stopPlanning()
	x, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := e.directory.Unregister(x); err != nil {
		e.Log.Warn("leaveFailed", zap.Error(err))
	}
	quiet := e.Clock.Now()
	for e.Clock.Now().Sub(began) < grace-killMargin {
		grace = min(grace, e.settings.Load().grace)
		if e.inFlight.Load() > 0 {
			quiet = e.Clock.Now()
		}
		if e.Clock.Now().Sub(quiet) >= drainQuietPeriod {
			break
		}
		_ = e.Clock.Sleep(context.Background(), drainPollInterval)
	}
}

// storeStateLogger returns a function that takes the results of calls to the store
// and logs when they begin to fail and when they succeed again.
func (e *Entry) storeStateLogger(use string) func(error) {
	lost := false
	return func(err error) {
		switch {
		case err != nil && !lost:
			e.Log.Warn("storeLost", zap.String("use", use), zap.Error(err))
		case err == nil && lost:
			e.Log.Info("storeBack", zap.String("use", use))
		}
		lost = err != nil
	}
}

// installCatalog puts a catalog in force unless one of the same or a later version
// already is.
func (e *Entry) installCatalog(c *catalog) {
	for {
		old := e.catalog.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if e.catalog.CompareAndSwap(old, c) {
			e.Log.Info("catalogInForce", zap.Int64("version", c.Version), zap.Int("routes", len(c.Routes)))
			return
		}
	}
}

// controller returns the controller of a cell, nil if the instance hasn't joined yet or
// there is no such cell.
func (e *Entry) controller(k int) *cellController {
	controllers := e.controllers.Load()
	if controllers == nil || k < 0 || k >= len(*controllers) {
		return nil
	}
	return (*controllers)[k]
}

// Plans reports whether the instance plans the cell.
func (e *Entry) Plans(cell int) bool { return e.lead(cell) != nil }

// lead returns the term that the instance holds for a cell, nil if none.
func (e *Entry) lead(k int) *lead.Leader {
	if s := e.controller(k); s != nil {
		return s.lead.Load()
	}
	return nil
}
