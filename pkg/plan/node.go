package plan

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Timing of calls, as parts of a lease.
const (
	renewalsPerLease = 4
	// callLimit is the time after which an unanswered call counts as failed.
	callLimit = 3 * time.Second
	// callGap is the least time between two calls to a worker.
	callGap = 20 * time.Millisecond
	// startTries is the number of calls that repeat a start before it is given
	// up.
	startTries = 6
)

type attemptKey struct {
	task    sched.TaskID
	attempt sched.Attempt
}

// sent is what is known about the start commands of one attempt.
type sent struct {
	boot  uint64
	until time.Time // latest deadline of a call that carried one
	tries int
}

// node is the planner's view of one worker.
type node struct {
	member sched.Member
	listed bool
	// unlisted is the time since when the platform's list lacks the worker.
	unlisted time.Time

	serial   uint64 // of the outstanding call, 0 if none
	calledAt time.Time
	lastCall time.Time
	answered time.Time // start of the last call that was answered
	since    time.Time // begin of the term, or first sight
	dirty    bool
	// unsure is set after a call without an answer: the next call asks before
	// it repeats a start, so that a worker that restarted is noticed.
	unsure bool
	silent bool // no calls until the leases have lapsed
	// clear is the latest time as of which only the reported attempts may run.
	clear time.Time
	// awaited is set while a task waits for the worker's word.
	awaited bool

	boot    uint64 // 0 until the first report of the term
	reports map[attemptKey]sched.AttemptReport
	seen    map[attemptKey]bool
	starts  map[attemptKey]sent
	evict   map[attemptKey]bool
	shares  map[attemptKey]float64
}

func newNode(m sched.Member, now time.Time) *node {
	n := &node{member: m, listed: true, since: now}
	n.reset()
	return n
}

// reset forgets what was learned under another term.
func (n *node) reset() {
	n.serial, n.dirty, n.unsure, n.silent = 0, true, false, false
	n.boot = 0
	n.answered, n.clear, n.awaited = time.Time{}, time.Time{}, false
	n.reports = map[attemptKey]sched.AttemptReport{}
	n.seen = map[attemptKey]bool{}
	n.starts = map[attemptKey]sent{}
	n.evict = map[attemptKey]bool{}
	n.shares = map[attemptKey]float64{}
}

// takesTasks tells whether new tasks may be placed on the worker.
func (n *node) takesTasks() bool {
	return n.listed && n.member.State == sched.StateLive && n.boot != 0 && !n.silent && !n.unsure
}

// setWorkers takes the listed workers over.
func (p *Planner) setWorkers(members []sched.Member) {
	if p.sameWorkers(members) {
		return
	}
	listed := make(map[sched.InstanceID]bool, len(members))
	for _, m := range members {
		if m.Role != sched.RoleWorker {
			continue
		}
		listed[m.ID] = true
		n := p.nodes[m.ID]
		if n == nil {
			n = newNode(m, p.now)
			p.nodes[m.ID] = n
			p.order = append(p.order, n)
		}
		if n.member != m || !n.listed {
			n.member, n.listed = m, true
			p.refresh(m.ID)
		}
	}
	kept := p.order[:0]
	for _, n := range p.order {
		if !listed[n.member.ID] && p.unlisted(n) {
			delete(p.nodes, n.member.ID)
			p.book.Forget(n.member.ID, p.now)
			if w, ok := p.options.Interference.(Watcher); ok {
				w.Forget(n.member.ID)
			}
			continue
		}
		kept = append(kept, n)
	}
	p.order = kept
}

// sameWorkers tells whether the list is the one that was taken over last, as it
// nearly always is.
func (p *Planner) sameWorkers(members []sched.Member) bool {
	i := 0
	for k := range members {
		m := &members[k]
		if m.Role != sched.RoleWorker {
			continue
		}
		if i >= len(p.order) || p.order[i].member != *m || !p.order[i].listed {
			return false
		}
		i++
	}
	return i == len(p.order)
}

