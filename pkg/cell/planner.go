package cell

import (
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/fleet"
	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/jobs"
	"github.com/parsleybarrow/parsleybarrow/pkg/misfit"
	"github.com/parsleybarrow/parsleybarrow/pkg/order"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/share"
	"github.com/parsleybarrow/parsleybarrow/pkg/suspct"
	"github.com/parsleybarrow/parsleybarrow/pkg/turns"
)

// Options are the settings of a Planner. They don't change during its term.
type Options struct {
	// Term is the offset of the planner's term record. It forms the upper part
	// of every fencing token.
	Term sched.Offset
	// LeaseLimit is the longest lease that a worker may be granted.
	LeaseLimit time.Duration
	// StopLimit is how long a worker takes to stop a run.
	StopLimit time.Duration
	// GangLimit is how long a worker lets a member of a gang wait for the
	// others. The planner doesn't read it.
	GangLimit time.Duration
	// Restore is how long a run takes to resume from a checkpoint.
	Restore time.Duration
	// FarFactor is how many times as long a task takes away from its data, or on
	// several racks if its step should be on one. The planner doesn't read it.
	FarFactor float64
	// AwayNotice is how long a lasting task must be out of work to count as
	// away. The planner doesn't read it.
	AwayNotice time.Duration
	// StatusKept is how long the state of an ended job stays available.
	StatusKept time.Duration
	// Early is how long before its due time an occurrence may begin. The
	// planner opens occurrences half of that time ahead.
	Early time.Duration
	// PredecessorStopped is set if the preceding planner is known to send no more orders.
	// Otherwise it may renew leases for another ProofValidity.
	PredecessorStopped bool
	// EvacuationLimit is how soon after its record an evacuation must be in force. With 0
	// the planner doesn't wait for the first call of Evacuate.
	EvacuationLimit time.Duration
	// AdviceLine spaces the calls of the advisor, which handles those of one instance one
	// at a time. The planners of an instance share it; one without has its own.
	AdviceLine *turns.Line
	// RecordLimit and BatchLimit are the sizes of the largest record and of the largest
	// batch that the store takes, in bytes, 0 if there is no limit.
	RecordLimit, BatchLimit int
	// Commit is called once for each submission, before the record of a new job becomes part
	// of a batch or another caller is told of it, and at once for a known job. If it returns
	// false, the caller with the ticket has been told that its job isn't accepted, and the
	// planner drops a new one. Without Commit every job is kept.
	Commit func(Ticket) bool
	// LookAhead is set if room that will become free is planned for the large, wide and
	// lasting steps that wait.
	LookAhead bool
	Log       *zap.Logger
}

