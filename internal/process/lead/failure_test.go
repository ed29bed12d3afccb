package lead_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/world"
	"github.com/parsleybarrow/parsleybarrow/internal/process/lead"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// lateClock is a clock whose sleeps take longer than asked, and which jumps when the
// process is paused. It is set before a term begins, except by Pause.
type lateClock struct {
	clock.System
	late   time.Duration
	paused atomic.Int64
}

func (k *lateClock) Now() time.Time { return k.System.Now().Add(time.Duration(k.paused.Load())) }

func (k *lateClock) Sleep(c context.Context, d time.Duration) error {
	return k.System.Sleep(c, d+k.late)
}

func (k *lateClock) Pause(d time.Duration) { k.paused.Add(int64(d)) }

// leaseCounter counts the lease orders that are sent.
type leaseCounter struct {
	sched.OrderClient
	leases atomic.Int64
}

func (n *leaseCounter) Lease(c context.Context, w sched.Worker, o sched.LeaseOrder) (sched.LeaseAnswer, error) {
	n.leases.Add(1)
	return n.OrderClient.Lease(c, w, o)
}

// newWorld returns an emulated platform without workers.
func newWorld() *world.World {
	w := &world.World{Clock: clock.System{}, Seed: 1, Heartbeat: time.Second}
	w.Begin()
	return w
}

// newLeader returns a leader for a term of the instance.
func newLeader(w *world.World, id sched.InstanceID) *lead.Leader {
	side := w.NewClient(id, world.Path{}, world.Path{})
	return &lead.Leader{
		Store: side, Runner: side, Clock: w.Clock, Options: cell.Options{LeaseLimit: 6 * time.Second},
		Term: lead.Term{ID: id, Incarnation: 1},
	}
}

// begin returns once the term has begun. The channel receives the error of Run.
func begin(c context.Context, l *lead.Leader) <-chan error {
	begun, ended := make(chan struct{}), make(chan error, 1)
	l.OnBegin = func(sched.Offset) { close(begun) }
	go func() { ended <- l.Run(c) }()
	<-begun
	return ended
}

// Guards against a planner that has panicked and keeps its term: nothing is placed any
// more, and no other instance takes over.
func TestAPlannerThatPanicsEndsItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld()
		c, stop := context.WithCancel(t.Context())
		defer stop()
		l := newLeader(w, "entry-0")
		ended := begin(c, l)
		l.Post(func(*cell.Planner) { panic("index out of range") })
		time.Sleep(time.Second)
		select {
		case err := <-ended:
			i.True(errors.Is(err, lead.ErrPlannerFailed))
		default:
			t.Fatal("the term goes on")
		}
		_, _, err := l.State(c, "0000000000000001")
		i.Equal(err, lead.ErrNotPlanner) // the state of a broken planner isn't shown
		next := newLeader(w, "entry-1")
		begin(c, next)
		_, _, err = next.State(c, "0000000000000001")
		i.NoErr(err)
		stop()
		time.Sleep(time.Second)
	})
}

// lastAppendHook calls f before the record that ends the term is appended. Before it, a
// term has a first record and heartbeats, which are all the same.
type lastAppendHook struct {
	sched.Store
	f     func()
	mu    sync.Mutex
	terms map[string]bool
}

func (h *lastAppendHook) Append(
	c context.Context, p sched.Partition, at sched.Offset, records []sched.KeyedRecord,
) (sched.Offset, error) {
	const beforeLast = 2
	if records[0].Key == lead.TermKey {
		h.mu.Lock()
		h.terms[string(records[0].Value)] = true
		n := len(h.terms)
		h.mu.Unlock()
		if n > beforeLast {
			h.f()
		}
	}
	return h.Store.Append(c, p, at, records)
}

