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

	mu         sync.Mutex
	faults     Faults
	faultDraws *rand.Rand
	noiseDraws *rand.Rand
	offset     time.Duration // of the worker's clock against the true time
	up         bool
	boot       uint64
	now        time.Time // true time up to which the state is settled
	term       sched.Offset
	leaseUntil time.Time // by the worker's own clock
	attempts   map[attemptKey]*attempt
	waiting    []attemptKey // in order of arrival
	used       sched.Resources
	delayed    []delayedCall
	services   []Load
	samples    []sample
	nextSample time.Time
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
	fails      bool
	share      float64
	progress   time.Duration // at since
	since      time.Time
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
		faultDraws: rand.New(rand.NewPCG(p.config.Seed, 2*stream)),
		noiseDraws: rand.New(rand.NewPCG(p.config.Seed, 2*stream+1)),
		attempts:   map[attemptKey]*attempt{},
	}
}

// Member returns the worker's entry of the list of instances.
func (w *Worker) Member() sched.Member { return w.member }

// SetFaults replaces the worker's faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(w.pool.config.Clock.Now())
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
	w.settle(w.pool.config.Clock.Now())
	w.offset = d
}

// Crash ends everything on the worker at once. It answers no call until
// Restart.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.pool.config.Clock.Now()
	w.settle(now)
	if !w.up {
		return
	}
	for _, a := range w.attempts {
		if a.state == sched.AttemptRunning {
			w.pool.observer.ended(w.member.ID, a.attemptKey, lostInCrash, now)
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
	// Calls that are still under way reach the new boot.
	w.delayed = slices.DeleteFunc(w.delayed, func(d delayedCall) bool { return d.due.Before(w.now) })
}

// Up tells whether the worker is not crashed.
func (w *Worker) Up() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

// settle brings the worker to the given true time, event by event.
func (w *Worker) settle(to time.Time) {
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
	if !w.leaseUntil.IsZero() && w.holdsWork() {
		consider(w.leaseUntil.Add(-w.offset), w.lapse)
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
		consider(firstEnd, func() { w.finish(first) })
	}
	if len(w.delayed) > 0 {
		consider(w.delayed[0].due, w.applyDelayed)
	}
	consider(w.nextSample, w.measure)
	return best, event
}

func (w *Worker) holdsWork() bool {
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

// lapse stops everything since the lease has run out by the worker's clock.
func (w *Worker) lapse() {
	for _, a := range w.attempts {
		if !a.state.Ended() {
			w.end(a, sched.AttemptLapsed, "lease ran out")
		}
	}
}

func (w *Worker) applyDelayed() {
	d := w.delayed[0]
	w.delayed = w.delayed[1:]
	w.apply(d.call)
}

func (w *Worker) delay(call sched.WorkerCall, due time.Time) {
	w.delayed = append(w.delayed, delayedCall{due, call})
	slices.SortStableFunc(w.delayed, func(a, b delayedCall) int { return a.due.Compare(b.due) })
}
