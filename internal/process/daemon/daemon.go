package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/parsleybarrow/parsleybarrow/internal/conn/pool"
	"github.com/parsleybarrow/parsleybarrow/internal/process/claims"
	"github.com/parsleybarrow/parsleybarrow/internal/process/gate"
	"github.com/parsleybarrow/parsleybarrow/internal/process/guard"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peer"
	"github.com/parsleybarrow/parsleybarrow/internal/request/proxy"
	"github.com/parsleybarrow/parsleybarrow/pkg/budget"
	"github.com/parsleybarrow/parsleybarrow/pkg/event"
	"github.com/parsleybarrow/parsleybarrow/pkg/quota"
	"github.com/parsleybarrow/parsleybarrow/pkg/route"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/stamp"
)

// Daemon is one entry instance. Exported fields are set before Run.
type Daemon struct {
	ID          sched.InstanceID
	Incarnation sched.Incarnation
	Region      sched.Region
	DataCentre  sched.DataCentre

	// CallerListener, PeerListener and AdminListener are closed by Run.
	CallerListener net.Listener
	PeerListener   net.Listener
	AdminListener  net.Listener
	// AdvertiseAddress is the address at which peers reach this instance. If it is
	// empty, the address of PeerListener is used.
	AdvertiseAddress string

	Log        sched.Log
	List       sched.Roster
	Workers    sched.WorkerClient
	PeerClient sched.PeerClient
	Clock      sched.Clock
	Logger     *zap.Logger
	// Seed seeds the random choices of the request path and of the planner, and
	// the nonces of claims.
	Seed uint64
	// Shards is the number of intent streams, the same at all instances.
	Shards int
	// DrainDelay is how long the instance still accepts requests after it has
	// announced that it leaves. It covers the time until the load balancer
	// stops sending requests.
	DrainDelay time.Duration
	// LogRetention is how long the platform's log keeps a record.
	LogRetention time.Duration
	// EventBufferSize is the number of events that the ring buffer holds.
	EventBufferSize int
	// MaxBodyBytes bounds a caller's request in bytes, 0 for the proxy's default.
	MaxBodyBytes int64
	// Silence and Hysteresis are passed to package member; 0 selects its
	// defaults.
	Silence    time.Duration
	Hysteresis time.Duration
	// Budget bounds what the clients of the listeners may take. If it is zero, Run sets
	// that of a machine whose limits are unknown.
	Budget budget.Limits
	// SkipDuplicateCheck sends unrepeatable requests without a claim. The demo
	// sets it to show that its observers detect duplicate runs.
	SkipDuplicateCheck bool

	system  *actor.ActorSystem
	control *actor.PID
	view    atomic.Pointer[view]
	metrics *instanceMetrics
	events  *event.Ring
	stamps  *stamp.Clock

	proxy  *proxy.Proxy
	gate   *gate.Gate
	router *route.Router
	pool   *pool.Pool
	claims *claims.Claimer
	quotas *quota.Gate
	// taskAppenders holds a *taskAppender per sched.DataCentre.
	taskAppenders sync.Map

	// work is the context of spawned goroutines. It ends when the instance has
	// drained, failed or been killed.
	spawnContext context.Context
	// calls waits for the spawned goroutines.
	spawned sync.WaitGroup

	killOnce sync.Once
	// killed is closed by Kill.
	killed chan struct{}
	// failed receives the first error that ends the instance.
	failure  chan error
	flush    chan struct{}
	initOnce sync.Once
}

// flushTimeout bounds the appends and heartbeats at the end of a drain, and the
// shutdown of each server.
const flushTimeout = 3 * time.Second

