package fleet

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/standin/bkend"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/logsvc"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/roster"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/worker"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Fleet is a simulated platform. The list shows all workers from the start, backend
// servers once they listen, and entry instances once the test adds them.
type Fleet struct {
	Setup Setup
	Log   *logsvc.Service
	List  *roster.Service
	Pool  *worker.Pool
	// BackendObserver is the observer of all backend servers.
	BackendObserver *bkend.Observer
	Servers         []*bkend.Server

	clock   sched.Clock
	areas   map[sched.DataCentre]*DataCentreView
	members map[sched.InstanceID]sched.Member // of backend servers

	mu          sync.Mutex
	baseURLs    map[sched.DataCentre]string
	admin       string
	closers     []func() error
	stopLoad    context.CancelFunc
	loadUpdater sync.WaitGroup
}

// Counts holds the totals of the log and of the observers.
type Counts struct {
	Log     logsvc.Counts `json:"log"`
	Workers worker.Counts `json:"workers"`
	Backend bkend.Counts  `json:"backend"`
}

// New returns a platform in memory. Nothing listens before Serve.
func New(s Setup, clock sched.Clock) *Fleet {
	f := &Fleet{
		Setup: s, clock: clock,
		Log:  logsvc.New(clock, s.Seed, s.Retention),
		List: roster.New(clock, s.ListLag),
		Pool: worker.NewPool(worker.Config{
			Clock: clock, Seed: s.Seed, CheckTokens: s.CheckTokens, ReportLag: s.ReportLag,
			Truth: worker.TruthOf(s.Seed, s.Kinds), Impacts: s.Impacts, LatencyNoise: s.Noise,
		}),
		BackendObserver: bkend.NewObserver(),
		areas:           map[sched.DataCentre]*DataCentreView{},
		members:         map[sched.InstanceID]sched.Member{},
		baseURLs:        map[sched.DataCentre]string{},
	}
	for _, a := range s.Areas {
		f.areas[a.DataCentre] = &DataCentreView{Log: f.Log, List: f.List, Workers: f.Pool, OneWayDelay: a.StoreDelay, Clock: clock}
		for n := range a.Workers {
			f.addWorker(a, n)
		}
	}
	return f
}

func (f *Fleet) addWorker(a Area, n int) {
	s := f.Setup
	w := f.Pool.Add(sched.Member{
		ID:   sched.InstanceID(fmt.Sprintf("%s-worker-%02d", a.DataCentre, n+1)),
		Role: sched.RoleWorker, State: sched.StateLive, Incarnation: 1,
		Region: a.Region, DataCentre: a.DataCentre,
		Rack:     fmt.Sprintf("%s-rack-%d", a.DataCentre, n/s.RackSize+1),
		Capacity: s.Capacity,
	})
	m := w.Member()
	f.List.PutNow(m)
	w.SetLoads([]worker.Load{{Service: s.Service, BaselineP99: s.aloneP99()}})
	id := sched.InstanceID(fmt.Sprintf("%s-%s-%02d", a.DataCentre, s.Service, n+1))
	b := bkend.New(id, s.Service, f.clock, f.BackendObserver, s.Seed+uint64(len(f.Servers)))
	b.Slots, b.Connections = s.Slots, s.Connections
	b.MedianServiceTime, b.ServiceTimeSigma, b.AnswerBytes = s.ServiceTime, s.ServiceSigma, s.AnswerBytes
	b.Slowdown = func() float64 { return w.Slowdown(s.Service) }
	f.Servers = append(f.Servers, b)
	f.members[id] = sched.Member{
		ID: id, Role: sched.RoleBackend, State: sched.StateLive, Incarnation: 1,
		Region: a.Region, DataCentre: a.DataCentre, Rack: m.Rack, Host: m.ID,
		Service: s.Service, Slots: s.Slots, Connections: s.Connections,
	}
}

// aloneP99 is the 99th percentile of the service time without interference.
func (s Setup) aloneP99() time.Duration {
	const z99 = 2.326 // of the standard normal distribution
	return time.Duration(float64(s.ServiceTime) * math.Exp(z99*s.ServiceSigma))
}

// Area returns the platform as a data centre sees it.
func (f *Fleet) Area(d sched.DataCentre) *DataCentreView { return f.areas[d] }