// Guards against a planner that is stuck and keeps its term with heartbeats, and against
// one that acts on what it decided once it is no longer stuck.
func TestAPlannerThatIsStuckEndsItsTerm(t *testing.T) {
	rows := []struct {
		name     string
		resuming bool // the planner goes on while the term ends, otherwise later
	}{
		{"goes on while the term ends", true},
		{"goes on after the term", false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				w := newWorld()
				c, stop := context.WithCancel(t.Context())
				defer stop()
				stuck := make(chan struct{})
				resume := sync.OnceFunc(func() { close(stuck) })
				defer resume()
				l := newLeader(w, "entry-0")
				lines, logged := observer.New(zap.ErrorLevel)
				l.Log = zap.New(lines)
				runner := &leaseCounter{OrderClient: l.Runner}
				l.Runner = runner
				var resumed, reports atomic.Int64
				l.OnStats = func(cell.Stats, cell.Stats) { reports.Add(1) }
				l.Store = &lastAppendHook{Store: l.Store, terms: map[string]bool{}, f: func() {
					if row.resuming {
						resume()
						time.Sleep(100 * time.Millisecond)
					}
				}}
				ended := begin(c, l)
				time.Sleep(1200 * time.Millisecond)
				reported := reports.Load()
				l.Post(func(p *cell.Planner) {
					<-stuck
					p.Proven(time.Now())
					p.Listed(time.Now(), sched.Worker{ID: "worker-0", Address: "worker-0", Incarnation: 1})
					p.Submit(time.Now(), 0, sched.Job{ID: "0000000000000001", Steps: []sched.Step{{Tasks: 1}}})
					p.Tick(time.Now())
					resumed.Add(1)
				})
				called := make(chan error, 1)
				go func() {
					_, err := l.Submit(c, sched.Job{ID: "0000000000000002", Steps: []sched.Step{{Tasks: 1}}})
					called <- err
				}()
				select {
				case err := <-ended:
					i.True(errors.Is(err, lead.ErrPlannerFailed))
				case <-time.After(10 * time.Second):
					t.Fatal("the term goes on")
				}
				i.Equal(<-called, lead.ErrNotPlanner) // the job was surely not recorded
				stacks, _ := logged.FilterMessage("plannerStuck").All()[0].ContextMap()["stacks"].(string)
				i.True(strings.Contains(stacks, "TestAPlannerThatIsStuckEndsItsTerm")) // names the function that doesn't return
				next := newLeader(w, "entry-1")
				begin(c, next)
				resume()
				time.Sleep(100 * time.Millisecond)
				i.Equal(resumed.Load(), int64(1))
				i.Equal(runner.leases.Load(), int64(0))
				if !row.resuming {
					i.Equal(reports.Load(), reported)
				}
				for _, id := range []sched.JobID{"0000000000000001", "0000000000000002"} {
					s, _, err := next.State(c, id)
					i.NoErr(err)
					i.Equal(s, sched.JobState(0))
				}
				stop()
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against an instance that can't stop because its planner is stuck.
func TestATermEndsWithItsContextThoughThePlannerIsStuck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		c, stop := context.WithCancel(t.Context())
		defer stop()
		l := newLeader(newWorld(), "entry-0")
		ended := begin(c, l)
		stuck := make(chan struct{})
		defer close(stuck)
		l.Post(func(*cell.Planner) { <-stuck })
		time.Sleep(1200 * time.Millisecond) // no append is in progress then
		stop()
		select {
		case err := <-ended:
			i.NoErr(err)
		case <-time.After(3 * time.Second):
			t.Error("the term goes on")
		}
	})
}

