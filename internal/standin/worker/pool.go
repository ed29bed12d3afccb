package worker

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Pool is a set of simulated workers in memory. It is safe for concurrent use.
type Pool struct {
	config       Config
	latencyRises map[serviceAndKind]float64
	observer     *Observer

	mu          sync.Mutex
	workers     map[sched.InstanceID]*Worker
	checkpoints map[sched.CheckpointID]time.Duration
}

type serviceAndKind struct{ service, kind string }

var _ sched.WorkerClient = (*Pool)(nil)

// NewPool returns a pool without workers; Add creates them.
func NewPool(c Config) *Pool {
	p := &Pool{
		config: c.withDefaults(), latencyRises: map[serviceAndKind]float64{}, observer: newObserver(),
		workers: map[sched.InstanceID]*Worker{}, checkpoints: map[sched.CheckpointID]time.Duration{},
	}
	for _, i := range c.Impacts {
		p.latencyRises[serviceAndKind{i.Service, i.Kind}] = i.LatencyRise
	}
	return p
}

// Add creates a running worker. Its capacity is what tasks may use and does not
// include what the services on the worker use.
func (p *Pool) Add(m sched.Member) *Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := newWorker(p, m, uint64(len(p.workers)))
	p.workers[m.ID] = w
	return w
}

// Worker returns the worker with the given ID, or nil if there is none.
func (p *Pool) Worker(id sched.InstanceID) *Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[id]
}

// Workers returns all workers in order of their IDs.
func (p *Pool) Workers() []*Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*Worker, 0, len(p.workers))
	for _, w := range p.workers {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *Worker) int {
		if a.member.ID < b.member.ID {
			return -1
		}
		return 1
	})
	return list
}

// Observer processes the events of all workers up to the current time and returns
// the observer.
func (p *Pool) Observer() *Observer {
	now := p.config.Clock.Now()
	for _, w := range p.Workers() {
		w.mu.Lock()
		w.advanceTo(now)
		w.mu.Unlock()
	}
	return p.observer
}

// Exchange implements sched.Workers. The worker ignored the call if it checks tokens
// and the report's term is higher than the call's, or if the report's LeaseUntil is
// before the call's NotAfter.
func (p *Pool) Exchange(_ context.Context, m sched.Member, call sched.WorkerCall) (sched.WorkerReport, error) {
	w := p.Worker(m.ID)
	if w == nil {
		return sched.WorkerReport{}, sched.ErrUnavailable
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := p.config.Clock.Now()
	w.advanceTo(now)
	if !w.up {
		return sched.WorkerReport{}, sched.ErrUnavailable
	}
	f := w.faults
	if f.Silent || w.faultRandom.Float64() < f.LostCall {
		return sched.WorkerReport{}, sched.ErrUncertain
	}
	if w.faultRandom.Float64() < f.Delayed {
		w.delayCall(call, now.Add(f.DelayBy))
		return sched.WorkerReport{}, sched.ErrUncertain
	}
	if w.faultRandom.Float64() < f.Duplicated {
		w.delayCall(call, now.Add(f.DelayBy))
	}
	w.applyCall(call)
	if w.faultRandom.Float64() < f.LostAnswer {
		return sched.WorkerReport{}, sched.ErrUncertain
	}
	return w.report(), nil
}
