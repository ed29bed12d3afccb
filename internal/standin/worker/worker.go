package worker

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Worker is one simulated worker. It is safe for concurrent use.
type Worker struct {
	pool   *Pool
	member sched.Member

	mu           sync.Mutex
	faults       Faults
	faultRandom  *rand.Rand
	noiseRandom  *rand.Rand
	clockOffset  time.Duration // the worker's clock minus the true time
	up           bool
	boot         uint64
	now          time.Time // true time up to which events are processed
	term         sched.Offset
	leaseUntil   time.Time // on the worker's own clock
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
	progress   time.Duration // as of progressAt
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

// Member returns the worker's entry in the list of instances, as passed to Pool.Add.
func (w *Worker) Member() sched.Member { return w.member }

// SetFaults replaces all faults of the worker. Calls that earlier faults have
// delayed stay scheduled.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceTo(w.pool.config.Clock.Now())
	w.faults = f
}

// Faults returns the faults that apply to the next call.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// SetClockOffset sets the worker's clock to the true time plus d, so a positive
// offset makes leases expire early.
func (w *Worker) SetClockOffset(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceTo(w.pool.config.Clock.Now())
	w.clockOffset = d
}

// Crash ends all runs on the worker and discards its attempts, measurements, term
// and lease. Until Restart, calls return sched.ErrUnavailable. Faults, clock offset,
// loads and delayed calls are kept.
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

// Restart starts a crashed worker with the next boot number and without its earlier
// attempts, term and lease. It has no effect on a worker that is up.
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
	// Delayed calls that fell due during the crash are lost; later ones reach the
	// worker under its new boot number.
	w.delayedCalls = slices.DeleteFunc(w.delayedCalls, func(d delayedCall) bool { return d.due.Before(w.now) })
}

// Up reports whether the worker is running; a crashed worker is not.
func (w *Worker) Up() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

// advanceTo processes all events up to the given true time in order. It has no
// effect on a crashed worker.
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

// nextEvent returns the earliest event that is due by the given time and when it is
// due, or a nil function if there is none. Among events due at the same time, lease
// expiry comes first, so that no attempt starts under an expired lease.
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

// expireLease ends all waiting and running attempts as lapsed. It is called when the
// lease expires on the worker's clock.
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
