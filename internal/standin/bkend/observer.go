package bkend

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// noCancel is a context that outlives its caller.
type noCancel struct{ context.Context }

// Done implements context.Context.
func (noCancel) Done() <-chan struct{} { return nil }

// Err implements context.Context.
func (noCancel) Err() error { return nil }

// Observer counts what really ran at the servers that share it. It is safe for
// use by many goroutines.
type Observer struct {
	mu     sync.Mutex
	runs   map[string]int // by request id
	counts Counts
}

// Counts is the observer's summary.
type Counts struct {
	Arrived int64 `json:"arrived"`
	// Refused counts requests that were refused without running.
	Refused int64 `json:"refused"`
	Runs    int64 `json:"runs"`
	// IDs counts the different request ids that ran.
	IDs int64 `json:"ids"`
	// DuplicateRuns counts runs of an id after its first, which retries of
	// idempotent requests may cause.
	DuplicateRuns int64 `json:"duplicateRuns"`
	// DuplicateUnrepeatable counts those of non-idempotent requests, which
	// must never happen.
	DuplicateUnrepeatable int64 `json:"duplicateUnrepeatable"`
	// AfterLeaving counts requests that reached a leaving server, and
	// LastAfterLeaving is how long after it began to leave the last one did.
	AfterLeaving     int64         `json:"afterLeaving"`
	LastAfterLeaving time.Duration `json:"lastAfterLeavingNanos"`
	// Partners and Servers count runs.
	Partners map[string]int64           `json:"partners"`
	Servers  map[sched.InstanceID]int64 `json:"servers"`
}

// NewObserver returns an observer with all counts at zero.
func NewObserver() *Observer {
	return &Observer{
		runs:   map[string]int{},
		counts: Counts{Partners: map[string]int64{}, Servers: map[sched.InstanceID]int64{}},
	}
}

// Runs returns how often the request of the given id ran.
func (o *Observer) Runs(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs[id]
}

// Counts returns a copy of the summary.
func (o *Observer) Counts() Counts {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.counts
	c.Partners = maps.Clone(c.Partners)
	c.Servers = maps.Clone(c.Servers)
	return c
}

func (o *Observer) arrived() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Arrived++
}

func (o *Observer) refused() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Refused++
}

func (o *Observer) arrivedLate(after time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.AfterLeaving++
	o.counts.LastAfterLeaving = max(o.counts.LastAfterLeaving, after)
}

func (o *Observer) ran(server sched.InstanceID, h http.Header) {
	id := h.Get(sched.HeaderRequestID)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Runs++
	o.counts.Servers[server]++
	o.counts.Partners[h.Get(sched.HeaderPartner)]++
	if id == "" {
		return
	}
	o.runs[id]++
	if o.runs[id] == 1 {
		o.counts.IDs++
		return
	}
	o.counts.DuplicateRuns++
	if h.Get(sched.HeaderUnrepeatable) == "true" {
		o.counts.DuplicateUnrepeatable++
	}
}
