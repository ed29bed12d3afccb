package plan

import (
	"math/rand/v2"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/lease"
	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/place"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Options configure a planner.
type Options struct {
	Instance    sched.InstanceID
	Incarnation sched.Incarnation
	Seed        uint64
	Settings    *sched.Settings
	// Interference and Suspects may be nil.
	Interference Interference
	Suspects     Suspects
	// NewFinder replaces the placement index, and Cost the order of victims.
	// Both may be nil.
	NewFinder func(*rand.Rand) Finder
	Cost      func(Victim) float64
	// NoHold gives the room of an urgent task away as soon as it ends.
	NoHold bool
	// SnapshotEvery is the number of records between snapshots, 20,000 if 0.
	SnapshotEvery int
}

// Intervals of the planner.
const (
	// appendGap keeps a planner's appends within its part of the budget: 120
	// a second for 18 data centres.
	appendGap = 150 * time.Millisecond
	// appendRetry is the time after a failed append.
	appendRetry = time.Second
	// readGap is the time between two reads while nothing is expected.
	readGap = 500 * time.Millisecond
	// readLimit is the time after which an unanswered read or append counts as
	// failed.
	readLimit = 5 * time.Second
)

const defaultSnapshotEvery = 20_000

// Planner is the planner of one data centre on one instance. It is not safe
// for concurrent use.
type Planner struct {
	options  Options
	settings *sched.Settings
	kinds    map[string]sched.TaskKindSettings
	quotas   map[string]sched.Resources
	random   *rand.Rand

	now    time.Time
	out    Output
	ledger *ledger.Ledger
	book   *lease.Book

	// Log traffic.
	reading  time.Time // start of the outstanding read, zero if none
	lastRead time.Time // end of the last read, failed or not
	caughtUp bool
	urgent   bool // something waits for the next read
	serial   uint64
	flight   *flight
	next     time.Time // earliest time of the next append
	facts    []sched.TaskEntry
	noted    map[fact]bool
	asked    []request
	unsure   []request
	earliest sched.Offset
	// snapshotAt is the time of the last snapshot, or of the first look for one.
	snapshotAt time.Time

	// Role.
	responsible bool
	leaving     bool
	gone        map[sched.InstanceID]bool
	peers       []PeerTerm
	peerTerm    sched.Offset
	termSeen    sched.Offset
	lostTerm    sched.Offset // the newest own term that was given up
	// termAsked is when the begin of a term was last noted, nextTerm when an own
	// one may interrupt that of another instance.
	termAsked time.Time
	nextTerm  time.Time

	// Planning, valid while there is an own term.
	queue     *place.Queue
	direct    Finder
	express   Finder // for urgent tasks, held room included
	ahead     Finder
	reserve   Finder
	plans     map[sched.TaskID]decision
	overlay   map[sched.InstanceID]overlay
	teams     map[string]sched.Resources
	delayed   []delayed
	holds     []hold
	held      map[sched.InstanceID]sched.Resources
	heldTotal sched.Resources
	urgentOn  map[sched.InstanceID]int
	claims    []claim
	claimed   map[sched.InstanceID]bool
	total     sched.Resources
	// due lets the next step plan, and stirred lets it visit the queue.
	due     bool
	stirred bool
	visited time.Time
	// shunned holds the workers that Suspects advised to avoid, and shunnedAt
	// the time at which they were looked at.
	shunned   map[sched.InstanceID]bool
	shunnedAt time.Time

	nodes map[sched.InstanceID]*node
	order []*node
}

// New returns a planner that has read nothing.
func New(o Options) *Planner {
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = defaultSnapshotEvery
	}
	p := &Planner{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, uint64(o.Incarnation))),
		ledger:  ledger.New(),
		noted:   map[fact]bool{},
		gone:    map[sched.InstanceID]bool{},
		shunned: map[sched.InstanceID]bool{},
		nodes:   map[sched.InstanceID]*node{},
	}
	p.setSettings(o.Settings)
	p.book = lease.New(p.limits())
	p.clearPlans()
	return p
}

// Step applies one input at the given time and returns what has to be done.
// Times must not decrease from step to step.
func (p *Planner) Step(now time.Time, in Input) Output {
	if now.Sub(p.now) >= p.limits().Lease/slowRead {
		// After a pause the read that was outstanding doesn't count.
		p.reading, p.urgent = time.Time{}, true
	}
	p.now = now
	p.out = Output{}
	in.apply(p)
	p.work()
	return p.out
}

// Next returns the offset from which the task stream is to be read.
func (p *Planner) Next() sched.Offset {
	if p.ledger.Applied() == 0 {
		return max(p.earliest, 1)
	}
	return p.ledger.Applied() + 1
}

// Ledger returns the replayed state, for reading between steps.
func (p *Planner) Ledger() *ledger.Ledger { return p.ledger }

// Term returns the own term, or 0 if this planner may not act.
func (p *Planner) Term() sched.Offset { return p.book.Term() }

// TermSeen returns the newest term that was read. This planner sends nothing
// under an older one, which heartbeats tell the peers.
func (p *Planner) TermSeen() sched.Offset { return p.termSeen }

func (Ticked) apply(p *Planner) { p.due = true }

// work does what is due after any input.
func (p *Planner) work() {
	p.askToRead()
	p.holdTerm()
	if p.due && p.acting() {
		p.due = false
		p.schedule()
		p.callWorkers()
	}
	p.flush()
}

// acting tells whether decisions may be made and commands sent.
func (p *Planner) acting() bool {
	if p.book.Term() == 0 || p.ledger.NewestTerm() != p.book.Term() || !p.ledger.Ready() {
		return false
	}
	_, ok := p.book.NotAfter(p.now)
	return ok
}

func (i SettingsChanged) apply(p *Planner) {
	p.setSettings(i.Settings)
	p.book.SetLimits(p.limits())
}

func (p *Planner) setSettings(s *sched.Settings) {
	p.settings = s
	p.kinds = make(map[string]sched.TaskKindSettings, len(s.TaskKinds))
	for _, k := range s.TaskKinds {
		p.kinds[k.Name] = k
	}
	p.quotas = make(map[string]sched.Resources, len(s.Teams))
	for _, t := range s.Teams {
		p.quotas[t.Name] = t.Resources
	}
}

func (p *Planner) limits() lease.Limits {
	l := p.settings.Limits
	return lease.Limits{Lease: l.LeaseDuration, ClockBound: l.ClockBound, Isolation: l.IsolationLimit}
}

func (p *Planner) event(k sched.EventKind, t sched.TaskID, detail string) {
	p.out.Events = append(p.out.Events, sched.Event{Kind: k, Task: t, Detail: detail})
}

func (p *Planner) reply(r request, c sched.Code, reason string) {
	p.out.Replies = append(p.out.Replies, Reply{Ticket: r.ticket, Code: c, Reason: reason})
}
