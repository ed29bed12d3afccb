package demo

import (
	"context"
	"embed"
	"errors"
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

// Demo is one run. Exported fields are set before Run.
type Demo struct {
	Duration time.Duration
	Seed     uint64
	// UncheckedDuplicates takes the duplicate check out of the instances, so
	// that the run shows doubled requests and fails.
	UncheckedDuplicates bool
	// Progress and Logger receive what happens.
	Progress io.Writer
	Logger   *zap.Logger

	fleet *fleet.Fleet
	start time.Time
	http  *http.Client

	mu      sync.Mutex
	running map[sched.InstanceID]*instance
	wait    sync.WaitGroup
}

type instance struct {
	daemon *daemon.Daemon
	stop   context.CancelFunc
	done   chan error
}

// place is where an entry instance runs.
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
	setUpTime      = 15 * time.Second
	// settleTime bounds the wait for accepted tasks after the load has ended:
	// a term change takes up to two leases, a task about two seconds.
	settleTime = 20 * time.Second
)

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

// Run runs the demo and returns what was counted.
func (d *Demo) Run(c context.Context) (Summary, error) {
	d.http, d.running = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, map[sched.InstanceID]*instance{}
	d.start = time.Now()
	d.fleet = fleet.New(d.setup(), clock.System{})
	if err := d.fleet.Serve("127.0.0.1:0"); err != nil {
		return Summary{}, fmt.Errorf("start the stand-ins: %w", err)
	}
	defer func() { _ = d.fleet.Close() }()
	defer d.stopAll()
	if err := d.begin(c); err != nil {
		return Summary{}, err
	}
	l := &load.Load{
		HTTP: d.http, Seed: d.Seed, Service: "simdesk", Partner: "tunog", Team: "crossover",
		Kinds: []string{"sweep", "sweep", "roomModel"}, Callers: d.callers,
		Requests: 120, Unrepeatable: 20, Tasks: 12,
	}
	c, cancel := context.WithTimeout(c, d.Duration)
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() { l.Run(c) })
	work.Go(func() { d.chaos(c) })
	work.Go(func() { d.report(c, l) })
	work.Wait()
	d.say("load has ended, waiting for accepted tasks")
	d.settle(l)
	return d.summary(l), nil
}

// begin starts the instances and applies the sample configuration.
func (d *Demo) begin(c context.Context) error {
	c, cancel := context.WithTimeout(c, setUpTime)
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
	d.say("configuration version %d applied", version)
	for {
		ready := 0
		for _, i := range d.instances() {
			if d.isReady(c, i) {
				ready++
			}
		}
		if ready == len(places) {
			d.say("%d entry instances are ready", ready)
			return nil
		}
		if err := (clock.System{}).Sleep(c, 20*time.Millisecond); err != nil {
			return errors.New("the entry instances were not ready in time")
		}
	}
}

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
	outside := plat.New(d.fleet.BaseURL(p.centre))
	x := &daemon.Daemon{
		ID: p.id, Incarnation: n, Region: p.region, DataCentre: p.centre,
		Log: outside, List: outside, Workers: outside, PeerClient: &peer.Client{HTTP: d.http},
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

// callers are the addresses that a load balancer would offer.
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

func (d *Demo) stopAll() {
	for _, i := range d.instances() {
		i.stop()
	}
	d.wait.Wait()
	d.http.CloseIdleConnections()
}

// Parts of the duration at which something happens.
const (
	killAt    = 0.25
	replaceAt = 0.45
	outageAt  = 0.6
	backAt    = 0.75
)

// chaos kills and replaces an instance and takes the log away for a while.
func (d *Demo) chaos(c context.Context) {
	victim := places[d.Seed%2] // one of the data centre that has two
	for _, s := range []struct {
		at float64
		do func()
	}{
		{killAt, func() { d.kill(victim) }},
		{replaceAt, func() { d.replace(victim) }},
		{outageAt, func() { d.say("log away"); d.fleet.Log.SetFaults(logsvc.Faults{Outage: true}) }},
		{backAt, func() { d.say("log back"); d.fleet.Log.SetFaults(logsvc.Faults{}) }},
	} {
		pause := time.Until(d.start.Add(time.Duration(s.at * float64(d.Duration))))
		if (clock.System{}).Sleep(c, pause) != nil {
			break
		}
		s.do()
	}
	d.fleet.Log.SetFaults(logsvc.Faults{})
}

func (d *Demo) kill(p place) {
	d.say("killing %s", p.id)
	d.mu.Lock()
	i := d.running[p.id]
	delete(d.running, p.id)
	d.mu.Unlock()
	i.daemon.Kill()
	d.fleet.List.Remove(p.id)
}

func (d *Demo) replace(p place) {
	d.say("replacing %s", p.id)
	if err := d.startInstance(p, sched.Incarnation(len(places)+1)); err != nil {
		d.say("replacement failed: %v", err)
	}
}

func (d *Demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Progress, "%6.1f s  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}
