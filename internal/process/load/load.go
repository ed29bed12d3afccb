package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Generator generates load and counts the results. Set the exported fields before
// Run.
type Generator struct {
	HTTP    *http.Client
	Seed    uint64
	Service string
	Partner string
	Team    string
	// TaskKinds are the task kinds, submitted in turn.
	TaskKinds []string
	// CallerAddresses returns the addresses that accept requests now.
	CallerAddresses func() []string
	// RequestRate, UnrepeatableRate and TaskRate are rates per second.
	RequestRate      int
	UnrepeatableRate int
	TaskRate         int

	mu      sync.Mutex
	counts  Counts
	ends    []RequestOutcome
	tasks   []string
	latency *hdrhistogram.Histogram
	mixedUp int64
	work    sync.WaitGroup
	// inFlight holds an element for each request or task that runs.
	inFlight chan struct{}
}

// Counts holds the results at the callers. Accepted counts the issued requests
// that were not refused.
type Counts struct {
	Issued        int64 `json:"issued"`
	Accepted      int64 `json:"accepted"`
	Answered      int64 `json:"answered"`
	RefusedNotRun int64 `json:"refusedNotRun"`
	Unknown       int64 `json:"unknown"`
	Failed        int64 `json:"failed"`
	TasksAccepted int64 `json:"tasksAccepted"`
	TasksRefused  int64 `json:"tasksRefused"`
	TasksUnknown  int64 `json:"tasksUnknown"`
}

// RequestOutcome is the outcome of one request at its caller.
type RequestOutcome struct {
	ID           string
	Unrepeatable bool
	Outcome      sched.Outcome
}

const (
	// maxInFlight bounds the requests and submissions that run at a time.
	maxInFlight = 400
	// longestLatency is the largest latency that is recorded, in microseconds.
	longestLatency = 60_000_000
	// repeatShare is the share of unrepeatable requests that are sent again
	// after their end, raceShare the share that is sent twice at the same time.
	repeatShare = 0.25
	raceShare   = 0.15
)

// Run generates load until the context ends, and returns when all requests and
// submissions have ended.
func (l *Generator) Run(c context.Context) {
	l.mu.Lock()
	l.latency = hdrhistogram.New(1, longestLatency, 3)
	l.inFlight = make(chan struct{}, maxInFlight)
	l.mu.Unlock()
	var generators sync.WaitGroup
	generators.Go(func() { l.atRate(c, l.RequestRate, func(n int) { l.request(callerRand(l.Seed, n), false) }) })
	generators.Go(func() { l.atRate(c, l.UnrepeatableRate, func(n int) { l.request(callerRand(l.Seed, ^n), true) }) })
	generators.Go(func() {
		l.atRate(c, l.TaskRate, func(n int) { l.task(l.TaskKinds[n%len(l.TaskKinds)], callerRand(l.Seed, n<<32)) })
	})
	generators.Wait()
	l.work.Wait()
}

// callerRand returns the random source of caller number n.
func callerRand(seed uint64, n int) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(n))) }

// atRate runs f at a rate per second until the context ends. Calls that are
// late are not made up for, so that a slow machine gets less load instead of
// bursts.
func (l *Generator) atRate(c context.Context, rate int, f func(n int)) {
	if rate <= 0 {
		return
	}
	t := time.NewTicker(time.Second / time.Duration(rate))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-c.Done():
			return
		case <-t.C:
		}
		select {
		case l.inFlight <- struct{}{}:
		case <-c.Done():
			return
		}
		l.work.Go(func() {
			defer func() { <-l.inFlight }()
			f(n)
		})
	}
}

// request sends one request. An unrepeatable one is sometimes sent again with
// the same id, at the same time or after its end.
func (l *Generator) request(r *rand.Rand, unrepeatable bool) {
	id := uuid.Must(uuid.NewV7()).String()
	l.mu.Lock()
	l.counts.Issued++
	l.mu.Unlock()
	start := time.Now()
	var second sync.WaitGroup
	var raced, repeated sched.Outcome
	if unrepeatable && r.Float64() < raceShare {
		other := rand.New(rand.NewPCG(r.Uint64(), 0))
		second.Go(func() { raced = l.send(other, id, unrepeatable) })
	}
	o := l.send(r, id, unrepeatable)
	took := time.Since(start)
	second.Wait()
	if unrepeatable && r.Float64() < repeatShare {
		repeated = l.send(r, id, unrepeatable)
	}
	l.record(RequestOutcome{id, unrepeatable, combine(o, raced, repeated)}, took)
}

// combine returns the outcome of a request from those of the sends of its id. A
// refusal counts only if no send had another outcome, since a refused send does
// not prove that another did not run.
func combine(sends ...sched.Outcome) sched.Outcome {
	for _, o := range []sched.Outcome{sched.OutcomeAnswered, sched.OutcomeFailed, sched.OutcomeUnknown} {
		if slices.Contains(sends, o) {
			return o
		}
	}
	return sched.OutcomeRefusedNotRun
}

// record counts the end of a request. took is recorded only for repeatable
// requests that were answered.
func (l *Generator) record(e RequestOutcome, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends = append(l.ends, e)
	switch e.Outcome {
	case sched.OutcomeAnswered:
		l.counts.Answered++
		if !e.Unrepeatable {
			_ = l.latency.RecordValue(min(took.Microseconds(), longestLatency))
		}
	case sched.OutcomeRefusedNotRun:
		l.counts.RefusedNotRun++
	case sched.OutcomeFailed:
		l.counts.Failed++
	case sched.OutcomeUnknown:
		l.counts.Unknown++
	}
}

// Counts returns the counts so far. It may be called during Run.
func (l *Generator) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.counts
	n.Accepted = n.Issued - n.RefusedNotRun
	n.TasksAccepted = int64(len(l.tasks))
	return n
}

// Outcomes returns the outcomes of all requests that have ended.
func (l *Generator) Outcomes() []RequestOutcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]RequestOutcome(nil), l.ends...)
}

// AcceptedTasks returns the ids of the tasks that were accepted.
func (l *Generator) AcceptedTasks() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.tasks...)
}

// MixedUp returns the number of answers with the id of another request.
func (l *Generator) MixedUp() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mixedUp
}

// P99 returns the 99th percentile of the latency of answered repeatable
// requests, including retries by the caller. Latencies above 60 s count as 60 s.
func (l *Generator) P99() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latency == nil {
		return 0
	}
	return time.Duration(l.latency.ValueAtQuantile(99)) * time.Microsecond
}
