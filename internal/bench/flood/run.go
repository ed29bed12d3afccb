package flood

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/bench/vtime"

	"github.com/parsleybarrow/parsleybarrow/pkg/admit"
	"github.com/parsleybarrow/parsleybarrow/pkg/conns"
	"github.com/parsleybarrow/parsleybarrow/pkg/retry"
	"github.com/parsleybarrow/parsleybarrow/pkg/route"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	service = "simdesk"
	// warmUp is left out of the figures; the scenario's fault or flood begins
	// at its half.
	warmUp       = 2 * time.Second
	measuredTime = 6 * time.Second
	// baseLoad is the load of each class as a part of its guarantee.
	baseLoad = 0.8
	// floodFactor is the flood's load as a multiple of the fleet's capacity.
	floodFactor = 4.0
	// baselineSends is the largest number of sends of a request in the baseline.
	baselineSends     = 3
	unrepeatableShare = 0.1
	requestBytes      = 2 << 10
	crossRegionBudget = 400 << 10
)

var (
	shares    = [sched.UrgencyUrgent + 1]float64{0, 0.2, 0.3, 0.5}
	deadlines = [sched.UrgencyUrgent + 1]time.Duration{0, 4 * time.Second, 2 * time.Second, time.Second}
)

// Sharing selects how instances share the slots of the fleet.
type Sharing int

// Ways of sharing.
const (
	SharingOptimistic Sharing = iota
	SharingFixed
	SharingDemand
)

// Scenario describes the load and the faults of a run.
type Scenario struct {
	Name string
	// Flood is the class that arrives in excess, 0 for none.
	Flood sched.Urgency
	// HungShare is the fraction of the idle connections that hang, LostInstances the number of
	// instances that die, SlowWorkers the number of workers that become slow.
	HungShare     float64
	LostInstances int
	SlowWorkers   int
	// Skew is the part of the load that the first instance gets, 0 for an
	// even load.
	Skew float64
	// Load multiplies the base load, 0 for 1.
	Load float64
	// Measure is the class whose p99 is reported, 0 for the most urgent one
	// outside the flood.
	Measure sched.Urgency
}

// Variant is the policy under comparison.
type Variant struct {
	Name     string
	Baseline bool
	Sharing  Sharing
}

// Report holds the figures of one run.
type Report struct {
	// P99 is the 99th percentile latency of Scenario.Measure.
	P99 time.Duration
	// MinAnsweredShare is the minimum, over the classes outside the flood, of requests
	// answered in time over the smaller of offered load and guarantee.
	MinAnsweredShare float64
	// SlotUtilization is the busy fraction of all slots.
	SlotUtilization float64
	Unknown         int
	Amplification   float64
}

// instance is one entry instance with its real decision code.
type instance struct {
	centre  sched.DataCentre
	dead    bool
	control *admit.Controller
	router  *route.Router
	retry   *retry.Policy
	links   map[sched.InstanceID]*workerConns
	waiting map[*admit.Ticket]*call
	// demand counts arrivals for SharingDemand.
	demand float64
}

// call is one request of a caller.
type call struct {
	class        sched.Urgency
	unrepeatable bool
	start        time.Time
	deadline     time.Time
	instance     *instance
	ticket       *admit.Ticket
	tried        []sched.InstanceID
	sends        int
	lookups      int
	mayHaveRun   bool
	ended        bool
}

type simulation struct {
	vtime.Queue
	scenario    Scenario
	variant     Variant
	random      *rand.Rand
	workers     []*worker
	workersByID map[sched.InstanceID]*worker
	instances   []*instance
	measureFrom time.Time
	latencies   [sched.UrgencyUrgent + 1][]time.Duration
	offered     [sched.UrgencyUrgent + 1]int
	answered    [sched.UrgencyUrgent + 1]int
	accepted    int
	sends       int
	unknown     int
	busyTime    time.Duration
}

// Run simulates a scenario with a number of workers.
func Run(s Scenario, v Variant, workers int, seed uint64) Report {
	r := &simulation{
		scenario: s, variant: v, random: rand.New(rand.NewPCG(seed, seed)), workers: makeWorkers(workers),
		workersByID: map[sched.InstanceID]*worker{},
	}
	r.Now = time.Unix(1_800_000_000, 0)
	r.measureFrom = r.Now.Add(warmUp)
	var members []sched.Member
	for _, w := range r.workers {
		r.workersByID[w.member.ID] = w
		members = append(members, w.member)
	}
	for n := range instances {
		r.instances = append(r.instances, newInstance(n, members, seed))
	}
	capacity := float64(workers*slots) / serviceMean.Seconds()
	load := baseLoad
	if s.Load > 0 {
		load *= s.Load
	}
	for u := sched.UrgencyBackground; u <= sched.UrgencyUrgent; u++ {
		r.arrivals(u, capacity*shares[u]*load, 0)
	}
	if s.Flood != 0 {
		r.arrivals(s.Flood, capacity*floodFactor, warmUp/2)
	}
	r.After(warmUp/2, r.injectFault)
	if v.Sharing == SharingDemand {
		r.After(time.Second, r.shareByDemand)
	}
	r.Run(r.measureFrom.Add(measuredTime))
	return r.report()
}