// Planner plans one cell. It isn't safe for concurrent use.
//
// It sends orders only while it has a recent proof that no other planner has
// taken over the cell. Its owner reports proofs with Appended and Proven.
type Planner struct {
	options Options
	// jobs holds every job that isn't expired.
	jobs map[sched.JobID]*job
	// workers holds every worker that is listed or may have runs.
	workers map[sched.InstanceID]*hosts.Host
	// workerList holds the same in an order that only changes with the workers, each at its
	// Place.
	workerList []*hosts.Host
	// misfits remembers which workers have no room for the fillers that wait, and gains is
	// a copy of Gains of each worker in workerList, as of the begin of a pass. Nearly all
	// comparisons of a pass take only these two.
	misfits *misfit.Table
	gains   []int
	// fleet tells which steps no worker could run.
	fleet *fleet.Fleet
	// dirtyJobs are the jobs whose records the next batch writes.
	dirtyJobs []*job
	// waitingSteps are the steps with tasks that wait for a worker.
	waitingSteps []*waitingStep
	// reservations holds the workers that are reserved for a step.
	reservations map[*hosts.Host]reservation
	// ahead holds room for waiting steps instead if Options.LookAhead is set, nil otherwise.
	ahead *lookAhead
	// meanNeed holds the mean needs of the runs that end, as of meanNeedAt.
	meanNeed   sched.Resources
	meanNeedAt time.Time
	// finalJobs are the jobs whose final state is durable, in the order in which
	// it became so.
	finalJobs []*job
	// expiredJobs are the dropped jobs whose records the next batch deletes.
	expiredJobs []sched.JobID
	// scheduledJobs are the jobs with a schedule and occurrences to come.
	scheduledJobs map[sched.JobID]*job
	// pendingByQueue counts the jobs without a schedule of which nothing has
	// started.
	pendingByQueue map[sched.QueueName]int
	// inheritedLeaseEnd is when every lease that an earlier planner may have
	// granted has ended.
	inheritedLeaseEnd time.Time
	// effects collects what TakeEffects returns next.
	effects Effects
	// inFlight is the batch that is being appended, nil if there is none.
	inFlight *batch
	// provenAt is the newest time for which a proof shows that no other planner
	// had taken over.
	provenAt time.Time
	// unprovenReplies wait for a proof that is at least as new as they are.
	unprovenReplies []unprovenReply
	// outageRetryAfter is the delay that callers are told while the store
	// doesn't answer, 0 if the store answers.
	outageRetryAfter time.Duration
	// droppedBumps is the highest token bump count of the workers that were
	// dropped from workers. Every worker added later starts with it, since it
	// may be one that comes back and remembers its highest token.
	droppedBumps int64
	// stats is what Stats returns.
	stats Stats
	// interference estimates how much fillers disturb serving tasks.
	interference *share.Model
	// noRoomElsewhere holds, for each image of fillers, when no worker had room for a paused
	// one.
	noRoomElsewhere map[string]time.Time
	// runTimes estimates how long tasks take.
	runTimes *order.RunTimes
	// judge suspects workers on which tasks fail that run elsewhere.
	judge *suspct.Detector
	// countedGangRuns holds, for each gang, the newest run number whose failure
	// was counted.
	countedGangRuns map[sched.StepRef]int
	// advice holds the advisor's answers for steps whose queue needs them.
	advice map[sched.StepRef]*stepAdvice
	// advisedJobs are the jobs in queues that need advice. Some may have ended.
	advisedJobs map[sched.JobID]*job
	// service holds the rules of services by name. Nothing reads it.
	service map[string]sched.ServiceRules
	// learnedRecordedAt is when the LearnedKey record was last added to a batch.
	learnedRecordedAt time.Time
	// silences holds when workers stopped answering, newest last.
	silences []silence
	// placedAt is when placeWaiting last passed over the waiting steps, and
	// fillersPlacedAt when it last passed over those of fillers.
	placedAt, fillersPlacedAt time.Time
	// evacuations are the data centres in which nothing may start.
	evacuations evacuations
	// recovery is the return of load to data centres whose evacuation has ended.
	recovery recovery
	// explainedAt is when Explain last explained a job.
	explainedAt time.Time
	// delay is how far the planner is behind, see SetDelay.
	delay time.Duration
}

// Stats counts what a planner did in its term. Stops includes repeated orders, but
// not those for runs that the planner doesn't know. NoRoom counts starts that a
// worker refused for lack of room, Moves the paused fillers that were stopped to run
// elsewhere, Copies the speculative copies, HeldUp the tasks that waited for
// heldUpDelay though a worker had room, Crashes the crashes of workers under runs, GivenUp
// the jobs that failed because a task crashed its workers, and Ratings how often a worker
// was rated for the tasks of a step. Asked counts the calls of the advisor, AdviceFailed
// those without an answer, and LateTickets the tickets that had ended on arrival. Planned counts
// the tasks that got a hold of the look-ahead placement and Slipped the slips of its plan.
// HeldFree is the processors that it held free, in thousandths of processor-seconds.
// Waits and Waited count the tasks that were placed and the time that they had waited.
type Stats struct {
	Accepted, Refused, Starts, Ends, Failed, Lost, Stops int64
	NoRoom, Paces, Moves, Copies, HeldUp                 int64
	Crashes, GivenUp, Ratings                            int64
	Asked, AdviceFailed, LateTickets                     int64
	Planned, Slipped, HeldFree                           int64
	Waits                                                [SizeCount]int64
	Waited                                               [SizeCount]time.Duration
}

