package world

import (
	"context"
	"fmt"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/work"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Mode is how the store or the workers treat the calls of an instance.
type Mode int

// Modes of a path.
const (
	// Up carries calls out.
	Up Mode = iota
	// Silent loses calls before they arrive; they end with their context.
	Silent
	// Busy refuses calls with sched.ErrUnavailable.
	Busy
	// Held delays calls until the mode changes.
	Held
)

// heldPollInterval is the interval at which held calls check the mode.
const heldPollInterval = 5 * time.Millisecond

// Path describes how the calls of one instance to the store or to the workers
// behave.
type Path struct {
	Mode Mode
	// Delay is the one-way delay.
	Delay time.Duration
	// Lost is the probability that a call is carried out but its answer is lost.
	// Late is the probability that a call is carried out only later and its
	// answer is lost. Both apply to appends and orders, not to reads.
	Lost, Late float64
}

// Client is the platform as seen by one process of an instance. It implements
// sched.Store, sched.Runner and sched.Registry.
type Client struct {
	world *World
	id    sched.InstanceID
	store Path
	work  Path
	// unreachable holds the addresses of the workers that this instance can't reach.
	unreachable map[string]bool
	dead        bool
	// thawed is closed by Thaw, nil if the instance isn't frozen.
	thawed chan struct{}
}

var (
	_ sched.Store       = (*Client)(nil)
	_ sched.OrderClient = (*Client)(nil)
	_ sched.Registry    = (*Client)(nil)
)

// A call that is carried out late is delayed by a time between these bounds.
const (
	minLateDelay = 2 * time.Second
	maxLateDelay = 12 * time.Second
)

// NewClient returns the platform as seen by a new process of an instance. An earlier
// process of the instance is marked as ended, as by Kill.
func (w *World) NewClient(id sched.InstanceID, store, work Path) *Client {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old := w.sides[id]; old != nil {
		old.dead = true
	}
	s := &Client{world: w, id: id, store: store, work: work, unreachable: map[string]bool{}}
	w.sides[id] = s
	return s
}

// send delays a call while the instance is frozen, for the one-way delay of the
// path, and while the path is held. It returns the path and an error if the call
// doesn't arrive; a lost call returns only when its context ends.
func (s *Client) send(c context.Context, p func() Path, reached func() bool) (Path, error) {
	w := s.world
	w.mu.Lock()
	frozen, path := s.thawed, p()
	w.mu.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-c.Done():
			return path, fmt.Errorf("%w: %w", sched.ErrUnavailable, c.Err())
		}
	}
	if err := w.Clock.Sleep(c, path.Delay); err != nil {
		return path, fmt.Errorf("%w: %w", sched.ErrUnavailable, err)
	}
	w.mu.Lock()
	path = p()
	w.mu.Unlock()
	for path.Mode == Held {
		if err := w.Clock.Sleep(c, heldPollInterval); err != nil {
			return path, fmt.Errorf("%w: %w", sched.ErrUncertain, err)
		}
		w.mu.Lock()
		path = p()
		w.mu.Unlock()
	}
	w.mu.Lock()
	dead, there := s.dead, reached()
	w.mu.Unlock()
	switch {
	case dead || path.Mode == Silent || !there:
		<-c.Done()
		return path, fmt.Errorf("%w: %w", sched.ErrUncertain, c.Err())
	case path.Mode == Busy:
		return path, fmt.Errorf("%w: platform is busy", sched.ErrUnavailable)
	}
	return path, nil
}

// receive delays an answer for the one-way delay of the path. With the path's
// probability the answer is lost, and receive returns only when the context ends.
func (s *Client) receive(c context.Context, p Path) error {
	w := s.world
	w.mu.Lock()
	lost := w.random.Float64() < p.Lost
	w.mu.Unlock()
	if lost {
		<-c.Done()
		return fmt.Errorf("%w: %w", sched.ErrUncertain, c.Err())
	}
	if err := w.Clock.Sleep(c, p.Delay); err != nil {
		return fmt.Errorf("%w: %w", sched.ErrUncertain, err)
	}
	return nil
}