// Guards against the end of the term of a planner that only lacks processor time or
// whose process was paused: its successor would do the same.
func TestAPlannerThatIsSlowKeepsItsTerm(t *testing.T) {
	rows := []struct {
		name string
		late time.Duration
		// The actor handles one message for busy, then the process is paused, and the
		// actor goes on with the message for busy again.
		busy, pause time.Duration
		ends        bool
	}{
		{"long message", 0, 2 * time.Second, 0, false},
		{"paused during a message", 0, 4 * time.Second, 10 * time.Second, false},
		{"paused for less than the limit", 0, 2 * time.Second, 4500 * time.Millisecond, false},
		{"short of processor time", 400 * time.Millisecond, 3 * time.Second, 0, false},
		{"stuck and short of processor time", 400 * time.Millisecond, 10 * time.Second, 0, true},
		{"stuck after a pause", 0, 6 * time.Second, 10 * time.Second, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := &lateClock{late: row.late}
				l := newLeader(newWorld(), "entry-0")
				l.Clock = k
				ended := begin(c, l)
				time.Sleep(5 * time.Second)
				done := make(chan struct{})
				l.Post(func(*cell.Planner) {
					time.Sleep(row.busy)
					k.Pause(row.pause)
					time.Sleep(row.busy)
					close(done)
				})
				<-done
				time.Sleep(time.Second)
				i.Equal(len(ended) > 0, row.ends)
				stop()
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// panicOnce panics in the first call of Now after it was armed.
type panicOnce struct {
	clock.System
	armed atomic.Bool
}

func (k *panicOnce) Now() time.Time {
	if k.armed.CompareAndSwap(true, false) {
		panic("index out of range")
	}
	return k.System.Now()
}

// firstAppend arms a clock once the first record of a term has been appended.
type firstAppend struct {
	sched.Store
	clock *panicOnce
	once  sync.Once
}

func (f *firstAppend) Append(
	c context.Context, p sched.Partition, at sched.Offset, records []sched.KeyedRecord,
) (sched.Offset, error) {
	defer f.once.Do(func() { f.clock.armed.Store(true) })
	return f.Store.Append(c, p, at, records)
}

// Guards against a planner that ends the process when it can't begin with what is
// recorded, and against its term, which would stay in force.
func TestAPlannerThatPanicsAtItsBeginningEndsItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld()
		c, stop := context.WithCancel(t.Context())
		defer stop()
		k := &panicOnce{}
		l := newLeader(w, "entry-0")
		l.Clock, l.Store = k, &firstAppend{Store: l.Store, clock: k}
		l.OnBegin = func(sched.Offset) { t.Error("the term has begun") }
		i.True(errors.Is(l.Run(c), lead.ErrPlannerFailed))
		next := newLeader(w, "entry-1")
		begin(c, next)
		_, _, err := next.State(c, "0000000000000001")
		i.NoErr(err)
		stop()
		time.Sleep(2 * time.Second)
	})
}

// silentStore answers no append while silent is set.
type silentStore struct {
	sched.Store
	silent atomic.Bool
}

func (s *silentStore) Append(c context.Context, p sched.Partition, at sched.Offset, r []sched.KeyedRecord) (sched.Offset, error) {
	if s.silent.Load() {
		<-c.Done()
		return 0, sched.ErrUncertain
	}
	return s.Store.Append(c, p, at, r)
}

// Guards against a planner that has panicked and keeps its term for as long as the store
// doesn't answer, or blocks when it panics again.
func TestAPlannerThatPanicsDuringAnAppendEndsItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		c, stop := context.WithCancel(t.Context())
		defer stop()
		l := newLeader(newWorld(), "entry-0")
		store := &silentStore{Store: l.Store}
		l.Store = store
		ended := begin(c, l)
		store.silent.Store(true)
		time.Sleep(3 * time.Second) // the append of the heartbeat has no answer
		i.True(l.Waiting())
		l.Post(func(*cell.Planner) { panic("index out of range") })
		l.Post(func(*cell.Planner) { panic("again") })
		time.Sleep(time.Second)
		select {
		case err := <-ended:
			i.True(errors.Is(err, lead.ErrPlannerFailed))
		default:
			t.Fatal("the term goes on")
		}
		stop()
		time.Sleep(time.Second)
	})
}
