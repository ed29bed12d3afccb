package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// firstDelay is about the time in which a busy backend server frees a slot.
	firstDelay = 2 * time.Millisecond
	// longestDelay bounds a single wait.
	longestDelay = 250 * time.Millisecond
	// leastSendTime has to remain for another send. One that starts later
	// would likely end by the deadline with an unknown outcome.
	leastSendTime = 50 * time.Millisecond
	// spareRetries are allowed to a service that had no traffic before.
	spareRetries = 10
	// resendShare bounds the sends that follow refusals, as a share of the
	// requests, so that a full fleet isn't loaded with refusals.
	resendShare = 0.1
)

// Policy decides whether and when to retry a request of one service. It is
// safe for concurrent use.
type Policy struct {
	mu     sync.Mutex
	random *rand.Rand
	share  float64
	// tokens pay for retries, resends for sends after a refusal.
	tokens  float64
	resends float64
}

// NewPolicy returns a policy that allows retries for the given share of the
// requests, 0 to 1.
func NewPolicy(share float64, seed uint64) *Policy {
	return &Policy{random: rand.New(rand.NewPCG(seed, seed)), share: share, tokens: spareRetries, resends: spareRetries}
}

// Request counts a request; each adds its share to the budget.
func (p *Policy) Request() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens = min(p.tokens+p.share, spareRetries)
	p.resends = min(p.resends+resendShare, spareRetries)
}

// Retry takes one retry from the budget and returns the wait before it. sends
// is the number of sends so far. It returns false if the budget is used up or
// too little time would remain for the send.
func (p *Policy) Retry(sends int, now, deadline time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.share <= 0 {
		return 0, false
	}
	return p.spend(&p.tokens, sends, now, deadline)
}

// Resend returns the wait before a request that certainly did not run is sent
// elsewhere. It returns false if the fleet refuses too much or too little time
// would remain for the send.
func (p *Policy) Resend(sends int, now, deadline time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spend(&p.resends, sends, now, deadline)
}

// spend takes one send from a budget. The caller holds the lock.
func (p *Policy) spend(budget *float64, sends int, now, deadline time.Time) (time.Duration, bool) {
	if *budget < 1 {
		return 0, false
	}
	d := p.delay(sends)
	if !now.Add(d + leastSendTime).Before(deadline) {
		return 0, false
	}
	*budget--
	return d, true
}

// Pause returns the wait before the next look for a backend server with a free
// slot. Nothing is sent, so the budget isn't touched. It returns false if the
// wait would pass the deadline.
func (p *Policy) Pause(looks int, now, deadline time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.delay(looks)
	return d, now.Add(d).Before(deadline)
}

// delay returns a wait between half and the whole of the exponential step.
func (p *Policy) delay(sends int) time.Duration {
	step := longestDelay
	if shift := max(sends-1, 0); shift < 8 {
		step = min(firstDelay<<shift, longestDelay)
	}
	return step/2 + time.Duration(p.random.Int64N(int64(step/2)))
}
