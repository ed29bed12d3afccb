package worker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Load is the load of one service on a worker.
type Load struct {
	Service string
	// Load is between 0 and 1: busy slots over slots.
	Load float64
	// BaselineP99 is the service's 99th percentile without any task next to it.
	BaselineP99 time.Duration
}

type sample struct {
	at       time.Time
	usage    map[attemptKey]sched.Resources
	services []sched.ServiceReport
}

// SetLoads replaces the services on the worker and their load.
func (w *Worker) SetLoads(loads []Load) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceTo(w.pool.config.Clock.Now())
	w.services = slices.Clone(loads)
}

// Slowdown returns the true latency of a service over its latency alone, as of
// now. It is 1 for a service that is not on the worker.
func (w *Worker) Slowdown(service string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceTo(w.pool.config.Clock.Now())
	for _, l := range w.services {
		if l.Service == service {
			return w.slowdown(l)
		}
	}
	return 1
}

// Load returns the load of a service, 0 if it is not on the worker.
func (w *Worker) Load(service string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.services {
		if l.Service == service {
			return l.Load
		}
	}
	return 0
}

// ProcessorsInUse returns the processors that running tasks have declared, in thousandths
// of a processor, each multiplied by the share of its attempt.
func (w *Worker) ProcessorsInUse() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceTo(w.pool.config.Clock.Now())
	sum := 0.0
	for _, a := range w.running() {
		sum += a.share * float64(a.command.Needs.Processors)
	}
	return sum
}

// running returns the running attempts in a fixed order, so that sums of
// floating-point numbers don't differ from run to run.
func (w *Worker) running() []*attempt {
	var list []*attempt
	for _, a := range w.attempts {
		if a.state == sched.AttemptRunning {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
	})
	return list
}

func (w *Worker) slowdown(l Load) float64 {
	sum := 1.0
	for _, a := range w.running() {
		sum += w.pool.latencyRises[serviceAndKind{l.Service, a.command.TaskKind}] * a.share * l.Load
	}
	return sum
}

// takeSample takes one sample and schedules the next.
func (w *Worker) takeSample() {
	s := sample{at: w.now, usage: map[attemptKey]sched.Resources{}}
	for k, a := range w.attempts {
		if a.state == sched.AttemptRunning {
			s.usage[k] = a.usage()
		}
	}
	for _, l := range w.services {
		noise := math.Exp(w.pool.config.LatencyNoise * w.noiseRandom.NormFloat64())
		p99 := time.Duration(float64(l.BaselineP99) * w.slowdown(l) * noise)
		s.services = append(s.services, sched.ServiceReport{Service: l.Service, Load: l.Load, P99: p99})
	}
	w.samples = append(w.samples, s)
	for len(w.samples) > 1 && !w.samples[1].at.After(w.now.Add(-w.pool.config.ReportLag)) {
		w.samples = w.samples[1:]
	}
	w.nextSample = w.nextSample.Add(w.pool.config.SampleInterval)
}

// skipOldSamples skips measurements that are too old for any report at the given
// time, which saves work after a long time without a call.
func (w *Worker) skipOldSamples(to time.Time) {
	c := w.pool.config
	oldest := to.Add(-c.ReportLag - c.SampleInterval)
	if behind := oldest.Sub(w.nextSample); behind > 0 {
		w.nextSample = w.nextSample.Add(behind.Truncate(c.SampleInterval))
	}
}

func (a *attempt) usage() sched.Resources {
	u := a.work.Usage
	if u == (sched.Resources{}) {
		u = a.command.Needs
	}
	u.Processors = int64(float64(u.Processors) * a.share)
	return u
}

// report describes the worker at w.now. States and progress are current, the
// measurements are those of the newest sample that is at least as old as the lag.
func (w *Worker) report() sched.WorkerReport {
	r := sched.WorkerReport{Worker: w.member.ID, Boot: w.boot, Term: w.term, LeaseUntil: w.leaseUntil}
	var seen sample
	for _, s := range w.samples {
		if s.at.After(w.now.Add(-w.pool.config.ReportLag)) {
			break
		}
		seen = s
	}
	r.MeasuredAt = seen.at
	r.Services = slices.Clone(seen.services)
	for k, a := range w.attempts {
		a.advance(w.now)
		r.Attempts = append(r.Attempts, sched.AttemptReport{
			Task: k.task, Attempt: k.attempt, State: a.state, Checkpoint: a.checkpoint, TaskKind: a.command.TaskKind,
			Progress: a.progress, Usage: seen.usage[k], Reason: a.reason,
		})
	}
	slices.SortFunc(r.Attempts, func(a, b sched.AttemptReport) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	return r
}