// removeAfter is the time after which a worker that left the list and holds no
// task is removed from the state.
const removeAfter = time.Hour

// unlisted notes that the list lacks a worker and tells whether the worker can
// be dropped.
func (p *Planner) unlisted(n *node) bool {
	id := n.member.ID
	if n.listed {
		n.listed, n.unlisted = false, p.now
		p.refresh(id)
	}
	w, known := p.ledger.Worker(id)
	if !known {
		return true
	}
	if len(w.Tasks) == 0 && p.book.Term() != 0 && p.now.Sub(n.unlisted) >= removeAfter {
		p.note(sched.TaskEntry{Kind: sched.EntryDeclaredDead, Instance: id})
	}
	return false
}

// startVoid returns the deadline of the latest call of the own term that may
// start an attempt.
func (p *Planner) startVoid(worker sched.InstanceID, k attemptKey) time.Time {
	if n := p.nodes[worker]; n != nil {
		return n.starts[k].until
	}
	return p.now.Add(p.limits().Lease)
}

// callWorkers calls the workers whose lease is to be renewed or for which
// there is something to do.
func (p *Planner) callWorkers() {
	renew := p.limits().Lease / renewalsPerLease
	for _, n := range p.order {
		if n.serial != 0 && p.now.Sub(n.calledAt) >= callLimit {
			p.callFailed(n)
		}
		if n.serial != 0 || n.silent {
			continue
		}
		gap := p.now.Sub(n.lastCall)
		if gap >= renew || (n.dirty && gap >= callGap) {
			p.call(n)
		}
	}
}

// call renews a worker's lease and sends the commands that the state asks for.
func (p *Planner) call(n *node) {
	notAfter, ok := p.book.NotAfter(p.now)
	if !ok {
		return
	}
	id := n.member.ID
	c := sched.WorkerCall{Term: p.book.Term(), Boot: n.boot, NotAfter: notAfter, Commands: p.commands(n, notAfter)}
	p.book.Sent(id, notAfter)
	p.serial++
	n.serial, n.calledAt, n.lastCall, n.dirty = p.serial, p.now, p.now, false
	p.out.Calls = append(p.out.Calls, Call{Worker: n.member, Serial: p.serial, Call: c})
}

func (i WorkerFailed) apply(p *Planner) {
	if n := p.nodes[i.Worker]; n != nil && n.serial == i.Serial && i.Serial != 0 {
		p.callFailed(n)
	}
}

func (p *Planner) callFailed(n *node) {
	n.serial = 0
	if !n.unsure {
		n.unsure = true
		p.refresh(n.member.ID)
	}
	needed := p.placed(n) || n.awaited
	if !needed || p.book.Term() == 0 || !p.book.Settled(p.now) {
		return
	}
	// Calls stop after a lease without an answer, so that the deadlines of
	// those that were sent can pass.
	if p.now.Sub(later(n.answered, n.since)) >= p.limits().Lease {
		n.silent = true
	}
}

func (p *Planner) placed(n *node) bool {
	w, known := p.ledger.Worker(n.member.ID)
	return known && len(w.Tasks) > 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expireLost records the end of attempts that can no longer be alive.
func (p *Planner) expireLost() {
	for _, n := range p.order {
		if !n.silent {
			continue
		}
		w, known := p.ledger.Worker(n.member.ID)
		idle := !known || len(w.Tasks) == 0
		if p.book.Lapsed(n.member.ID, p.now) {
			n.clear, n.awaited = p.now, false
			clear(n.reports)
			if !idle {
				p.expireAll(w)
			}
		}
		if idle && !n.awaited {
			// The worker is asked again, as nothing on it can be alive.
			n.silent = false
		}
	}
}

func (p *Planner) expireAll(w *ledger.Worker) {
	for _, t := range w.Tasks {
		p.note(sched.TaskEntry{
			Kind: sched.EntryExpired, TaskID: t.Task.ID, Attempt: t.Attempt, Worker: w.Worker, Term: p.book.Term(),
		})
	}
}