// Run serves until the context ends and then drains (section 5.6 of the design).
// It returns an error if a listener fails, if the control actor panics, or a
// *DrainError if requests were still running when the drain timeout ended. After
// Kill it returns nil without draining.
func (d *Daemon) Run(c context.Context) error {
	d.init()
	work, stop := context.WithCancel(context.WithoutCancel(c))
	defer stop()
	loops, work := errgroup.WithContext(work)
	d.spawnContext = work
	d.startControl()
	for _, l := range d.loops() {
		loops.Go(func() error { l(work); return nil })
	}
	servers := d.serve()
	d.recordChange(event.KindStarted, "", zap.String("callers", d.CallerListener.Addr().String()))
	var err error
	select {
	case <-c.Done():
		err = d.drain(servers)
	case err = <-d.failure:
	case <-d.killed:
	}
	stop()
	for _, s := range servers {
		_ = s.Close()
	}
	_ = loops.Wait()
	d.pool.Close()
	d.stopControl()
	d.spawned.Wait()
	return err
}

// Kill ends Run without a drain, like a crash of the process: it sends no
// announcement, flushes no record and lets no request finish.
func (d *Daemon) Kill() {
	d.init()
	d.killOnce.Do(func() { close(d.killed) })
}

// spawn runs f in a goroutine whose context ends when the instance stops. Run
// waits for it before it returns.
func (d *Daemon) spawn(f func(context.Context)) { d.spawned.Go(func() { f(d.spawnContext) }) }

func (d *Daemon) isKilled() bool {
	select {
	case <-d.killed:
		return true
	default:
		return false
	}
}

// serve starts the servers for callers, peers and admin requests.
func (d *Daemon) serve() []*http.Server {
	if d.Budget == (budget.Limits{}) {
		d.Budget = budget.Of(0, 0)
	}
	callers := d.newGuard("callers", d.Budget.Callers, budget.CallerReceiveBuffer)
	peers := d.newGuard("peers", d.Budget.Peers, budget.PeerReceiveBuffer)
	operators := d.newGuard("admin", d.Budget.Metrics, budget.CallerReceiveBuffer)
	parts := []struct {
		use      string
		listener net.Listener
		guard    *guard.Guard
		server   *http.Server
	}{
		{"callers", d.CallerListener, callers, newHTTPServer(callers, d.callerHandler(), 0)},
		{"peers", d.PeerListener, peers, newHTTPServer(peers, d.peerHandler(), adminTimeout)},
		{"admin", d.AdminListener, operators, newHTTPServer(operators, d.adminHandler(), adminTimeout)},
	}
	parts[1].server.Protocols = peer.Protocols()
	d.spawn(func(c context.Context) { guard.Run(c, callers, peers, operators) })
	var servers []*http.Server
	for _, p := range parts {
		servers = append(servers, p.server)
		go func() {
			err := p.server.Serve(p.guard.Listener(p.listener))
			if err != nil && err != http.ErrServerClosed && !d.isKilled() {
				d.fail(&AddressError{Purpose: p.use, Address: p.listener.Addr().String(), Err: err})
			}
		}()
	}
	return servers
}

// fail makes Run return the error. Errors after the first are dropped.
func (d *Daemon) fail(err error) {
	select {
	case d.failure <- err:
	default:
	}
}

// address returns the address at which peers reach this instance.
func (d *Daemon) address() string {
	if d.AdvertiseAddress != "" {
		return d.AdvertiseAddress
	}
	return d.PeerListener.Addr().String()
}

func (d *Daemon) self() sched.Member {
	return sched.Member{
		ID: d.ID, Incarnation: d.Incarnation, Role: sched.RoleEntry, State: sched.StateLive,
		Region: d.Region, DataCentre: d.DataCentre, Address: d.address(),
	}
}

// recordChange logs a change of state and adds it to the time line.
func (d *Daemon) recordChange(kind sched.EventKind, detail string, fields ...zap.Field) {
	d.events.Add(sched.Event{Kind: kind, Detail: detail})
	if detail != "" {
		fields = append(fields, zap.String("detail", detail))
	}
	d.Logger.Info(string(kind), fields...)
}
