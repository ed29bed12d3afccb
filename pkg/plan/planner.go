package plan

import (
	"math/rand/v2"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/lease"
	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/place"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Options configure a Planner.
type Options struct {
	Instance    sched.InstanceID
	Incarnation sched.Incarnation
	Seed        uint64
	Settings    *sched.Settings
	// Interference and FailureClassifier may be nil.
	Interference      Interference
	FailureClassifier FailureClassifier
	// NewFinder replaces place.NewIndex, and EvictionCost the default eviction cost.
	// Both may be nil.
	NewFinder    func(*rand.Rand) Finder
	EvictionCost func(Victim) float64
	// DisableRoomHold makes the room of an urgent task available to all tasks as soon as
	// it ends.
	DisableRoomHold bool
	// SnapshotEvery is the number of records between snapshots; 0 stands for
	// 20,000.
	SnapshotEvery int
}

// Intervals of log reads and appends.
const (
	// minAppendInterval keeps a planner's appends within its part of the append
	// budget, which is 120 per second for 18 data centres.
	minAppendInterval = 150 * time.Millisecond
	// appendRetryDelay is the wait before the next append after a failed one.
	appendRetryDelay = time.Second
	// readInterval is the time between two reads while no record is expected.
	readInterval = 500 * time.Millisecond
	// logTimeout is the time after which an unanswered read is repeated and an
	// append that is not read back is given up.
	logTimeout = 5 * time.Second
)

const defaultSnapshotEvery = 20_000

// Planner is the state machine of the planner of one data centre on one
// instance. It is not safe for concurrent use.
type Planner struct {
	options    Options
	settings   *sched.Settings
	taskKinds  map[string]sched.TaskKindSettings
	teamQuotas map[string]sched.Resources
	random     *rand.Rand

	now    time.Time
	output Output
	ledger *ledger.Ledger
	leases *lease.Tracker

	// Log traffic.
	readStartedAt    time.Time // start of the outstanding read, zero if there is none
	lastReadAt       time.Time // end of the last read, successful or not
	caughtUp         bool
	readNow          bool   // a read is due at once
	lastSerial       uint64 // serial of the last append or call
	pendingAppend    *pendingAppend
	nextAppendAt     time.Time // earliest time of the next append
	entryQueue       []sched.TaskEntry
	enqueued         map[entryKey]bool
	requestQueue     []request
	unconfirmed      []request
	earliestRetained sched.Offset
	// snapshotAt is the time of the last snapshot, or of the first check whether
	// one is due.
	snapshotAt time.Time

	// Role.
	responsible    bool
	leaving        bool
	goneInstances  map[sched.InstanceID]bool
	peers          []PeerTerm
	newestPeerTerm sched.Offset
	termSeen       sched.Offset
	lastEndedTerm  sched.Offset // the newest own term whose end was queued for the log
	// termRequestedAt is the time at which the start of a term was last queued,
	// and nextTermAt the earliest time at which an own term may follow an open
	// term of another instance.
	termRequestedAt time.Time
	nextTermAt      time.Time

	// Planning state, valid while there is an own term.
	queue         *place.Queue
	directFinder  Finder
	urgentFinder  Finder // for urgent tasks; includes held room
	boundFinder   Finder // for tasks bound ahead
	reserveFinder Finder // for tasks bound beyond the ahead depth
	openDecisions map[sched.TaskID]decision
	pendingUse    map[sched.InstanceID]pendingUse
	pendingByTeam map[string]sched.Resources // needs of open decisions per team
	delayed       []delayedTask
	holds         []hold
	held          map[sched.InstanceID]sched.Resources // sum of holds per worker
	heldTotal     sched.Resources
	urgentTasks   map[sched.InstanceID]int // number of urgent tasks per worker
	claims        []claim
	claimed       map[sched.InstanceID]bool // workers with a claim
	totalCapacity sched.Resources
	// planDue is set if the next step has to plan, and queueChanged if planning
	// has to visit the queue.
	planDue      bool
	queueChanged bool
	lastVisitAt  time.Time
	// avoidedWorkers holds the workers that FailureClassifier advised to avoid, and
	// avoidedCheckedAt the time at which that advice was last checked.
	avoidedWorkers   map[sched.InstanceID]bool
	avoidedCheckedAt time.Time

	workers    map[sched.InstanceID]*workerState
	workerList []*workerState
}

// New returns a planner that has read nothing of the task stream.
func New(o Options) *Planner {
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = defaultSnapshotEvery
	}
	p := &Planner{
		options:        o,
		random:         rand.New(rand.NewPCG(o.Seed, uint64(o.Incarnation))),
		ledger:         ledger.New(),
		enqueued:       map[entryKey]bool{},
		goneInstances:  map[sched.InstanceID]bool{},
		avoidedWorkers: map[sched.InstanceID]bool{},
		workers:        map[sched.InstanceID]*workerState{},
	}
	p.setSettings(o.Settings)
	p.leases = lease.New(p.leaseLimits())
	p.clearPlanning()
	return p
}

