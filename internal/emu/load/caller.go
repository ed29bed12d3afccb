package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/audit"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Caller emulates the callers of one site and tells the audit what they see.
// Exported fields are set before the first call. It is safe for concurrent use.
type Caller struct {
	Clock sched.Clock
	Audit *audit.Audit
	Route sched.Route
	// Desk returns a random instance that takes calls, or nil if there is none.
	Desk func() sched.JobService
	// CallTimeout is the timeout of one call, MaxAttempts the maximum number of attempts.
	CallTimeout time.Duration
	MaxAttempts int
	Seed        uint64

	mu     sync.Mutex
	random *rand.Rand
}

// retryPause is the minimum pause before the next attempt of a call.
const retryPause = 100 * time.Millisecond

// visibleWithin is how long after its acceptance a job may still be unknown to
// an instance.
const visibleWithin = 3 * time.Second

// Submit submits a job, and retries until it is accepted or the attempts are
// used up. It reports whether the job was accepted.
func (x *Caller) Submit(c context.Context, j sched.Job) bool {
	for range x.MaxAttempts {
		d := x.Desk()
		if d == nil {
			if x.Clock.Sleep(c, retryPause) != nil {
				return false
			}
			continue
		}
		w, cancel := context.WithTimeout(c, x.CallTimeout)
		x.Audit.Submitting(j.ID)
		v := d.Submit(w, x.Route, j)
		cancel()
		x.Audit.Submitted(j.ID, v.Code)
		if v.Code == sched.CodeAccepted {
			return true
		}
		if x.Clock.Sleep(c, max(retryPause, v.RetryAfter)) != nil {
			return false
		}
	}
	return false
}

// Cancel cancels a job, and retries until an instance accepts that or doesn't
// know the job, or until the attempts are used up.
func (x *Caller) Cancel(c context.Context, id sched.JobID) {
	x.Audit.CancelSent(id)
	for range x.MaxAttempts {
		d := x.Desk()
		if d != nil {
			w, cancel := context.WithTimeout(c, x.CallTimeout)
			v := d.Cancel(w, x.Route, id)
			cancel()
			if v.Code == sched.CodeAccepted || v.Code == sched.CodeUnknownTask {
				x.Audit.Cancel(x.Clock.Now(), id)
				return
			}
		}
		if x.Clock.Sleep(c, retryPause) != nil {
			return
		}
	}
}

// PollState asks an instance for the state of a job that was accepted at the given
// time, and has the audit check the answer. It returns 0 if there is no answer or
// the instance doesn't know the job.
func (x *Caller) PollState(c context.Context, id sched.JobID, accepted time.Time) sched.JobState {
	d := x.Desk()
	if d == nil {
		return 0
	}
	asked := x.Clock.Now()
	w, cancel := context.WithTimeout(c, x.CallTimeout)
	defer cancel()
	s, v := d.State(w, x.Route, id)
	switch {
	case v.Code == sched.CodeAccepted:
		x.Audit.CheckState(x.Clock.Now(), id, s)
		return s
	case v.Code == sched.CodeUnknownTask && asked.Sub(accepted) > visibleWithin:
		x.Audit.CheckUnknown(x.Clock.Now(), id)
	}
	return 0
}

// chance returns true with probability p.
func (x *Caller) chance(p float64) bool { return x.draw() < p }

func (x *Caller) draw() float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.random == nil {
		x.random = rand.New(rand.NewPCG(x.Seed, 2))
	}
	return x.random.Float64()
}

const (
	// meanPollInterval is the mean time between two queries for a job's state.
	meanPollInterval = 1500 * time.Millisecond
	// cancelShare is the probability that a job that would end by itself is
	// cancelled. Lasting jobs are always cancelled, because they never end.
	cancelShare = 0.1
	// maxCancelDelay is the longest time from acceptance to the cancel. Lasting jobs
	// stay longer, so that their tasks may be lost and start again.
	maxCancelDelay        = 8 * time.Second
	maxLastingCancelDelay = 16 * time.Second
)

// SubmitAndPoll submits a job and polls its state until the job or the context ends. It
// cancels lasting jobs, which it submits until they are accepted, and some of the
// others.
func (x *Caller) SubmitAndPoll(c context.Context, j sched.Job) {
	for !x.Submit(c, j) {
		if !isLasting(j) || c.Err() != nil {
			return
		}
	}
	accepted := x.Clock.Now()
	cancelAt := time.Time{}
	if x.chance(cancelShare) || isLasting(j) {
		longest := maxCancelDelay
		if isLasting(j) {
			longest = maxLastingCancelDelay
		}
		cancelAt = accepted.Add(time.Duration(x.draw() * float64(longest)))
	}
	for x.Clock.Sleep(c, time.Duration(2*x.draw()*float64(meanPollInterval))) == nil {
		if !cancelAt.IsZero() && x.Clock.Now().After(cancelAt) {
			x.Cancel(c, j.ID)
			return
		}
		if x.PollState(c, j.ID, accepted).Final() {
			return
		}
	}
}
