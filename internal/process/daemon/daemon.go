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
	"github.com/parsleybarrow/parsleybarrow/internal/process/peer"
	"github.com/parsleybarrow/parsleybarrow/internal/request/proxy"
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

	// Callers, Peers and Admin are closed by Run.
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
	// Advertise is the address that peers reach this instance at, that of the
	// Peers listener if empty.
	Advertise string

	Log      sched.Log
	List     sched.Roster
	Workers  sched.Workers
	PeerCall sched.Peers
	Clock    sched.Clock
	Logger   *zap.Logger
	Seed     uint64
	// Shards is the number of intent streams, the same at all instances.
	Shards int
	// DrainDelay is the time between the announcement that the instance leaves
	// and the end of taking requests. It covers the lag of the load balancer.
	DrainDelay time.Duration
	// LogRetention is how long the platform's log keeps a record.
	LogRetention time.Duration
	// EventsKept bounds the ring buffer of events.
	EventsKept int
	// MaxBody bounds a caller's request in bytes, 0 for the proxy's default.
	MaxBody int64
	// Silence and Hysteresis are those of package member, 0 for its defaults.
	Silence    time.Duration
	Hysteresis time.Duration
	// UncheckedDuplicates sends unrepeatable requests without a claim. It
	// exists to show that the observers of the demo see doubled runs.
	UncheckedDuplicates bool

	system  *actor.ActorSystem
	control *actor.PID
	view    atomic.Pointer[view]
	meters  *meters
	events  *event.Ring
	stamps  *stamp.Clock

	proxy  *proxy.Proxy
	gate   *gate.Gate
	router *route.Router
	pool   *pool.Pool
	claims *claims.Keeper
	quotas *quota.Gate
	// scribes holds a *scribe per data centre.
	scribes sync.Map

	// work ends the calls that the planner asked for.
	work  context.Context
	calls sync.WaitGroup

	killOnce sync.Once
	killed   chan struct{}
	failed   chan error
	flush    chan struct{}
	initOnce sync.Once
}

// flushTime bounds the appends at the end of a shutdown.
const flushTime = 3 * time.Second

// Run serves until the context ends and then drains, as design 5.6 says. It
// returns an error if a listener fails, if the control actor fails, or if
// requests were cut when the drain timeout ended. After Kill it returns nil at
// once.
func (d *Daemon) Run(c context.Context) error {
	d.init()
	work, stop := context.WithCancel(context.WithoutCancel(c))
	defer stop()
	loops, work := errgroup.WithContext(work)
	d.work = work
	d.startControl()
	for _, l := range d.loops() {
		loops.Go(func() error { l(work); return nil })
	}
	servers := d.serve()
	d.change(event.KindStarted, "", zap.String("callers", d.Callers.Addr().String()))
	var err error
	select {
	case <-c.Done():
		err = d.drain(servers)
	case err = <-d.failed:
	case <-d.killed:
	}
	stop()
	for _, s := range servers {
		_ = s.Close()
	}
	_ = loops.Wait()
	d.pool.Close()
	d.stopControl()
	d.calls.Wait()
	return err
}

// Kill ends Run at once, as the death of the process would: nothing is
// announced, flushed or finished.
func (d *Daemon) Kill() {
	d.init()
	d.killOnce.Do(func() { close(d.killed) })
}

// spawn runs f beside the control actor until the instance stops.
func (d *Daemon) spawn(f func(context.Context)) { d.calls.Go(func() { f(d.work) }) }

func (d *Daemon) isKilled() bool {
	select {
	case <-d.killed:
		return true
	default:
		return false
	}
}

// serve starts the three servers.
func (d *Daemon) serve() []*http.Server {
	parts := []struct {
		use      string
		listener net.Listener
		server   *http.Server
	}{
		{"callers", d.Callers, httpServer(d.callerHandler(), 0)},
		{"peers", d.Peers, httpServer(d.peerHandler(), adminTime)},
		{"admin", d.Admin, httpServer(d.adminHandler(), adminTime)},
	}
	parts[1].server.Protocols = peer.Protocols()
	var servers []*http.Server
	for _, p := range parts {
		servers = append(servers, p.server)
		go func() {
			err := p.server.Serve(p.listener)
			if err != nil && err != http.ErrServerClosed && !d.isKilled() {
				d.fail(&AddressError{Use: p.use, Address: p.listener.Addr().String(), Err: err})
			}
		}()
	}
	return servers
}

func (d *Daemon) fail(err error) {
	select {
	case d.failed <- err:
	default:
	}
}

// address is the one that peers use.
func (d *Daemon) address() string {
	if d.Advertise != "" {
		return d.Advertise
	}
	return d.Peers.Addr().String()
}

func (d *Daemon) self() sched.Member {
	return sched.Member{
		ID: d.ID, Incarnation: d.Incarnation, Role: sched.RoleEntry, State: sched.StateLive,
		Region: d.Region, DataCentre: d.DataCentre, Address: d.address(),
	}
}

// change logs a change of state and adds it to the time line.
func (d *Daemon) change(kind sched.EventKind, detail string, fields ...zap.Field) {
	d.events.Add(sched.Event{Kind: kind, Detail: detail})
	if detail != "" {
		fields = append(fields, zap.String("detail", detail))
	}
	d.Logger.Info(string(kind), fields...)
}
