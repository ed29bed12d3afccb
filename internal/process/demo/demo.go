package demo

import (
	"context"
	"embed"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/process/apply"
	"github.com/parsleybarrow/parsleybarrow/internal/process/daemon"
	"github.com/parsleybarrow/parsleybarrow/internal/process/load"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peer"
	"github.com/parsleybarrow/parsleybarrow/internal/process/plat"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/fleet"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/logsvc"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/worker"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

//go:embed config/*.yaml
var sample embed.FS

// Demo is one run of the demo. Set the exported fields before Run.
type Demo struct {
	// Duration is the time for which load is driven.
	Duration time.Duration
	// Seed determines the load, the stand-ins and which instance is killed.
	Seed uint64
	// UncheckedDuplicates disables the duplicate check of the instances, so
	// that requests are doubled and the observers report it.
	UncheckedDuplicates bool
	// Progress receives lines about the progress of the demo.
	Progress io.Writer
	// Logger receives the log lines of the instances.
	Logger *zap.Logger

	fleet *fleet.Fleet
	start time.Time
	http  *http.Client

	mu      sync.Mutex
	running map[sched.InstanceID]*instance
	wait    sync.WaitGroup
}

// instance is a running entry instance.
type instance struct {
	daemon *daemon.Daemon
	stop   context.CancelFunc
	// done receives the result of the daemon's Run.
	done chan error
}

// place is the id and the location of an entry instance.
type place struct {
	id     sched.InstanceID
	region sched.Region
	centre sched.DataCentre
}

var places = []place{
	{"entry-1", "luzon", "quezon-a"},
	{"entry-2", "luzon", "quezon-a"},
	{"entry-3", "visayas", "cebu-a"},
}

const (
	workersPerArea = 4
	setupTimeout   = 15 * time.Second
	// settleTimeout bounds the wait for accepted tasks after the load has ended:
	// a term change takes up to two leases, a task about two seconds.
	settleTimeout = 20 * time.Second
)

// setup returns the stand-ins of two data centres, with short run times and
// short delays of reports and of the list.
func (d *Demo) setup() fleet.Setup {
	s := fleet.Tunog().WithSeed(d.Seed)
	s.Areas = []fleet.Area{
		{DataCentre: "quezon-a", Region: "luzon", Workers: workersPerArea},
		{DataCentre: "cebu-a", Region: "visayas", Workers: workersPerArea},
	}
	s.RackSize = 2
	s.ReportLag = time.Second
	s.ListLag = time.Second
	s.Kinds = []worker.RunTimeModel{
		{Kind: "sweep", Median: 200 * time.Millisecond, Sigma: 0.3},
		{Kind: "roomModel", Median: 2 * time.Second, Sigma: 0.3},
	}
	return s
}

// Run runs the demo and returns what was counted. It returns an error if the
// stand-ins or the instances don't start or the configuration isn't applied.
func (d *Demo) Run(c context.Context) (Summary, error) {
	d.http, d.running = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, map[sched.InstanceID]*instance{}
	d.start = time.Now()
	d.fleet = fleet.New(d.setup(), clock.System{})
	if err := d.fleet.Serve("127.0.0.1:0"); err != nil {
		return Summary{}, fmt.Errorf("start the stand-ins: %w", err)
	}
	defer func() { _ = d.fleet.Close() }()
	defer d.stopAll()
	if err := d.startAll(c); err != nil {
		return Summary{}, err
	}
	l := &load.Generator{
		HTTP: d.http, Seed: d.Seed, Service: "simdesk", Partner: "tunog", Team: "crossover",
		TaskKinds: []string{"sweep", "sweep", "roomModel"}, CallerAddresses: d.callers,
		RequestRate: 120, UnrepeatableRate: 20, TaskRate: 12,
	}
	c, cancel := context.WithTimeout(c, d.Duration)
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() { l.Run(c) })
	work.Go(func() { d.injectFaults(c) })
	work.Go(func() { d.report(c, l) })
	work.Wait()
	d.progressf("load has ended, waiting for accepted tasks")
	d.settle(l)
	return d.summary(l), nil
}

// startAll starts the instances, applies the sample configuration and waits
// until all instances are ready.
func (d *Demo) startAll(c context.Context) error {
	c, cancel := context.WithTimeout(c, setupTimeout)
	defer cancel()
	for n, p := range places {
		if err := d.startInstance(p, sched.Incarnation(n+1)); err != nil {
			return err
		}
	}
	version, err := d.apply(c)
	if err != nil {
		return err
	}
	d.progressf("configuration version %d applied", version)
	for {
		ready := 0
		for _, i := range d.instances() {
			if d.isReady(c, i) {
				ready++
			}
		}
		if ready == len(places) {
			d.progressf("%d entry instances are ready", ready)
			return nil
		}
		if err := (clock.System{}).Sleep(c, 20*time.Millisecond); err != nil {
			return fmt.Errorf("only %d of %d entry instances were ready in time", ready, len(places))
		}
	}
}

