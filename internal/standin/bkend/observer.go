package bkend

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// noCancel hides the cancellation of the embedded context, so that work goes on
// after the caller has closed the connection.
type noCancel struct{ context.Context }

// Done implements context.Context.
func (noCancel) Done() <-chan struct{} { return nil }

// Err implements context.Context.
func (noCancel) Err() error { return nil }

// Observer counts the requests that arrived and ran at the servers that share
// it. It is safe for use by many goroutines.
type Observer struct {
	mu       sync.Mutex
	runsByID map[string]int // by request id
	counts   Counts
}

// Counts holds the totals of an Observer.
type Counts struct {
	// Arrived counts requests whose body was read whole.
	Arrived int64 `json:"arrived"`
	// Refused counts requests that found no free slot or a leaving server. It
	// leaves out connections beyond Server.Connections.
	Refused int64 `json:"refused"`
	Runs    int64 `json:"runs"`
	// IDs counts the distinct request ids that ran.
	IDs int64 `json:"ids"`
	// DuplicateRuns counts the runs of a request id after its first run.
	// Retries of idempotent requests may cause them.
	DuplicateRuns int64 `json:"duplicateRuns"`
	// DuplicateUnrepeatable counts the duplicate runs of non-idempotent
	// requests. Any such run is a fault of the request path.
	DuplicateUnrepeatable int64 `json:"duplicateUnrepeatable"`
	// AfterLeaving counts requests that reached a leaving server.
	// LastAfterLeaving is the longest time from SetLeaving to such a request.
	AfterLeaving     int64         `json:"afterLeaving"`
	LastAfterLeaving time.Duration `json:"lastAfterLeavingNanos"`
	// Partners and Servers count runs by partner and by server.
	Partners map[string]int64           `json:"partners"`
	Servers  map[sched.InstanceID]int64 `json:"servers"`
}

// NewObserver returns an observer with all counts at zero.
func NewObserver() *Observer {
	return &Observer{
		runsByID: map[string]int{},
		counts:   Counts{Partners: map[string]int64{}, Servers: map[sched.InstanceID]int64{}},
	}
}

// Runs returns how often the request with the given id ran.
func (o *Observer) Runs(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runsByID[id]
}

// Counts returns a copy of the totals.
func (o *Observer) Counts() Counts {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.counts
	c.Partners = maps.Clone(c.Partners)
	c.Servers = maps.Clone(c.Servers)
	return c
}

func (o *Observer) recordArrival() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Arrived++
}

func (o *Observer) recordRefusal() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Refused++
}

func (o *Observer) recordLeavingArrival(after time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.AfterLeaving++
	o.counts.LastAfterLeaving = max(o.counts.LastAfterLeaving, after)
}

func (o *Observer) recordRun(server sched.InstanceID, h http.Header) {
	id := h.Get(sched.HeaderRequestID)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Runs++
	o.counts.Servers[server]++
	o.counts.Partners[h.Get(sched.HeaderPartner)]++
	if id == "" {
		return
	}
	o.runsByID[id]++
	if o.runsByID[id] == 1 {
		o.counts.IDs++
		return
	}
	o.counts.DuplicateRuns++
	if h.Get(sched.HeaderUnrepeatable) == "true" {
		o.counts.DuplicateUnrepeatable++
	}
}