// Step applies one input at the given time and returns the effects that the
// caller has to carry out. Times must not decrease from step to step.
func (p *Planner) Step(now time.Time, in Input) Output {
	if now.Sub(p.now) >= p.leaseLimits().Lease/readTimeoutDivisor {
		// The process was paused, or this is the first step: the result of an
		// outstanding read would be out of date, so another read is due.
		p.readStartedAt, p.readNow = time.Time{}, true
	}
	p.now = now
	p.output = Output{}
	in.apply(p)
	p.runDueWork()
	return p.output
}

// NextOffset returns the offset from which the task stream is to be read.
func (p *Planner) NextOffset() sched.Offset {
	if p.ledger.Applied() == 0 {
		return max(p.earliestRetained, 1)
	}
	return p.ledger.Applied() + 1
}

// Ledger returns the replayed state. The caller may only read it, and only
// between steps.
func (p *Planner) Ledger() *ledger.Ledger { return p.ledger }

// Term returns the own term, or 0 if there is none and this planner may not act.
func (p *Planner) Term() sched.Offset { return p.leases.Term() }

// TermSeen returns the newest term that was read. This planner sends nothing
// under an older one; heartbeats announce the value to the peers.
func (p *Planner) TermSeen() sched.Offset { return p.termSeen }

func (Ticked) apply(p *Planner) { p.planDue = true }

// runDueWork does what is due after any input: log traffic, terms and planning.
func (p *Planner) runDueWork() {
	p.requestRead()
	p.maintainTerm()
	if p.planDue && p.mayAct() {
		p.planDue = false
		p.schedule()
		p.callWorkers()
	}
	p.appendQueued()
}

// mayAct reports whether decisions may be made and commands sent: the own term
// is the newest, the replayed state is complete, and the lease rules allow calls.
func (p *Planner) mayAct() bool {
	if p.leases.Term() == 0 || p.ledger.NewestTerm() != p.leases.Term() || !p.ledger.Ready() {
		return false
	}
	_, ok := p.leases.NotAfter(p.now)
	return ok
}

func (i SettingsChanged) apply(p *Planner) {
	p.setSettings(i.Settings)
	p.leases.SetLimits(p.leaseLimits())
}

func (p *Planner) setSettings(s *sched.Settings) {
	p.settings = s
	p.taskKinds = make(map[string]sched.TaskKindSettings, len(s.TaskKinds))
	for _, k := range s.TaskKinds {
		p.taskKinds[k.Name] = k
	}
	p.teamQuotas = make(map[string]sched.Resources, len(s.Teams))
	for _, t := range s.Teams {
		p.teamQuotas[t.Name] = t.Resources
	}
}

func (p *Planner) leaseLimits() lease.Limits {
	l := p.settings.Limits
	return lease.Limits{Lease: l.LeaseDuration, ClockBound: l.ClockBound, Isolation: l.IsolationLimit}
}

func (p *Planner) emitEvent(k sched.EventKind, t sched.TaskID, detail string) {
	p.output.Events = append(p.output.Events, sched.Event{Kind: k, Task: t, Detail: detail})
}

func (p *Planner) reply(r request, c sched.Code, reason string) {
	p.output.Replies = append(p.output.Replies, Reply{Ticket: r.ticket, Code: c, Reason: reason})
}
