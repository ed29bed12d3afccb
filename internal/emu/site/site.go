package site

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/world"
	"github.com/parsleybarrow/parsleybarrow/internal/process/entry"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/internal/process/relay"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Site is a group of instances on one emulated platform. Exported fields are set
// before Begin. Its other methods are safe for concurrent use.
type Site struct {
	World   *world.World
	Options cell.Options
	Log     *zap.Logger
	// WorkersPerCell is the number of workers that the instances put in a cell.
	WorkersPerCell int
	// AgentsFrom is the number of workers of a cell from which on other instances
	// carry out its planner's orders.
	AgentsFrom int
	// Spend emulates the processor time of the planners, see lead.Leader. It may be nil.
	Spend func(before, after cell.Stats)
	// Adjust changes the record of an instance before it starts, WrapStore the store that
	// it uses. Both may be nil.
	Adjust    func(*peers.Instance)
	WrapStore func(sched.InstanceID, sched.Store) sched.Store
	// Delay is the one-way delay between two instances, and to the platform.
	Delay time.Duration

	mu        sync.Mutex
	processes map[sched.InstanceID]*process
	// started counts the processes started, for their incarnation numbers.
	started int64
	// cuts holds the pairs of sender and receiver between which messages are lost.
	cuts  map[[2]sched.InstanceID]bool
	loops sync.WaitGroup
}

// process is one process of an instance, from its start to its end.
type process struct {
	id    sched.InstanceID
	entry *entry.Entry
	stop  context.CancelFunc
	done  chan struct{}
	// dead is set once the process was killed or its Run has returned.
	dead bool
}

// ErrRefused reports that the called instance isn't running.
var ErrRefused = errors.New("connection refused")

// Begin prepares the site. It starts no instance.
func (s *Site) Begin() {
	s.processes, s.cuts = map[sched.InstanceID]*process{}, map[[2]sched.InstanceID]bool{}
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
}

func address(id sched.InstanceID) string { return string(id) + ":1" }

// Start starts a new process of an instance, after killing one that still runs.
func (s *Site) Start(id sched.InstanceID) {
	s.Kill(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	side := s.World.NewClient(id, world.Path{Delay: s.Delay}, world.Path{Delay: s.Delay})
	p := &process{id: id, done: make(chan struct{})}
	e := &entry.Entry{
		Self: peers.Instance{
			ID: id, Incarnation: sched.Incarnation(s.started), Address: address(id), DataCentre: "dc", Region: "region",
			Processors: 400,
		},
		PeerClient: &http.Client{Transport: &peerTransport{s, p}},
		Store:      side, Registry: side, Runner: side, Advisor: side, Clock: s.World.Clock,
		Log: s.Log.With(zap.String("instance", string(id))), WorkersPerCell: s.WorkersPerCell,
		AgentsFrom: s.AgentsFrom, Spend: s.Spend,
	}
	if s.Adjust != nil {
		s.Adjust(&e.Self)
	}
	if s.WrapStore != nil {
		e.Store = s.WrapStore(id, side)
	}
	e.Reload(s.Options, 3*time.Second)
	p.entry = e
	c, stop := context.WithCancel(context.Background())
	p.stop = stop
	s.processes[id] = p
	s.loops.Go(func() {
		defer close(p.done)
		if err := e.Run(c); err != nil {
			s.Log.Error("instanceEnded", zap.Error(err))
		}
		s.mu.Lock()
		p.dead = true
		s.mu.Unlock()
	})
}

// Kill ends an instance's process abruptly: from then on its calls to the platform
// and to other instances are lost.
func (s *Site) Kill(id sched.InstanceID) {
	s.mu.Lock()
	p := s.processes[id]
	if p != nil {
		p.dead = true
		s.World.Kill(id)
		p.stop()
	}
	s.mu.Unlock()
}

// Stop asks an instance to stop in an orderly way, and doesn't wait for that.
func (s *Site) Stop(id sched.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.processes[id]; p != nil {
		p.stop()
	}
}

// End stops all instances and waits for them.
func (s *Site) End() {
	s.mu.Lock()
	for _, p := range s.processes {
		p.stop()
	}
	s.mu.Unlock()
	s.loops.Wait()
}

// Explain asks an instance for the explanation of a job, as another instance would.
func (s *Site) Explain(c context.Context, id sched.InstanceID, q relay.Question) (relay.Answer, error) {
	s.mu.Lock()
	p := s.processes[id]
	s.mu.Unlock()
	client := relay.Client{HTTP: &http.Client{Transport: &peerTransport{s, p}}}
	return client.Explain(c, address(id), q)
}

// Cut makes messages from one instance to another get lost, or arrive again if cut
// is false: calls in this direction, and answers to calls in the other one.
func (s *Site) Cut(from, to sched.InstanceID, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts[[2]sched.InstanceID{from, to}] = cut
}

// Desk returns the interface of an instance for callers, or nil if it isn't running.
func (s *Site) Desk(id sched.InstanceID) sched.JobService {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.processes[id]; p != nil && !p.dead && p.entry.Serving() {
		return p.entry
	}
	return nil
}

// Planner returns the instance that plans the cell. The result is empty if there is
// none, or more than one.
func (s *Site) Planner(cell int) sched.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var planner sched.InstanceID
	for id, p := range s.processes {
		if p.dead || !p.entry.Serving() || !p.entry.Plans(cell) {
			continue
		}
		if planner != "" {
			return ""
		}
		planner = id
	}
	return planner
}

// peerTransport carries the calls of one process to the other instances.
type peerTransport struct {
	site *Site
	from *process
}

// RoundTrip implements http.RoundTripper. Lost calls and answers end with the
// request's context.
func (w *peerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := w.delay(r.Context()); err != nil {
		return nil, err
	}
	to, err := w.receiver(r)
	if err != nil {
		return nil, err
	}
	if thaw := w.site.World.Frozen(to.id); thaw != nil {
		select {
		case <-thaw:
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	if r.ContentLength < 0 {
		return w.openStream(r, to), nil
	}
	answer := httptest.NewRecorder()
	to.entry.PeerHandler().ServeHTTP(answer, r)
	if err := w.delay(r.Context()); err != nil {
		return nil, err
	}
	if w.answerLost(to) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return answer.Result(), nil
}

// delay waits while the calling instance is frozen, and then for the one-way delay.
func (w *peerTransport) delay(c context.Context) error {
	if thaw := w.site.World.Frozen(w.from.id); thaw != nil {
		select {
		case <-thaw:
		case <-c.Done():
			return c.Err()
		}
	}
	return w.site.World.Clock.Sleep(c, w.site.Delay)
}

// receiver returns the process at the address of a call. It returns an error if the
// call is lost or the instance isn't running.
func (w *peerTransport) receiver(r *http.Request) (*process, error) {
	s := w.site
	s.mu.Lock()
	var to *process
	for _, p := range s.processes {
		if address(p.id) == r.URL.Host {
			to = p
		}
	}
	dead, cut := w.from.dead, to != nil && s.cuts[[2]sched.InstanceID{w.from.id, to.id}]
	gone := to == nil || to.dead || !to.entry.Serving()
	s.mu.Unlock()
	switch {
	case dead || cut:
		<-r.Context().Done()
		return nil, r.Context().Err()
	case gone:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("%s: %w", r.URL.Host, ErrRefused)}
	}
	return to, nil
}

// answerLost reports whether the answer of a process is lost.
func (w *peerTransport) answerLost(to *process) bool {
	s := w.site
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.from.dead || to.dead || s.cuts[[2]sched.InstanceID{to.id, w.from.id}]
}