// apply applies the sample configuration and returns its version.
func (d *Demo) apply(c context.Context) (sched.Offset, error) {
	folder, err := fs.Sub(sample, "config")
	if err != nil {
		return 0, err
	}
	files, err := config.ReadFolder(folder)
	if err != nil {
		return 0, err
	}
	doc, err := config.Load(files)
	if err != nil {
		return 0, err
	}
	a := apply.Change{
		Log: plat.New(d.fleet.BaseURL("quezon-a")), Clock: clock.System{}, ID: uuid.NewString(), Operator: "demo",
		Base: -1, Target: doc,
	}
	r := a.Run(c)
	if r.Outcome != apply.Accepted {
		return 0, fmt.Errorf("apply the sample configuration: %v: %w", r.Outcome, r.Reason)
	}
	return r.Version, nil
}

// startInstance runs an entry instance and puts it on the platform's list.
func (d *Demo) startInstance(p place, n sched.Incarnation) error {
	services := plat.New(d.fleet.BaseURL(p.centre))
	x := &daemon.Daemon{
		ID: p.id, Incarnation: n, Region: p.region, DataCentre: p.centre,
		Log: services, List: services, Workers: services, PeerClient: &peer.Client{HTTP: d.http},
		Clock: clock.System{}, Logger: d.Logger.With(zap.String("instance", string(p.id))),
		Seed: d.Seed, Shards: 2, DrainDelay: 100 * time.Millisecond, LogRetention: time.Hour, EventBufferSize: 5000,
		SkipDuplicateCheck: d.UncheckedDuplicates,
	}
	var err error
	for _, l := range []struct {
		use string
		set func() error
	}{
		{"callers", func() error { x.CallerListener, err = daemon.Listen("callers", "127.0.0.1:0"); return err }},
		{"peers", func() error { x.PeerListener, err = daemon.Listen("peers", "127.0.0.1:0"); return err }},
		{"admin", func() error { x.AdminListener, err = daemon.Listen("admin", "127.0.0.1:0"); return err }},
	} {
		if err := l.set(); err != nil {
			return err
		}
	}
	c, stop := context.WithCancel(context.Background())
	i := &instance{daemon: x, stop: stop, done: make(chan error, 1)}
	d.wait.Go(func() { i.done <- x.Run(c) })
	d.mu.Lock()
	d.running[p.id] = i
	d.mu.Unlock()
	d.fleet.List.Put(sched.Member{
		ID: p.id, Incarnation: n, Role: sched.RoleEntry, State: sched.StateLive, Region: p.region, DataCentre: p.centre,
		Address: x.PeerListener.Addr().String(),
	})
	return nil
}

// instances returns the running instances in the order of places.
func (d *Demo) instances() []*instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*instance
	for _, p := range places {
		if i := d.running[p.id]; i != nil {
			out = append(out, i)
		}
	}
	return out
}

// callers returns the addresses for callers of the running instances, to which a
// load balancer would send requests.
func (d *Demo) callers() []string {
	var out []string
	for _, i := range d.instances() {
		out = append(out, i.daemon.CallerListener.Addr().String())
	}
	return out
}

func (d *Demo) isReady(c context.Context, i *instance) bool {
	r, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+i.daemon.AdminListener.Addr().String()+"/readyz", nil)
	if err != nil {
		return false
	}
	a, err := d.http.Do(r)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// stopAll stops the running instances and waits until all have ended, the killed
// one included.
func (d *Demo) stopAll() {
	for _, i := range d.instances() {
		i.stop()
	}
	d.wait.Wait()
	d.http.CloseIdleConnections()
}

// Times of the faults, as fractions of the duration.
const (
	killAt        = 0.25
	replaceAt     = 0.45
	outageStartAt = 0.6
	outageEndAt   = 0.75
)

// injectFaults kills and replaces an instance and causes an outage of the log.
// The log works again when it returns.
func (d *Demo) injectFaults(c context.Context) {
	target := places[d.Seed%2] // one of the two instances in quezon-a
	for _, s := range []struct {
		at float64
		do func()
	}{
		{killAt, func() { d.kill(target) }},
		{replaceAt, func() { d.replace(target) }},
		{outageStartAt, func() { d.progressf("log outage begins"); d.fleet.Log.SetFaults(logsvc.Faults{Outage: true}) }},
		{outageEndAt, func() { d.progressf("log outage ends"); d.fleet.Log.SetFaults(logsvc.Faults{}) }},
	} {
		pause := time.Until(d.start.Add(time.Duration(s.at * float64(d.Duration))))
		if (clock.System{}).Sleep(c, pause) != nil {
			break
		}
		s.do()
	}
	d.fleet.Log.SetFaults(logsvc.Faults{})
}

// kill ends an instance without a drain and removes it from the list.
func (d *Demo) kill(p place) {
	d.progressf("killing %s", p.id)
	d.mu.Lock()
	i := d.running[p.id]
	delete(d.running, p.id)
	d.mu.Unlock()
	i.daemon.Kill()
	d.fleet.List.Remove(p.id)
}

// replace starts an instance with the id of the killed one and a higher
// incarnation.
func (d *Demo) replace(p place) {
	d.progressf("replacing %s", p.id)
	if err := d.startInstance(p, sched.Incarnation(len(places)+1)); err != nil {
		d.progressf("replacement of %s failed: %v", p.id, err)
	}
}

// progressf writes a line with the time since the start.
func (d *Demo) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Progress, "%6.1f s  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}
