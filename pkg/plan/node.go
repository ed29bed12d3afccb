package plan

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// renewalsPerLease is the number of calls to an idle worker per lease.
	renewalsPerLease = 4
	// callTimeout is the time after which an unanswered call counts as failed.
	callTimeout = 3 * time.Second
	// minCallInterval is the shortest time between two calls to a worker.
	minCallInterval = 20 * time.Millisecond
	// maxStartCalls is the number of calls that carry the start of an attempt
	// before it is given up and stopped.
	maxStartCalls = 6
)

type attemptKey struct {
	task    sched.TaskID
	attempt sched.Attempt
}

// startRecord describes the start commands that were sent for one attempt.
type startRecord struct {
	boot         uint64
	lastDeadline time.Time // latest deadline of a call that carried a start command
	calls        int
}

// workerState is the planner's view of one worker.
type workerState struct {
	member sched.Member
	listed bool
	// unlistedSince is the time at which the worker was found missing from the
	// platform's list.
	unlistedSince time.Time

	callSerial     uint64 // serial of the outstanding call, 0 if none
	calledAt       time.Time
	lastCalledAt   time.Time
	lastAnsweredAt time.Time // start of the last call that was answered
	firstListedAt  time.Time // time at which the worker was first listed
	callDue        bool
	// unconfirmed is set after a call without an answer, until the worker
	// reports. Calls carry no starts meanwhile, so that a restart of the worker
	// is noticed before a start is repeated.
	unconfirmed bool
	callsPaused bool // no calls until the leases have lapsed
	// reportedAsOf is the latest time as of which only the reported attempts can
	// run.
	reportedAsOf time.Time
	// reportAwaited is set while a delayed task waits for the worker's report.
	reportAwaited bool

	boot       uint64 // 0 until the first report of the term
	reports    map[attemptKey]sched.AttemptReport
	mayHaveRun map[attemptKey]bool
	starts     map[attemptKey]startRecord
	evicting   map[attemptKey]bool
	cpuShares  map[attemptKey]float64
}

func newWorkerState(m sched.Member, now time.Time) *workerState {
	n := &workerState{member: m, listed: true, firstListedAt: now}
	n.reset()
	return n
}

// reset discards what was learned from the worker under another term.
func (n *workerState) reset() {
	n.callSerial, n.callDue, n.unconfirmed, n.callsPaused = 0, true, false, false
	n.boot = 0
	n.lastAnsweredAt, n.reportedAsOf, n.reportAwaited = time.Time{}, time.Time{}, false
	n.reports = map[attemptKey]sched.AttemptReport{}
	n.mayHaveRun = map[attemptKey]bool{}
	n.starts = map[attemptKey]startRecord{}
	n.evicting = map[attemptKey]bool{}
	n.cpuShares = map[attemptKey]float64{}
}

// acceptsTasks reports whether new tasks may be placed on the worker: it is
// listed and live, has reported in this term, and no call has failed since.
func (n *workerState) acceptsTasks() bool {
	return n.listed && n.member.State == sched.StateLive && n.boot != 0 && !n.callsPaused && !n.unconfirmed
}

// setWorkers updates the workers from the member list.
func (p *Planner) setWorkers(members []sched.Member) {
	if p.workersUnchanged(members) {
		return
	}
	listed := make(map[sched.InstanceID]bool, len(members))
	for _, m := range members {
		if m.Role != sched.RoleWorker {
			continue
		}
		listed[m.ID] = true
		n := p.workers[m.ID]
		if n == nil {
			n = newWorkerState(m, p.now)
			p.workers[m.ID] = n
			p.workerList = append(p.workerList, n)
		}
		if n.member != m || !n.listed {
			n.member, n.listed = m, true
			p.updateFinders(m.ID)
		}
	}
	kept := p.workerList[:0]
	for _, n := range p.workerList {
		if !listed[n.member.ID] && p.markUnlisted(n) {
			delete(p.workers, n.member.ID)
			p.leases.DropWorker(n.member.ID, p.now)
			if w, ok := p.options.Interference.(Watcher); ok {
				w.Forget(n.member.ID)
			}
			continue
		}
		kept = append(kept, n)
	}
	p.workerList = kept
}

// workersUnchanged reports whether the list equals the current one, as it does
// in nearly all calls.
func (p *Planner) workersUnchanged(members []sched.Member) bool {
	i := 0
	for k := range members {
		m := &members[k]
		if m.Role != sched.RoleWorker {
			continue
		}
		if i >= len(p.workerList) || p.workerList[i].member != *m || !p.workerList[i].listed {
			return false
		}
		i++
	}
	return i == len(p.workerList)
}

// removeUnlistedAfter is the time after which a worker that left the list and
// holds no task is removed from the replayed state.
const removeUnlistedAfter = time.Hour

