package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/parsleybarrow/parsleybarrow/review/platform"
)

const (
	addressesPerMachine = 5
	workerCPU           = 16000
	workerMemMB         = 64000
	// readyTimeout bounds the start of the fleet.
	readyTimeout = 35 * time.Second
)

// fleet is a small deployment: the store, workers and machines with one process each.
type fleet struct {
	record   *record
	store    *platform.Store
	workers  []*platform.Worker
	machines []*machine
	folder   string

	mu   sync.Mutex
	runs []platform.Run // that have ended
	// starts holds the starts of each task, and notes its runs that ended as done and were taken
	// note of.
	starts, notes map[string][]platform.Run
	work          func(task string) time.Duration
}

func newFleet(c context.Context, p playbook, r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, starts: map[string][]platform.Run{}, notes: map[string][]platform.Run{}, store: &platform.Store{
		Keep: time.Duration(p.keepS) * time.Second, AppendTime: time.Millisecond, AnswerTime: 4 * time.Millisecond,
	}}
	if err := f.start(c, p); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(c context.Context, p playbook) error {
	zones := []string{"quezon-a", "cebu-a", "pasig-b"}
	for k := range p.workers {
		w := &platform.Worker{
			ID: fmt.Sprintf("i-%08x", 0x7f3a91c2+k), Service: platform.Service, Zone: zones[k%len(zones)],
			Rack: fmt.Sprintf("r%d-1", k%len(zones)+1), Store: f.store, CPU: workerCPU, MemMB: workerMemMB,
			Work: f.workOf, OnStart: f.started, OnEnd: f.ended, OnNote: f.noted,
		}
		if k == 0 {
			w.FirstReport, w.Kind = p.firstReport, p.kind
		}
		if err := w.Start(c); err != nil {
			return err
		}
		f.workers = append(f.workers, w)
	}
	for k, at := range p.machines {
		m, err := f.newMachine(fmt.Sprintf("edge-%s-%d", at.zone, k+1), at, p.keepS)
		if err != nil {
			return err
		}
		f.machines = append(f.machines, m)
	}
	var seeds []string
	for _, m := range f.machines {
		seeds = append(seeds, m.settings.Control)
	}
	for _, m := range f.machines {
		m.settings.Seeds = seeds
		if err := m.writeSettings(); err != nil {
			return err
		}
		m.keepRunning(c)
		go m.checkReadiness(c)
	}
	f.store.Put("keyed.op", "config", platform.Config(1))
	return f.awaitReady(c)
}

// newMachine returns a machine with its own path to the store.
func (f *fleet) newMachine(name string, at place, keepS int) (*machine, error) {
	a, err := platform.FreeAddresses(addressesPerMachine)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", a[3])
	if err != nil {
		return nil, err
	}
	go func() {
		s := &http.Server{Handler: f.store.Handler(name, at.storeDelay), ReadHeaderTimeout: time.Minute}
		_ = s.Serve(l)
	}()
	_, port, _ := net.SplitHostPort(a[4])
	first, err := strconv.Atoi(port)
	if err != nil {
		return nil, err
	}
	return &machine{
		record: f.record, path: filepath.Join(f.folder, name+".toml"), log: filepath.Join(f.folder, name+".log"),
		settings: platform.Machine{
			Name: name, Zone: at.zone, Region: at.region, Front: a[0], Ready: a[1], Control: a[2], StoreAddress: a[3],
			PortFirst: first, KeepS: keepS,
		},
	}, nil
}

// awaitReady waits until all machines say that they are ready, and a planner has begun.
func (f *fleet) awaitReady(c context.Context) error {
	c, cancel := context.WithTimeout(c, readyTimeout)
	defer cancel()
	for c.Err() == nil {
		n := 0
		for _, m := range f.machines {
			if m.ready() {
				n++
			}
		}
		if n == len(f.machines) && f.store.LastWriter() != "" {
			if a := newClient(f, f.machines[0]).send(c, http.MethodGet, "", ""); a.status == http.StatusOK {
				f.record.logf("all machines are ready")
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the fleet didn't get ready")
}

// planner returns the machine that was the last to write to the store under a condition.
func (f *fleet) planner() *machine {
	name := f.store.LastWriter()
	for _, m := range f.machines {
		if m.settings.Name == name {
			return m
		}
	}
	return nil
}

// inRotation returns the machine that gets a client's new channel: that of its own if it
// is in rotation, else the next one that is.
func (f *fleet) inRotation(own *machine) *machine {
	k := slices.Index(f.machines, own)
	for n := range f.machines {
		if m := f.machines[(k+n)%len(f.machines)]; m.misses.Load() < missesOut {
			return m
		}
	}
	return own
}

func (f *fleet) workOf(task string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.work(task)
}

// setWork sets how long tasks take.
func (f *fleet) setWork(work func(task string) time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.work = work
}

func (f *fleet) started(r platform.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts[r.Task] = append(f.starts[r.Task], r)
	f.record.logf("run: %s run %d begins on %s (life %d, kind %s)", r.Task, r.Number, r.Worker, r.Born, r.Kind)
}

func (f *fleet) noted(r platform.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.How == "done" {
		f.notes[r.Task] = append(f.notes[r.Task], r)
	}
	f.record.logf("run: end of %s run %d on %s is taken note of", r.Task, r.Number, r.Worker)
}

func (f *fleet) ended(r platform.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, r)
	f.record.logf("run: %v", r)
}

// closeOnSignal ends all processes when the play is interrupted.
func (f *fleet) closeOnSignal() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	<-interrupted
	f.close()
	os.Exit(exitNotRun)
}

// close ends all processes.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.end()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		f.record.logf("logs are in %s", f.folder)
	}
}
