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

// Load is one run of load. Exported fields are set before Run.
type Load struct {
	HTTP    *http.Client
	Seed    uint64
	Service string
	Partner string
	Team    string
	Kinds   []string
	// Callers returns the addresses that take requests now.
	Callers func() []string
	// Requests, Unrepeatable and Tasks are rates per second.
	Requests     int
	Unrepeatable int
	Tasks        int

	mu      sync.Mutex
	counts  Counts
	ends    []End
	tasks   []string
	latency *hdrhistogram.Histogram
	mixed   int64
	work    sync.WaitGroup
	slots   chan struct{}
}

// Counts is what the callers counted. Accepted is what was issued and not
// refused.
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

// End is how one request ended for its caller.
type End struct {
	ID           string
	Unrepeatable bool
	Outcome      sched.Outcome
}

const (
	// maxInFlight bounds the requests that run at a time.
	maxInFlight = 400
	// longestLatency is the largest latency that is recorded, in microseconds.
	longestLatency = 60_000_000
	// repeatShare and raceShare are the shares of unrepeatable requests that
	// are sent again after their end, and to two instances at a time.
	repeatShare = 0.25
	raceShare   = 0.15
)

// Run issues load until the context ends and returns when all of it has ended.
func (l *Load) Run(c context.Context) {
	l.mu.Lock()
	l.latency = hdrhistogram.New(1, longestLatency, 3)
	l.slots = make(chan struct{}, maxInFlight)
	l.mu.Unlock()
	var makers sync.WaitGroup
	makers.Go(func() { l.every(c, l.Requests, func(n int) { l.request(caller(l.Seed, n), false) }) })
	makers.Go(func() { l.every(c, l.Unrepeatable, func(n int) { l.request(caller(l.Seed, ^n), true) }) })
	makers.Go(func() { l.every(c, l.Tasks, func(n int) { l.task(l.Kinds[n%len(l.Kinds)], caller(l.Seed, n<<32)) }) })
	makers.Wait()
	l.work.Wait()
}

// caller returns the random choices of one caller.
func caller(seed uint64, n int) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(n))) }

// every runs f at a rate until the context ends. What is late is not made up
// for, so that a slow machine gets less load rather than a flood.
func (l *Load) every(c context.Context, rate int, f func(n int)) {
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
		case l.slots <- struct{}{}:
		case <-c.Done():
			return
		}
		l.work.Go(func() {
			defer func() { <-l.slots }()
			f(n)
		})
	}
}

// request issues one request and, if it is unrepeatable, sometimes a second
// one with the same id.
func (l *Load) request(r *rand.Rand, once bool) {
	id := uuid.Must(uuid.NewV7()).String()
	l.mu.Lock()
	l.counts.Issued++
	l.mu.Unlock()
	start := time.Now()
	var second sync.WaitGroup
	var raced, repeated sched.Outcome
	if once && r.Float64() < raceShare {
		other := rand.New(rand.NewPCG(r.Uint64(), 0))
		second.Go(func() { raced = l.send(other, id, once) })
	}
	o := l.send(r, id, once)
	took := time.Since(start)
	second.Wait()
	if once && r.Float64() < repeatShare {
		repeated = l.send(r, id, once)
	}
	l.ended(End{id, once, together(o, raced, repeated)}, took)
}

// together returns what several sends of one id tell about it: a refusal of one
// does not say that another did not run.
func together(sends ...sched.Outcome) sched.Outcome {
	for _, o := range []sched.Outcome{sched.OutcomeAnswered, sched.OutcomeFailed, sched.OutcomeUnknown} {
		if slices.Contains(sends, o) {
			return o
		}
	}
	return sched.OutcomeRefusedNotRun
}

func (l *Load) ended(e End, took time.Duration) {
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

// Counts returns the counts so far.
func (l *Load) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.counts
	n.Accepted = n.Issued - n.RefusedNotRun
	n.TasksAccepted = int64(len(l.tasks))
	return n
}

// Ends returns how every request ended.
func (l *Load) Ends() []End {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]End(nil), l.ends...)
}

// AcceptedTasks returns the ids of the tasks that were accepted.
func (l *Load) AcceptedTasks() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.tasks...)
}

// MixedUp returns the number of answers that belong to another request.
func (l *Load) MixedUp() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mixed
}

// P99 returns the 99th percentile of the latency of answered repeatable
// requests, retries by the caller included.
func (l *Load) P99() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latency == nil {
		return 0
	}
	return time.Duration(l.latency.ValueAtQuantile(99)) * time.Microsecond
}
