package worker

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Pool is a set of workers in memory. It is safe for use by many goroutines.
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

// NewPool returns a pool without workers.
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

// Add adds a worker. Its capacity is what tasks may hold; services are not
// part of it.
func (p *Pool) Add(m sched.Member) *Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := newWorker(p, m, uint64(len(p.workers)))
	p.workers[m.ID] = w
	return w
}

// Worker returns the worker of the given name, or nil.
func (p *Pool) Worker(id sched.InstanceID) *Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[id]
}

// Workers returns all workers in order of their names.
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

// Observer brings all workers up to the current time and returns the observer.
func (p *Pool) Observer() *Observer {
	now := p.config.Clock.Now()
	for _, w := range p.Workers() {
		w.mu.Lock()
		w.advanceTo(now)
		w.mu.Unlock()
	}
	return p.observer
}

// Exchange implements sched.Workers. If the answer's term is higher than the
// call's, a worker that checks tokens did nothing; if its lease ends before
// the call's notAfter, the call was void.
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