func newInstance(n int, members []sched.Member, seed uint64) *instance {
	d := centres[n%len(centres)]
	i := &instance{
		centre: d, retry: retry.NewPolicy(0.1, seed+uint64(n)), links: map[sched.InstanceID]*workerConns{},
		waiting: map[*admit.Ticket]*call{},
		router:  &route.Router{Region: region(d), DataCentre: d, Seed: seed + uint64(n)*100},
		control: admit.New(admit.Shares{
			Classes: shares, Partners: map[string]float64{"tunog": 1}, QueueRequests: 200, QueueBytes: 16 << 20,
		}, seed+uint64(n)),
	}
	i.router.Update(members, instances, crossRegionBudget)
	i.control.SetCapacity(service, float64(len(members)*slots), float64(len(members)*slots)/instances)
	for _, m := range members {
		i.links[m.ID] = &workerConns{byTracked: map[*conns.Conn]*connection{}}
	}
	return i
}

// arrivals generates a Poisson stream of requests.
func (r *simulation) arrivals(u sched.Urgency, rate float64, from time.Duration) {
	var next func()
	next = func() {
		r.arrive(u)
		r.After(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	r.After(from, next)
}

// chooseInstance draws a live instance. Dead ones are drawn again at once, like
// callers that retry elsewhere before the load balancer notices.
func (r *simulation) chooseInstance() *instance {
	for {
		n := r.random.IntN(len(r.instances))
		if r.scenario.Skew > 0 && r.random.Float64() < r.scenario.Skew {
			n = 0
		}
		if i := r.instances[n]; !i.dead {
			return i
		}
	}
}

func (r *simulation) arrive(u sched.Urgency) {
	c := &call{class: u, unrepeatable: r.random.Float64() < unrepeatableShare, start: r.Now, deadline: r.Now.Add(deadlines[u])}
	r.submit(c)
}

func (r *simulation) submit(c *call) {
	c.instance = r.chooseInstance()
	c.instance.demand++
	c.ticket = &admit.Ticket{
		Service: service, Partner: "tunog", Urgency: c.class, Bytes: requestBytes, Deadline: c.deadline,
	}
	r.After(c.deadline.Sub(r.Now), func() { r.expire(c) })
	if r.variant.Baseline {
		r.send(c)
		return
	}
	o := c.instance.control.Admit(c.ticket, r.Now)
	if o.Displaced != nil {
		r.finish(c.instance.waiting[o.Displaced], sched.OutcomeRefusedNotRun)
	}
	switch {
	case o.Granted:
		r.send(c)
	case o.Code != 0:
		r.finish(c, sched.OutcomeRefusedNotRun)
	default:
		c.instance.waiting[c.ticket] = c
	}
}

// finish records the outcome of a request and sends those that admission
// control releases in its place.
func (r *simulation) finish(c *call, o sched.Outcome) {
	if c == nil || c.ended {
		return
	}
	c.ended = true
	delete(c.instance.waiting, c.ticket)
	if r.Now.After(r.measureFrom) {
		r.offered[c.class]++
		if c.sends > 0 {
			r.accepted++
			r.sends += c.sends
		}
		switch o {
		case sched.OutcomeAnswered:
			r.answered[c.class]++
			r.latencies[c.class] = append(r.latencies[c.class], r.Now.Sub(c.start))
		case sched.OutcomeUnknown:
			r.unknown++
		case sched.OutcomeRefusedNotRun, sched.OutcomeFailed:
		}
	}
	if r.variant.Baseline {
		return
	}
	c.instance.control.Cancel(c.ticket)
	for _, t := range c.instance.control.Release(c.ticket, r.Now) {
		r.send(c.instance.waiting[t])
	}
}

// expire ends a request at its deadline.
func (r *simulation) expire(c *call) {
	if c.ended {
		return
	}
	if c.mayHaveRun {
		r.finish(c, sched.OutcomeUnknown)
		return
	}
	r.finish(c, sched.OutcomeRefusedNotRun)
}

// report computes the metrics of the run.
func (r *simulation) report() Report {
	p := Report{MinAnsweredShare: 1, Unknown: r.unknown}
	for u := sched.UrgencyUrgent; u >= sched.UrgencyBackground; u-- {
		if u == r.scenario.Flood || r.offered[u] == 0 {
			continue
		}
		measure := r.scenario.Measure == 0 || r.scenario.Measure == u
		due := min(float64(r.offered[u]), float64(len(r.workers)*slots)*shares[u]*measuredTime.Seconds()/serviceMean.Seconds())
		p.MinAnsweredShare = min(p.MinAnsweredShare, float64(r.answered[u])/due)
		if measure && p.P99 == 0 && len(r.latencies[u]) > 0 {
			slices.Sort(r.latencies[u])
			p.P99 = r.latencies[u][len(r.latencies[u])*99/100]
		}
	}
	p.SlotUtilization = float64(r.busyTime) / float64(measuredTime) / float64(len(r.workers)*slots)
	if r.accepted > 0 {
		p.Amplification = float64(r.sends) / float64(r.accepted)
	}
	return p
}