// markUnlisted handles a worker that is missing from the list: it excludes the
// worker from placement and, under an own term, queues its removal once it holds no
// task and removeUnlistedAfter has passed. It reports whether the worker is not in
// the replayed state, so that it can be dropped.
func (p *Planner) markUnlisted(n *workerState) bool {
	id := n.member.ID
	if n.listed {
		n.listed, n.unlistedSince = false, p.now
		p.updateFinders(id)
	}
	w, known := p.ledger.Worker(id)
	if !known {
		return true
	}
	if len(w.Tasks) == 0 && p.leases.Term() != 0 && p.now.Sub(n.unlistedSince) >= removeUnlistedAfter {
		p.enqueue(sched.TaskEntry{Kind: sched.EntryDeclaredDead, Instance: id})
	}
	return false
}

// startDeadline returns the deadline of the latest call of the own term that may
// start an attempt. For a worker that was dropped, it assumes a call made now.
func (p *Planner) startDeadline(worker sched.InstanceID, k attemptKey) time.Time {
	if n := p.workers[worker]; n != nil {
		return n.starts[k].lastDeadline
	}
	return p.now.Add(p.leaseLimits().Lease)
}

// callWorkers calls the workers whose lease renewal is due and those that have
// commands to receive. Calls that timed out are counted as failed first.
func (p *Planner) callWorkers() {
	renew := p.leaseLimits().Lease / renewalsPerLease
	for _, n := range p.workerList {
		if n.callSerial != 0 && p.now.Sub(n.calledAt) >= callTimeout {
			p.callFailed(n)
		}
		if n.callSerial != 0 || n.callsPaused {
			continue
		}
		gap := p.now.Sub(n.lastCalledAt)
		if gap >= renew || (n.callDue && gap >= minCallInterval) {
			p.callWorker(n)
		}
	}
}

// callWorker renews a worker's lease and sends the commands that follow from the
// replayed state. It does nothing if no call may be made now.
func (p *Planner) callWorker(n *workerState) {
	notAfter, ok := p.leases.NotAfter(p.now)
	if !ok {
		return
	}
	id := n.member.ID
	c := sched.WorkerCall{Term: p.leases.Term(), Boot: n.boot, NotAfter: notAfter, Commands: p.commands(n, notAfter)}
	p.leases.RecordDeadline(id, notAfter)
	p.lastSerial++
	n.callSerial, n.calledAt, n.lastCalledAt, n.callDue = p.lastSerial, p.now, p.now, false
	p.output.Calls = append(p.output.Calls, Call{Worker: n.member, Serial: p.lastSerial, Call: c})
}

func (i WorkerCallFailed) apply(p *Planner) {
	if n := p.workers[i.Worker]; n != nil && n.callSerial == i.Serial && i.Serial != 0 {
		p.callFailed(n)
	}
}

func (p *Planner) callFailed(n *workerState) {
	n.callSerial = 0
	if !n.unconfirmed {
		n.unconfirmed = true
		p.updateFinders(n.member.ID)
	}
	needed := p.hasTasks(n) || n.reportAwaited
	if !needed || p.leases.Term() == 0 || !p.leases.EarlierTermsExpired(p.now) {
		return
	}
	// Calls stop after one lease duration without an answer, so that the
	// deadlines of the calls that were sent can pass.
	if p.now.Sub(later(n.lastAnsweredAt, n.firstListedAt)) >= p.leaseLimits().Lease {
		n.callsPaused = true
	}
}

func (p *Planner) hasTasks(n *workerState) bool {
	w, known := p.ledger.Worker(n.member.ID)
	return known && len(w.Tasks) > 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expireUnreachable records the expiry of the attempts on workers to which calls
// are paused, once the leases of these workers have lapsed.
func (p *Planner) expireUnreachable() {
	for _, n := range p.workerList {
		if !n.callsPaused {
			continue
		}
		w, known := p.ledger.Worker(n.member.ID)
		idle := !known || len(w.Tasks) == 0
		if p.leases.LeaseExpired(n.member.ID, p.now) {
			n.reportedAsOf, n.reportAwaited = p.now, false
			clear(n.reports)
			if !idle {
				p.expireTasks(w)
			}
		}
		if idle && !n.reportAwaited {
			// Calls resume: the worker holds no task, and no delayed task waits
			// for its lease to lapse.
			n.callsPaused = false
		}
	}
}

func (p *Planner) expireTasks(w *ledger.Worker) {
	for _, t := range w.Tasks {
		p.enqueue(sched.TaskEntry{
			Kind: sched.EntryExpired, TaskID: t.Task.ID, Attempt: t.Attempt, Worker: w.Worker, Term: p.leases.Term(),
		})
	}
}
