package batch

import (
	"math/rand/v2"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/bench/vtime"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Faults are the probabilities of faults per message, and delays.
type Faults struct {
	LoseCall   float64
	LoseAnswer float64
	// DuplicateCall applies a call a second time, up to MaxDelay later.
	DuplicateCall float64
	// DelayCall applies a call up to MaxDelay later; its answer is lost.
	DelayCall float64
	MaxDelay  time.Duration
	// LoseAck loses the acknowledgement of an append that took effect.
	LoseAck float64
	// LateAppend reports an append as uncertain and adds the record later.
	LateAppend float64
}

// Config describes a simulated data centre.
type Config struct {
	Seed     uint64
	Planners int
	Workers  []sched.Member
	Settings *sched.Settings
	// TaskBehavior returns how a task behaves on a worker.
	TaskBehavior func(t sched.TaskID, kind string, worker sched.InstanceID) TaskBehavior
	// Options changes the options of a planner before it starts; may be nil.
	Options func(o *plan.Options)
	// MaxClockOffset is the largest distance of a clock from the true time, at
	// most half of the clock error bound.
	MaxClockOffset time.Duration
	// CheckTokens makes workers refuse lower terms.
	CheckTokens bool
	// Latency is the one-way latency of every message, 2 ms if 0.
	Latency time.Duration
	// Retain is the number of records that the log holds, all if 0.
	Retain int
	// Tick is the planners' period, 100 ms if 0.
	Tick time.Duration
}

// TaskBehavior is the true run time and outcome of a task.
type TaskBehavior struct {
	RunTime time.Duration
	Fails   bool
}

// Sim is a simulation. It runs in the caller's goroutine.
type Sim struct {
	config Config
	random *rand.Rand
	queue  vtime.Queue

	// Faults may be changed between calls of Run.
	Faults Faults
	// LogDown makes the log refuse everything.
	LogDown bool
	// LogDelay is added to the time of every append and read.
	LogDelay time.Duration

	log       []sched.Record
	trimmed   int
	reference *ledger.Ledger // replays every appended record

	hosts       []*host
	workers     map[sched.InstanceID]*worker
	workerList  []*worker
	checkpoints map[sched.CheckpointID]time.Duration

	// Observer counts what happened at the workers.
	Observer *Observer
	// Accepted holds the tasks whose submission was answered with accepted.
	Accepted map[sched.TaskID]bool
	// Replies counts the answers to submissions and cancellations by code.
	Replies map[sched.Code]int
	// Calls counts the exchanges with workers.
	Calls int
	// StepTime is the real time that the planners took.
	StepTime time.Duration
	// Wasted is the processor time of attempts whose work was lost.
	Wasted time.Duration
	// Appends and AppendBytes count what reached the log.
	Appends     int
	AppendBytes int
}

// start is the beginning of virtual time.
var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// New returns a simulation whose planners are running.
func New(c Config) *Sim {
	if c.Latency == 0 {
		c.Latency = 2 * time.Millisecond
	}
	if c.Tick == 0 {
		c.Tick = 100 * time.Millisecond
	}
	s := &Sim{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), queue: vtime.Queue{Now: start},
		reference: ledger.New(), workers: map[sched.InstanceID]*worker{},
		checkpoints: map[sched.CheckpointID]time.Duration{},
		Observer:    newObserver(), Accepted: map[sched.TaskID]bool{}, Replies: map[sched.Code]int{},
	}
	for _, m := range c.Workers {
		w := newWorker(s, m)
		s.workers[m.ID] = w
		s.workerList = append(s.workerList, w)
	}
	for i := range c.Planners {
		s.hosts = append(s.hosts, newHost(s, i))
	}
	return s
}

// Now returns the virtual time.
func (s *Sim) Now() time.Time { return s.queue.Now }

// Random returns the simulation's source, for scenarios.
func (s *Sim) Random() *rand.Rand { return s.random }

// Ledger returns a replay of everything that was appended.
func (s *Sim) Ledger() *ledger.Ledger { return s.reference }

// Log returns the records that the log holds.
func (s *Sim) Log() []sched.Record { return s.log[s.trimmed:] }

// Run lets virtual time pass.
func (s *Sim) Run(d time.Duration) {
	end := s.queue.Now.Add(d)
	s.queue.Run(end)
}

// After calls f after d.
func (s *Sim) After(d time.Duration, f func()) {
	s.queue.After(d, f)
}

// chance draws an event of the given probability.
func (s *Sim) chance(p float64) bool { return p > 0 && s.random.Float64() < p }

// randomDelay draws the delay of a late message.
func (s *Sim) randomDelay() time.Duration {
	return time.Duration(s.random.Int64N(int64(s.Faults.MaxDelay) + 1))
}

func (s *Sim) randomClockOffset() time.Duration {
	if s.config.MaxClockOffset == 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(2*int64(s.config.MaxClockOffset)+1)) - s.config.MaxClockOffset
}

// appendRecord appends a record and replays it in the reference.
func (s *Sim) appendRecord(data []byte) {
	at := sched.Offset(len(s.log) + 1)
	s.log = append(s.log, sched.Record{Offset: at, Data: data})
	s.Appends++
	s.AppendBytes += len(data)
	if s.config.Retain > 0 {
		s.trimmed = max(s.trimmed, len(s.log)-s.config.Retain)
	}
	r, err := codec.DecodeTaskRecord(data)
	if err != nil {
		panic(err)
	}
	changes, err := s.reference.Apply(at, &r)
	if err != nil {
		panic(err)
	}
	for _, c := range changes {
		s.Observer.recorded(s, c)
	}
}

// readPage returns a page, or false if the first record is trimmed.
func (s *Sim) readPage(from sched.Offset) (sched.Page, bool) {
	p := sched.Page{Earliest: sched.Offset(s.trimmed + 1), Next: sched.Offset(len(s.log) + 1)}
	if from < p.Earliest {
		return p, false
	}
	const pageRecords = 1000
	end := min(int(from)-1+pageRecords, len(s.log))
	if int(from)-1 < end {
		p.Records = s.log[from-1 : end]
	}
	return p, true
}
