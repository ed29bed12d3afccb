package fleet

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/standin/bkend"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/logsvc"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/worker"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Area describes one data centre.
type Area struct {
	DataCentre sched.DataCentre
	Region     sched.Region
	Workers    int
	// Entries is the number of entry instances that the user runs there.
	Entries int
	// StoreDelay is the one-way latency to the log and the list.
	StoreDelay time.Duration
}

// One-way latencies to the platform's store, which is in the first region.
const (
	nearStoreDelay = time.Millisecond
	farStoreDelay  = 20 * time.Millisecond
)

// Setup describes a platform. Every worker carries one backend server.
type Setup struct {
	Seed     uint64
	Areas    []Area
	RackSize int
	// Capacity is what tasks may hold on one worker.
	Capacity sched.Resources

	Service     string
	Slots       int
	Connections int
	// ServiceTime and ServiceSigma describe the log-normal service time.
	ServiceTime  time.Duration
	ServiceSigma float64
	AnswerBytes  int

	Kinds   []worker.RunTimeModel
	Impacts []worker.Impact
	// Noise and ReportLag are those of the workers' measurements.
	Noise       float64
	ReportLag   time.Duration
	CheckTokens bool

	ListLag   time.Duration
	Retention logsvc.Retention
}

// commonSetup returns the settings that both customers share. A worker has 16 processors and 60 GiB;
// a quarter of them is set aside for its service.
func commonSetup() Setup {
	return Setup{
		Seed:     1,
		Capacity: sched.Resources{Processors: 12_000, Memory: 45 << 30},
		Slots:    bkend.DefaultSlots, Connections: bkend.DefaultConnections,
		ServiceTime: 8 * time.Millisecond, ServiceSigma: 0.5, AnswerBytes: 2000,
		Noise: 0.1, ReportLag: 5 * time.Second, CheckTokens: true,
		ListLag:   10 * time.Second,
		Retention: logsvc.Retention{Records: 200_000, Age: 24 * time.Hour},
	}
}

// Tunog is the platform of Tunog Kooperatiba: service simdesk, task kinds
// sweep and roomModel.
func Tunog() Setup {
	s := commonSetup()
	s.Areas = []Area{
		{"quezon-a", "luzon", 22, 3, nearStoreDelay},
		{"pasig-b", "luzon", 22, 3, nearStoreDelay},
		{"cebu-a", "visayas", 22, 3, farStoreDelay},
	}
	s.RackSize = 11
	s.Service = "simdesk"
	s.Kinds = []worker.RunTimeModel{
		{Kind: "sweep", Median: 40 * time.Second, Sigma: 0.6},
		{Kind: "roomModel", Median: 20 * time.Minute, Sigma: 1},
	}
	s.Impacts = []worker.Impact{
		{Service: "simdesk", Kind: "sweep", LatencyRise: 0.05},
		{Service: "simdesk", Kind: "roomModel", LatencyRise: 0.3},
	}
	return s
}

// Tiefenquell is the platform of Tiefenquell Bohrarchiv: service wellrec, task
// kinds reconcile and watcher.
func Tiefenquell() Setup {
	s := commonSetup()
	s.Areas = []Area{
		{"obb-a", "obb", 16, 2, nearStoreDelay},
		{"obb-b", "obb", 16, 2, nearStoreDelay},
		{"nby-a", "nby", 16, 2, farStoreDelay},
	}
	s.RackSize = 8
	s.Service = "wellrec"
	s.Kinds = []worker.RunTimeModel{
		{Kind: "reconcile", Median: time.Minute, Sigma: 0.8},
		{Kind: "watcher", Median: 10 * time.Minute, Sigma: 0.3},
	}
	s.Impacts = []worker.Impact{
		{Service: "wellrec", Kind: "reconcile", LatencyRise: 0.15},
		{Service: "wellrec", Kind: "watcher", LatencyRise: 0.02},
	}
	return s
}

// setups are the descriptions that the command line can name.
var setups = map[string]func() Setup{"tunog": Tunog, "tiefenquell": Tiefenquell}

// WithWorkers returns a copy with the given number of workers per data centre.
func (s Setup) WithWorkers(perArea int) Setup {
	s.Areas = append([]Area(nil), s.Areas...)
	for n := range s.Areas {
		s.Areas[n].Workers = perArea
	}
	return s
}

// WithSeed returns a copy with the given seed.
func (s Setup) WithSeed(seed uint64) Setup {
	s.Seed = seed
	return s
}