// late carries a call out after a random delay, with the path's probability. It
// reports whether it did, and in that case returns only when the context has
// ended. The delay is drawn in either case.
func (s *Client) late(c context.Context, p Path, call func()) bool {
	w := s.world
	w.mu.Lock()
	late := w.random.Float64() < p.Late
	delay := minLateDelay + time.Duration(w.random.Float64()*float64(maxLateDelay-minLateDelay))
	w.mu.Unlock()
	if !late {
		return false
	}
	go func() {
		if w.Clock.Sleep(context.WithoutCancel(c), delay) == nil {
			call()
		}
	}()
	<-c.Done()
	return true
}

func alwaysReached() bool { return true }

func (s *Client) storePath() Path { return s.store }

func (s *Client) workPath() Path { return s.work }

// Append implements sched.Store.
func (s *Client) Append(
	c context.Context, p sched.Partition, at sched.Offset, records []sched.KeyedRecord,
) (sched.Offset, error) {
	path, err := s.send(c, s.storePath, alwaysReached)
	if err != nil {
		return 0, err
	}
	w := s.world
	call := func() (sched.Offset, error) { return w.store.Append(w.Clock.Now(), p, at, records) }
	if s.late(c, path, func() { _, _ = call() }) {
		return 0, fmt.Errorf("%w: %w", sched.ErrUncertain, c.Err())
	}
	end, err := call()
	if lost := s.receive(c, path); lost != nil {
		return 0, lost
	}
	return end, err
}

// Read implements sched.Store. The wait for new records runs on package time, not
// on the clock of the world.
func (s *Client) Read(c context.Context, p sched.Partition, from sched.Offset, wait time.Duration) (sched.Batch, error) {
	path, err := s.send(c, s.storePath, alwaysReached)
	if err != nil {
		return sched.Batch{}, fmt.Errorf("%w: %w", sched.ErrUnavailable, err)
	}
	w := s.world
	b, grown, err := w.store.Read(w.Clock.Now(), p, from)
	if err == nil && len(b.Records) == 0 && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-grown:
			b, _, err = w.store.Read(w.Clock.Now(), p, from)
		case <-timer.C:
		case <-c.Done():
			return b, fmt.Errorf("%w: %w", sched.ErrUnavailable, c.Err())
		}
	}
	if lost := s.receive(c, Path{Delay: path.Delay}); lost != nil {
		return sched.Batch{}, fmt.Errorf("%w: %w", sched.ErrUnavailable, lost)
	}
	return b, err
}

// Newest implements sched.Store.
func (s *Client) Newest(c context.Context, p sched.Partition, after string) (sched.NewestPage, error) {
	path, err := s.send(c, s.storePath, alwaysReached)
	if err != nil {
		return sched.NewestPage{}, fmt.Errorf("%w: %w", sched.ErrUnavailable, err)
	}
	page := s.world.store.Newest(s.world.Clock.Now(), p, after)
	if lost := s.receive(c, Path{Delay: path.Delay}); lost != nil {
		return sched.NewestPage{}, fmt.Errorf("%w: %w", sched.ErrUnavailable, lost)
	}
	return page, nil
}

// reachable advances the worker at an address to the present time and returns it, or nil
// if it is down or can't be reached from the instance. The lock is held.
func (s *Client) reachable(address string) *work.Worker {
	w := s.world
	x := w.workers[address]
	if x == nil {
		return nil
	}
	x.Advance(w.Clock.Now())
	if x.Down || w.isolated[address] || s.unreachable[address] {
		return nil
	}
	return x
}

