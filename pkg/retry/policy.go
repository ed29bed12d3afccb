package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// initialDelay is about the time in which a busy backend server frees a slot.
	initialDelay = 2 * time.Millisecond
	// maxDelay bounds a single wait.
	maxDelay = 250 * time.Millisecond
	// minSendTime is the time that has to remain before the deadline after the
	// wait. The deadline would likely cut off a later send, whose outcome would
	// then be unknown.
	minSendTime = 50 * time.Millisecond
	// maxTokens limits the tokens of each budget. A new policy starts with as
	// many, so that a service without earlier traffic can retry.
	maxTokens = 10
	// resendShare bounds the sends after refusals, as a share of the requests,
	// so that backend servers that are all full aren't loaded further by
	// requests that they have to refuse.
	resendShare = 0.1
)

// Policy decides whether and when to retry a request of one service. It is
// safe for concurrent use.
type Policy struct {
	mu         sync.Mutex
	random     *rand.Rand
	retryShare float64
	// retryTokens is the budget for retries, and resendTokens that for sends
	// after a refusal, both in sends.
	retryTokens  float64
	resendTokens float64
}

// NewPolicy returns a policy that allows retries for the given share of the
// requests, 0 to 1. The seed determines the jitter.
func NewPolicy(share float64, seed uint64) *Policy {
	return &Policy{
		random: rand.New(rand.NewPCG(seed, seed)), retryShare: share,
		retryTokens: maxTokens, resendTokens: maxTokens,
	}
}

// CountRequest counts a request, which adds its share to both budgets.
func (p *Policy) CountRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryTokens = min(p.retryTokens+p.retryShare, maxTokens)
	p.resendTokens = min(p.resendTokens+resendShare, maxTokens)
}

// Retry takes one retry from the budget and returns the wait before it. The
// argument sends is the number of sends so far. Retry returns false if the policy
// allows no retries, the budget is used up, or too little time would remain for the
// send.
func (p *Policy) Retry(sends int, now, deadline time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retryShare <= 0 {
		return 0, false
	}
	return p.spend(&p.retryTokens, sends, now, deadline)
}

// Resend takes one send from the budget for sends after a refusal, and returns the
// wait before a request that certainly did not run is sent to another backend
// server. It returns false if the budget is used up or too little time would remain
// for the send.
func (p *Policy) Resend(sends int, now, deadline time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spend(&p.resendTokens, sends, now, deadline)
}

// spend takes one send from a budget and returns the wait before it, or false if
// that is not possible. The caller holds the lock.
func (p *Policy) spend(budget *float64, sends int, now, deadline time.Time) (time.Duration, bool) {
	if *budget < 1 {
		return 0, false
	}
	d := p.delay(sends)
	if !now.Add(d + minSendTime).Before(deadline) {
		return 0, false
	}
	*budget--
	return d, true
}

// SearchDelay returns the wait before the next search for a backend server with a free
// slot; searches is the number of those made so far. Nothing is sent, so the budgets
// don't change. It returns false if the wait would reach the deadline.
func (p *Policy) SearchDelay(searches int, now, deadline time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.delay(searches)
	return d, now.Add(d).Before(deadline)
}

// delay returns a random wait between half of the exponential step and the whole.
// The step doubles with each send, up to maxDelay.
func (p *Policy) delay(sends int) time.Duration {
	step := maxDelay
	if shift := max(sends-1, 0); shift < 8 {
		step = min(initialDelay<<shift, maxDelay)
	}
	return step/2 + time.Duration(p.random.Int64N(int64(step/2)))
}
