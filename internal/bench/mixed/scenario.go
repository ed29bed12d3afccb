package mixed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/parsleybarrow/parsleybarrow/internal/standin/worker"
	"github.com/parsleybarrow/parsleybarrow/pkg/coloc"
	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Service is a latency-critical service with workers of its own. Its load is a
// sine around Load with amplitude Swing, both as fractions of full load.
type Service struct {
	Name    string
	Workers int
	Load    float64
	Swing   float64
	Period  time.Duration
	// Median and Sigma describe the log-normal service time without tasks.
	Median time.Duration
	Sigma  float64
}

func (s Service) aloneP99() time.Duration {
	const z99 = 2.326 // of the standard normal distribution
	return time.Duration(float64(s.Median) * math.Exp(z99*s.Sigma))
}

// Kind is a kind of batch task. Weight is the fraction of tasks of this kind.
// RunTime is the median and Sigma the log-normal spread of the true run time;
// MostProcessors is the largest number of whole processors of a task.
type Kind struct {
	Name           string
	Weight         float64
	RunTime        time.Duration
	Sigma          float64
	MostProcessors int64
}

// Scenario is a fleet with its services, tasks and interference. Lag and Noise
// apply to worker reports, Queue is the number of submitted tasks to keep
// unstarted, and Time is the virtual duration.
type Scenario struct {
	Services []Service
	Kinds    []Kind
	Impacts  []worker.Impact
	Capacity sched.Resources
	Lag      time.Duration
	Noise    float64
	Queue    int
	Duration time.Duration
}

// Interference is the scenario of the benchmark. Each service is disturbed by
// other kinds of task, so a policy that learns the pairs of service and kind
// can place almost every task without harm.
func Interference() Scenario {
	service := func(name string, workers int) Service {
		return Service{name, workers, 0.55, 0.3, time.Hour, 8 * time.Millisecond, 0.5}
	}
	return Scenario{
		Services: []Service{service("simdesk", 12), service("wellrec", 8), service("mapview", 4)},
		Kinds: []Kind{
			{"sweep", 0.6, 2 * time.Minute, 0.5, 3},
			{"roomModel", 0.2, 5 * time.Minute, 0.5, 4},
			{"reconcile", 0.2, 5 * time.Minute, 0.5, 4},
		},
		Impacts: []worker.Impact{
			{Service: "simdesk", Kind: "sweep", LatencyRise: 0.01},
			{Service: "simdesk", Kind: "roomModel", LatencyRise: 0.25},
			{Service: "simdesk", Kind: "reconcile", LatencyRise: 0.04},
			{Service: "wellrec", Kind: "sweep", LatencyRise: 0.03},
			{Service: "wellrec", Kind: "roomModel", LatencyRise: 0.02},
			{Service: "wellrec", Kind: "reconcile", LatencyRise: 0.3},
			{Service: "mapview", Kind: "roomModel", LatencyRise: 0.05},
			{Service: "mapview", Kind: "reconcile", LatencyRise: 0.05},
		},
		Capacity: sched.Resources{Processors: 12_000, Memory: 45 << 30},
		Lag:      5 * time.Second, Noise: 0.15, Queue: 60, Duration: 2 * time.Hour,
	}
}

func (s Scenario) truths() []worker.RunTimeModel {
	var list []worker.RunTimeModel
	for _, k := range s.Kinds {
		list = append(list, worker.RunTimeModel{Kind: k.Name, Median: k.RunTime, Sigma: k.Sigma})
	}
	return list
}

func (s Scenario) kindSettings() []sched.TaskKindSettings {
	var list []sched.TaskKindSettings
	for _, k := range s.Kinds {
		list = append(list, sched.TaskKindSettings{Name: k.Name, MaxAttempts: 3, MaxEvictions: 5})
	}
	return list
}

func (s Scenario) drawKind(r *rand.Rand) Kind {
	at := r.Float64()
	for _, k := range s.Kinds {
		if at -= k.Weight; at < 0 {
			return k
		}
	}
	return s.Kinds[len(s.Kinds)-1]
}

// Policy is a named change of the planner's options.
type Policy struct {
	Name    string
	Options func(o *plan.Options, s Scenario)
}

// Current returns the policy of the product, with the interference model.
func Current() Policy {
	return Policy{"current", func(o *plan.Options, _ Scenario) { o.Interference = coloc.New(coloc.Options{}) }}
}

// Result holds the metrics of one run of a scenario.
type Result struct {
	// P99Ratio is the largest value in Ratios.
	P99Ratio float64
	// Ratios holds, in the scenario's order, the 99th percentile of each
	// service's response time over that without tasks.
	Ratios []float64
	// BatchShare is the processor time that tasks used over the processor time
	// of all workers.
	BatchShare float64
	// Evictions counts attempts that were ended before they were done.
	Evictions int
}

// Run runs a scenario under a policy that starts without learned data. It
// returns the first error of the log or of a worker call.
func Run(s Scenario, p Policy, seed uint64) (Result, error) {
	x := newSim(s, p, seed)
	measure := newMeter(s, seed)
	steps := int(s.Duration / tick)
	for n := range steps {
		if err := x.step(n); err != nil {
			return Result{}, fmt.Errorf("step %d: %w", n, err)
		}
		if n%int(time.Second/tick) == 0 {
			measure.take(x)
		}
	}
	return measure.result(x), nil
}

// meter samples response times with and without the running tasks, and the
// processors that tasks use.
type meter struct {
	scenario       Scenario
	random         *rand.Rand
	withTasks      []*hdrhistogram.Histogram
	alone          []*hdrhistogram.Histogram
	busyProcessors float64
	capacity       float64
}

const (
	// requestsPerSecond is the number of sampled requests of one worker at
	// full load.
	requestsPerSecond = 20
	longestResponse   = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

func newMeter(s Scenario, seed uint64) *meter {
	m := &meter{scenario: s, random: rand.New(rand.NewPCG(seed, 3))}
	for range s.Services {
		m.withTasks = append(m.withTasks, hdrhistogram.New(1, longestResponse, significantDigits))
		m.alone = append(m.alone, hdrhistogram.New(1, longestResponse, significantDigits))
	}
	return m
}

// take samples the requests of one second on every worker.
func (m *meter) take(x *sim) {
	n := 0
	for i, s := range m.scenario.Services {
		for range s.Workers {
			w := x.pool.Worker(x.members[n].ID)
			n++
			m.busyProcessors += w.ProcessorsInUse()
			m.capacity += float64(m.scenario.Capacity.Processors)
			slow := w.Slowdown(s.Name)
			for range int(requestsPerSecond * w.Load(s.Name)) {
				t := float64(s.Median/time.Microsecond) * math.Exp(s.Sigma*m.random.NormFloat64())
				// RecordValue fails only above one minute, which these
				// distributions don't reach.
				_ = m.alone[i].RecordValue(int64(t))
				_ = m.withTasks[i].RecordValue(int64(t * slow))
			}
		}
	}
}

func (m *meter) result(x *sim) Result {
	const p99 = 99
	c := x.pool.Observer().Counts()
	r := Result{BatchShare: m.busyProcessors / m.capacity, Evictions: c.Checkpointed + c.Stopped}
	for i := range m.scenario.Services {
		ratio := float64(m.withTasks[i].ValueAtQuantile(p99)) / float64(m.alone[i].ValueAtQuantile(p99))
		r.Ratios = append(r.Ratios, ratio)
		r.P99Ratio = max(r.P99Ratio, ratio)
	}
	return r
}