// order sends an order to a worker and carries it out by calling f on the worker
// with the lock held. Another worker at the address refuses the order.
func (s *Client) order(
	c context.Context, to sched.Worker, f func(now time.Time, x *work.Worker) sched.OrderAnswer,
) (sched.OrderAnswer, error) {
	w := s.world
	path, err := s.send(c, s.workPath, func() bool { return s.reachable(to.Address) != nil })
	if err != nil {
		return sched.OrderAnswer{}, err
	}
	life := w.workerLife(to.Address)
	call := func() (sched.OrderAnswer, bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		// The worker already holds the order, so a late order is lost if the
		// worker has restarted since.
		x := s.reachable(to.Address)
		switch {
		case x == nil || x.Incarnation != life:
			return sched.OrderAnswer{}, false
		case x.ID != to.ID:
			return sched.OrderAnswer{Refusal: sched.RefusedIdentity}, true
		}
		return f(w.Clock.Now(), x), true
	}
	if s.late(c, path, func() { _, _ = call() }) {
		return sched.OrderAnswer{}, fmt.Errorf("%w: %w", sched.ErrUncertain, c.Err())
	}
	a, arrived := call()
	if !arrived {
		<-c.Done()
		return a, fmt.Errorf("%w: %w", sched.ErrUncertain, c.Err())
	}
	return a, s.receive(c, path)
}

// workerLife returns the present life of the worker at an address, 0 if there is none.
func (w *World) workerLife(address string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x := w.workers[address]; x != nil {
		return x.Incarnation
	}
	return 0
}

// Start implements sched.Runner.
func (s *Client) Start(c context.Context, to sched.Worker, o sched.StartOrder) (sched.OrderAnswer, error) {
	return s.order(c, to, func(now time.Time, x *work.Worker) sched.OrderAnswer { return x.Start(now, o) })
}

// Stop implements sched.Runner.
func (s *Client) Stop(c context.Context, to sched.Worker, o sched.StopOrder) (sched.OrderAnswer, error) {
	return s.order(c, to, func(now time.Time, x *work.Worker) sched.OrderAnswer { return x.Stop(now, o) })
}

// Pace implements sched.Runner.
func (s *Client) Pace(c context.Context, to sched.Worker, o sched.PaceOrder) (sched.OrderAnswer, error) {
	return s.order(c, to, func(now time.Time, x *work.Worker) sched.OrderAnswer { return x.Pace(now, o) })
}

// leasePollInterval is the interval at which a waiting lease order checks for
// ended runs.
const leasePollInterval = 20 * time.Millisecond

// Lease implements sched.Runner.
func (s *Client) Lease(c context.Context, to sched.Worker, o sched.LeaseOrder) (sched.LeaseAnswer, error) {
	var a sched.LeaseAnswer
	began := s.world.Clock.Now()
	answer, err := s.order(c, to, func(now time.Time, x *work.Worker) sched.OrderAnswer {
		a = x.Lease(now, o)
		return a.OrderAnswer
	})
	if err != nil {
		return sched.LeaseAnswer{}, err
	}
	a.OrderAnswer = answer
	for err == nil && o.Wait > 0 && a.Refusal == sched.NotRefused && len(a.Ended) == 0 {
		if s.world.Clock.Now().Sub(began) >= o.Wait {
			break
		}
		if err = s.world.Clock.Sleep(c, leasePollInterval); err != nil {
			return a, fmt.Errorf("%w: %w", sched.ErrUncertain, err)
		}
		err = s.refresh(to, &a)
	}
	return a, err
}

// refresh replaces the answer to a waiting lease order by the worker's present
// report.
func (s *Client) refresh(to sched.Worker, a *sched.LeaseAnswer) error {
	w := s.world
	w.mu.Lock()
	defer w.mu.Unlock()
	x := s.reachable(to.Address)
	if x == nil || x.Incarnation != a.Incarnation || s.dead {
		return fmt.Errorf("%w: connection to worker %s lost", sched.ErrUncertain, to.ID)
	}
	*a = x.Report(w.Clock.Now())
	return nil
}