// job is the durable state of a job with the part that the planner keeps in
// memory only.
type job struct {
	*jobs.Job
	// dirty is set while the job is one of the planner's dirtyJobs.
	dirty bool
	// unrecorded is set until the record with the submitted job is part of a
	// batch.
	unrecorded bool
	// ticket is that of the submission, and committed is set once Options.Commit has
	// returned true for it. Both are used only while the job is unrecorded.
	ticket    Ticket
	committed bool
	// durableState is the newest state that is durable, 0 before the first.
	durableState sched.JobState
	// started is set once a run of the job has started, or the job has ended
	// without one. The job then no longer counts in pendingByQueue.
	started bool
	// pendingReplies and pendingStarts are released once the next batch with
	// this job is durable.
	pendingReplies []Reply
	pendingStarts  []placement
	// stepLoads holds the load of each step whose tasks serve users.
	stepLoads map[int]*share.Load
	// provenTasks are the suspects of a crash of which a run has ended by itself since.
	provenTasks map[sched.TaskRef]bool
}

// placement is a run that was placed on a worker.
type placement struct {
	worker sched.InstanceID
	key    hosts.Key
}

// waitingStep is a step of one occurrence with tasks that wait for a worker.
type waitingStep struct {
	job        *job
	occurrence *jobs.Occurrence
	// step is the index of the step.
	step int
	// tasks holds the indices of the waiting tasks.
	tasks []int
	// claim decides the step's turn. It is computed anew by each placeWaiting.
	claim order.Claim
	// waitingSince is when a placement first left tasks of the step waiting.
	waitingSince time.Time
	// nextLog is how long the tasks must have waited before the reason is logged again.
	nextLog time.Duration
	// overdue is set in a pass in which a task may go to a worker that suits it less;
	// longOverdue if it may probe a suspected worker beside others, and where it has failed
	// before; mayRiskAll if it may do so with its last attempt.
	overdue, longOverdue, mayRiskAll bool
	// lastResortAt is when a task was last placed on a worker that suits it less, and ranAt
	// when one last ran, unless the tasks last.
	lastResortAt, ranAt time.Time
	// heldUp is set once the tasks are counted in Stats.HeldUp.
	heldUp bool
	// late is the time within which most tasks of the step end, in coarse steps, 0 without
	// look-ahead placement. planned is set while the step is part of its plan.
	late    time.Duration
	planned bool
	// isCopy is set for the step of a speculative copy, which isn't on the waiting list.
	isCopy bool
}

// ProofValidity is how long a planner keeps sending orders and renewing leases
// after its newest proof that it still plans the cell. It covers short outages
// of the store; leases outlast it by several seconds. A planner that takes over
// waits as much longer for workers that it can't reach.
const ProofValidity = 2500 * time.Millisecond

// New returns a planner that begins its term with the given jobs. It treats
// every run that they list as unsure until the worker reports it or the leases
// that earlier planners may have granted have ended.
func New(now time.Time, restored []*jobs.Job, o Options) *Planner {
	p := &Planner{
		options: o, jobs: map[sched.JobID]*job{}, workers: map[sched.InstanceID]*hosts.Host{}, fleet: fleet.New(), misfits: misfit.New(),
		scheduledJobs: map[sched.JobID]*job{}, pendingByQueue: map[sched.QueueName]int{},
		interference: share.NewModel(), runTimes: order.NewRunTimes(),
		judge: suspct.NewWithTiming(suspicionPauses), countedGangRuns: map[sched.StepRef]int{},
		advice: map[sched.StepRef]*stepAdvice{}, advisedJobs: map[sched.JobID]*job{}, noRoomElsewhere: map[string]time.Time{}, service: map[string]sched.ServiceRules{},
		provenAt: now, inheritedLeaseEnd: now.Add(o.LeaseLimit + leaseClockMargin),
	}
	if o.LookAhead {
		p.ahead = newLookAhead()
	}
	if o.AdviceLine == nil {
		p.options.AdviceLine = &turns.Line{}
	}
	if !o.PredecessorStopped {
		p.inheritedLeaseEnd = p.inheritedLeaseEnd.Add(ProofValidity)
	}
	for _, r := range restored {
		p.restore(r)
	}
	return p
}

