package worker

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Worker is one worker. It is safe for use by many goroutines.
type Worker struct {
	pool   *Pool
	member sched.Member

	mu           sync.Mutex
	faults       Faults
	faultRandom  *rand.Rand
	noiseRandom  *rand.Rand
	clockOffset  time.Duration // of the worker's clock against the true time
	up           bool
	boot         uint64
	now          time.Time // true time up to which events have been processed
	term         sched.Offset
	leaseUntil   time.Time // by the worker's own clock
	attempts     map[attemptKey]*attempt
	waiting      []attemptKey // in order of arrival
	used         sched.Resources
	delayedCalls []delayedCall
	services     []Load
	samples      []sample
	nextSample   time.Time
}

type attemptKey struct {
	task    sched.TaskID
	attempt sched.Attempt
}

type attempt struct {
	attemptKey
	command    sched.Command
	state      sched.AttemptState
	work       Work
	willFail   bool
	share      float64
	progress   time.Duration // at since
	progressAt time.Time
	checkpoint sched.CheckpointID
	reason     string
}

type delayedCall struct {
	due  time.Time
	call sched.WorkerCall
}

func newWorker(p *Pool, m sched.Member, stream uint64) *Worker {
	now := p.config.Clock.Now()
	return &Worker{
		pool: p, member: m, up: true, boot: 1, now: now, nextSample: now,
		faultRandom: rand.New(rand.NewPCG(p.config.Seed, 2*stream)),
		noiseRandom: rand.New(rand.NewPCG(p.config.Seed, 2*stream+1)),
		attempts:    map[attemptKey]*attempt{},
	}
}

// Member returns the worker's entry of the list of instances.
func (w *Worker) Member() sched.Member { return w.member }

// SetFaults replaces the worker's faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceTo(w.pool.config.Clock.Now())
	w.faults = f
}

// Faults returns the faults in force.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// SetClockOffset sets the difference between the worker's clock and the true
// time.
func (w *Worker) SetClockOffset(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceTo(w.pool.config.Clock.Now())
	w.clockOffset = d
}

// Crash ends all runs on the worker and discards its state. Until Restart, calls
// return sched.ErrUnavailable.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.pool.config.Clock.Now()
	w.advanceTo(now)
	if !w.up {
		return
	}
	for _, a := range w.attempts {
		if a.state == sched.AttemptRunning {
			w.pool.observer.recordEnd(w.member.ID, a.attemptKey, attemptLostInCrash, now)
		}
	}
	w.up = false
	w.attempts = map[attemptKey]*attempt{}
	w.waiting, w.samples = nil, nil
	w.used = sched.Resources{}
	w.term, w.leaseUntil = 0, time.Time{}
}

// Restart brings a crashed worker back with a new boot number and no memory of
// earlier attempts, terms and leases.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up {
		return
	}
	w.up = true
	w.boot++
	w.now = w.pool.config.Clock.Now()
	w.nextSample = w.now
	// Delayed calls that are not due yet reach the new boot; earlier ones are lost.
	w.delayedCalls = slices.DeleteFunc(w.delayedCalls, func(d delayedCall) bool { return d.due.Before(w.now) })
}

// Up reports whether the worker runs, which means that it is not crashed.
func (w *Worker) Up() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

// advanceTo brings the worker to the given true time, event by event.
func (w *Worker) advanceTo(to time.Time) {
	if !w.up || to.Before(w.now) {
		return
	}
	w.skipOldSamples(to)
	for {
		at, event := w.nextEvent(to)
		if event == nil {
			break
		}
		w.now = at
		event()
		w.startWaiting()
	}
	w.now = to
}

// nextEvent returns the earliest event that is due by the given time, or nil.
// At the same time the end of the lease comes first, so that nothing starts
// under a lease that has run out.
func (w *Worker) nextEvent(to time.Time) (time.Time, func()) {
	var event func()
	best := to
	consider := func(at time.Time, f func()) {
		if at.Before(w.now) {
			at = w.now
		}
		if at.Before(best) || (event == nil && !at.After(best)) {
			best, event = at, f
		}
	}
	if !w.leaseUntil.IsZero() && w.hasLiveAttempt() {
		consider(w.leaseUntil.Add(-w.clockOffset), w.expireLease)
	}
	var first *attempt
	var firstEnd time.Time
	for _, a := range w.attempts {
		end, ok := a.endsAt()
		if !ok || (first != nil && (end.After(firstEnd) || end.Equal(firstEnd) && a.task > first.task)) {
			continue
		}
		first, firstEnd = a, end
	}
	if first != nil {
		consider(firstEnd, func() { w.finishAttempt(first) })
	}
	if len(w.delayedCalls) > 0 {
		consider(w.delayedCalls[0].due, w.applyDelayed)
	}
	consider(w.nextSample, w.takeSample)
	return best, event
}

func (w *Worker) hasLiveAttempt() bool {
	if len(w.waiting) > 0 {
		return true
	}
	for _, a := range w.attempts {
		if a.state == sched.AttemptRunning {
			return true
		}
	}
	return false
}

// expireLease stops everything since the lease has run out by the worker's clock.
func (w *Worker) expireLease() {
	for _, a := range w.attempts {
		if !a.state.Ended() {
			w.endAttempt(a, sched.AttemptLeaseExpired, "lease ran out")
		}
	}
}

func (w *Worker) applyDelayed() {
	d := w.delayedCalls[0]
	w.delayedCalls = w.delayedCalls[1:]
	w.applyCall(d.call)
}

func (w *Worker) delayCall(call sched.WorkerCall, due time.Time) {
	w.delayedCalls = append(w.delayedCalls, delayedCall{due, call})
	slices.SortStableFunc(w.delayedCalls, func(a, b delayedCall) int { return a.due.Compare(b.due) })
}