// BaseURL returns the URL of the platform for a data centre, once it is served.
func (f *Fleet) BaseURL(d sched.DataCentre) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.baseURLs[d]
}

// AdminAddress returns host:port of the admin endpoint, once it is served.
func (f *Fleet) AdminAddress() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.admin
}

// Counts returns what the observers counted so far.
func (f *Fleet) Counts() Counts {
	return Counts{Log: f.Log.Counts(), Workers: f.Pool.Observer().Counts(), Backend: f.BackendObserver.Counts()}
}

// Serve starts the platform and the backend servers on free loopback ports and
// the admin endpoint at the given address, "127.0.0.1:0" for a free port. It
// returns once all listen. Close ends them.
func (f *Fleet) Serve(admin string) error {
	for _, a := range f.Setup.Areas {
		address, err := f.listen("127.0.0.1:0", f.areas[a.DataCentre].Handler())
		if err != nil {
			return errors.Join(err, f.Close())
		}
		f.mu.Lock()
		f.baseURLs[a.DataCentre] = "http://" + address
		f.mu.Unlock()
		for _, w := range f.Pool.Workers() {
			if m := w.Member(); m.DataCentre == a.DataCentre {
				m.Address = address
				f.List.PutNow(m)
			}
		}
	}
	for _, b := range f.Servers {
		if err := f.StartServer(b); err != nil {
			return errors.Join(err, f.Close())
		}
	}
	address, err := f.listen(admin, f.adminHandler())
	if err != nil {
		return errors.Join(err, f.Close())
	}
	c, stop := context.WithCancel(context.Background())
	f.mu.Lock()
	f.admin, f.stopLoad = address, stop
	f.mu.Unlock()
	f.loadUpdater.Go(func() { f.updateLoads(c) })
	return nil
}

// StartServer starts a backend server on a free port and lists it at once.
func (f *Fleet) StartServer(b *bkend.Server) error {
	if err := b.Start("127.0.0.1:0"); err != nil {
		return err
	}
	f.mu.Lock()
	m := f.members[b.ID]
	m.Address = b.Address()
	f.members[b.ID] = m
	f.mu.Unlock()
	f.List.PutNow(m)
	return nil
}

// DrainServer tells a backend server to leave and lists it as leaving, after
// the list's lag.
func (f *Fleet) DrainServer(b *bkend.Server) {
	b.SetLeaving(true)
	f.mu.Lock()
	m := f.members[b.ID]
	f.mu.Unlock()
	f.List.Put(m.WithState(sched.StateLeaving))
}

// Server returns the backend server of the given name, or nil.
func (f *Fleet) Server(id sched.InstanceID) *bkend.Server {
	for _, b := range f.Servers {
		if b.ID == id {
			return b
		}
	}
	return nil
}

// Close ends everything that Serve started.
func (f *Fleet) Close() error {
	f.mu.Lock()
	closers, stop := f.closers, f.stopLoad
	f.closers, f.stopLoad = nil, nil
	f.mu.Unlock()
	if stop != nil {
		stop()
		f.loadUpdater.Wait()
	}
	var errs []error
	for _, b := range f.Servers {
		errs = append(errs, b.Stop())
	}
	for _, c := range closers {
		errs = append(errs, c())
	}
	return errors.Join(errs...)
}

func (f *Fleet) listen(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("stand-in platform: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.mu.Lock()
	f.closers = append(f.closers, server.Close)
	f.mu.Unlock()
	// Serve always returns an error; after Close it is ErrServerClosed.
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// loadUpdateInterval is the time between two updates of the services' load on their
// workers; reports show it with a longer lag anyway.
const loadUpdateInterval = 250 * time.Millisecond

// updateLoads sets the load of each worker's service to the share of busy slots of
// its backend server, until the context ends.
func (f *Fleet) updateLoads(c context.Context) {
	for f.clock.Sleep(c, loadUpdateInterval) == nil {
		for _, b := range f.Servers {
			load := float64(b.Busy()) / float64(b.Slots)
			w := f.Pool.Worker(f.members[b.ID].Host)
			w.SetLoads([]worker.Load{{Service: f.Setup.Service, Load: load, BaselineP99: f.Setup.aloneP99()}})
		}
	}
}