// suspicionPauses are the times for which a suspected worker gets no tasks.
// They are in seconds because workers' outages last seconds, and a task of the
// users takes about as long.
var suspicionPauses = suspct.Timing{
	InitialPause: 2 * time.Second, MaxPause: 10 * time.Second, ProbeWindow: 500 * time.Millisecond, ProbeTimeout: 3 * time.Second,
	Retention: time.Minute, EarlyProbe: time.Second,
}

// leaseClockMargin is added to the end of leases that another planner granted.
// It covers the slowest clock of a worker over the longest lease.
const leaseClockMargin = 500 * time.Millisecond

// Learn adopts the estimates of an earlier planner from its LearnedKey record.
// It returns an error if the record can't be decoded.
func (p *Planner) Learn(data []byte) error {
	return codec.DecodeLearned(data, p.interference, p.runTimes)
}

// newSlot returns the planner's entry for a run of a task of the job. Serving
// tasks of one step share their load estimate.
func (j *job) newSlot(k hosts.Key) *hosts.Slot {
	s := &j.Steps[k.Task.Step]
	slot := &hosts.Slot{Key: k, Step: s, Pace: fullPace}
	if t := j.Task(crashUnit(j, k.Task)); t != nil {
		slot.Suspect, slot.Crashes = j.suspected(k.Task), t.Crashes
	}
	if s.TailGoal > 0 {
		if j.stepLoads[k.Task.Step] == nil {
			j.stepLoads[k.Task.Step] = share.NewLoad()
		}
		slot.Serving = share.NewServing(s.Image, s.TailGoal, j.stepLoads[k.Task.Step])
	}
	return slot
}

// fullPace is the pace, in percent, of a run that isn't throttled.
const fullPace = 100

// worker returns the worker with the id and adds it if it is new. It may not be
// on the platform's list yet.
func (p *Planner) worker(id sched.InstanceID) *hosts.Host {
	h := p.workers[id]
	if h == nil {
		h = hosts.New(sched.Worker{ID: id}, p.inheritedLeaseEnd, p.droppedBumps)
		h.Place = len(p.workerList)
		p.workers[id], p.workerList = h, append(p.workerList, h)
	}
	return h
}

// dropWorker drops a worker without runs. The last one of workerList takes its place.
func (p *Planner) dropWorker(h *hosts.Host) {
	n := len(p.workerList) - 1
	last := p.workerList[n]
	p.misfits.Forget(h.Place)
	p.misfits.Forget(last.Place)
	last.Place, p.workerList[h.Place], p.workerList[n] = h.Place, last, nil
	p.workerList = p.workerList[:n]
	delete(p.workers, h.ID)
}

// markDirty adds the job to the next batch.
func (p *Planner) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		p.dirtyJobs = append(p.dirtyJobs, j)
	}
}

// TakeEffects returns the effects that have accumulated since the last call.
func (p *Planner) TakeEffects() Effects {
	e := p.effects
	p.effects = Effects{}
	return e
}

// SetDelay tells the planner how long events wait before it is told of them. While it is
// behind, it spaces out the work that can wait, so that it catches up.
func (p *Planner) SetDelay(d time.Duration) { p.delay = d }

// Stats returns the counts since the beginning of the term.
func (p *Planner) Stats() Stats { return p.stats }

// mayOrder reports whether the newest proof is young enough to send orders.
func (p *Planner) mayOrder(now time.Time) bool { return now.Sub(p.provenAt) < ProofValidity }
