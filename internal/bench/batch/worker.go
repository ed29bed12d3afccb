package batch

import (
	"fmt"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

type attemptKey struct {
	task    sched.TaskID
	attempt sched.Attempt
}

type attempt struct {
	command         sched.Command
	state           sched.AttemptState
	work            TaskBehavior
	resumedProgress time.Duration // progress of the checkpoint
	startedAt       time.Time
	finalProgress   time.Duration // at the end
	checkpoint      sched.CheckpointID
	reason          string
}

// worker executes calls and runs tasks in virtual time.
type worker struct {
	sim         *Sim
	member      sched.Member
	clockOffset time.Duration
	up          bool
	// failing makes every task fail.
	failing     bool
	partitioned map[int]bool
	boot        uint64
	term        sched.Offset
	leaseUntil  time.Time // by the worker's clock
	attempts    map[attemptKey]*attempt
	waiting     []attemptKey
	used        sched.Resources
	// busy integrates processors over time, in thousandths times nanoseconds.
	busy     float64
	busyFrom time.Time
}

func newWorker(s *Sim, m sched.Member) *worker {
	w := &worker{sim: s, member: m, partitioned: map[int]bool{}, busyFrom: s.queue.Now}
	w.restart()
	return w
}

func (w *worker) restart() {
	w.up, w.boot = true, w.boot+1
	w.clockOffset = w.sim.randomClockOffset()
	w.term, w.leaseUntil = 0, time.Time{}
	w.attempts = map[attemptKey]*attempt{}
	w.waiting, w.used = nil, sched.Resources{}
}

func (w *worker) crash() {
	if !w.up {
		return
	}
	w.addBusyTime()
	for k, a := range w.attempts {
		if a.state == sched.AttemptRunning {
			w.addWasted(a)
			w.sim.Observer.ended(k, w.member.ID)
		}
	}
	w.up = false
	w.used = sched.Resources{}
}

// addBusyTime adds the processor time held since the last call.
func (w *worker) addBusyTime() {
	w.busy += float64(w.used.Processors) * float64(w.sim.queue.Now.Sub(w.busyFrom))
	w.busyFrom = w.sim.queue.Now
}

func (w *worker) clock() time.Time { return w.sim.queue.Now.Add(w.clockOffset) }

// receive executes a call and returns the report.
func (w *worker) receive(c sched.WorkerCall) (sched.WorkerReport, bool) {
	if !w.up {
		return sched.WorkerReport{}, false
	}
	w.expireLease()
	otherBoot := c.Boot != 0 && c.Boot != w.boot
	if c.NotAfter.After(w.clock()) && (!w.sim.config.CheckTokens || c.Term >= w.term && !otherBoot) {
		w.term = max(w.term, c.Term)
		if c.NotAfter.After(w.leaseUntil) {
			w.leaseUntil = c.NotAfter
			w.scheduleLeaseExpiry()
		}
		for _, k := range c.Commands {
			w.execute(k)
		}
	}
	return w.report(), true
}

// scheduleLeaseExpiry ends all attempts when the lease runs out.
func (w *worker) scheduleLeaseExpiry() {
	boot := w.boot
	until := w.leaseUntil
	w.sim.After(until.Sub(w.clock()), func() {
		if w.up && w.boot == boot {
			w.expireLease()
		}
	})
}

func (w *worker) expireLease() {
	if w.clock().Before(w.leaseUntil) {
		return
	}
	for _, k := range w.keys() {
		if a := w.attempts[k]; !a.state.Ended() {
			w.end(k, a, sched.AttemptLeaseExpired, "the lease ran out")
		}
	}
}

func (w *worker) keys() []attemptKey {
	keys := make([]attemptKey, 0, len(w.attempts))
	for k := range w.attempts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b attemptKey) int {
		if a.task != b.task {
			if a.task < b.task {
				return -1
			}
			return 1
		}
		return int(a.attempt - b.attempt)
	})
	return keys
}

func (w *worker) execute(c sched.Command) {
	k := attemptKey{c.Task, c.Attempt}
	a := w.attempts[k]
	switch c.Kind {
	case sched.CommandForget:
		if a != nil && a.state.Ended() {
			delete(w.attempts, k)
		}
		return
	case sched.CommandThrottle:
		return
	default:
	}
	fresh := a == nil
	if fresh {
		a = &attempt{command: c}
		w.attempts[k] = a
	}
	switch c.Kind {
	case sched.CommandStart:
		if fresh && !w.fits(c.Needs) {
			a.state, a.reason = sched.AttemptStopped, "no room"
		} else if fresh {
			w.start(k, a)
		}
	case sched.CommandBind:
		if fresh {
			a.state = sched.AttemptWaiting
			w.waiting = append(w.waiting, k)
		}
	case sched.CommandCheckpoint:
		if a.state == sched.AttemptRunning {
			a.checkpoint = sched.CheckpointID(fmt.Sprintf("%s-%d-%d", k.task, k.attempt, len(w.sim.checkpoints)))
			w.sim.checkpoints[a.checkpoint] = w.progress(a)
			w.end(k, a, sched.AttemptCheckpointed, "")
		} else if !a.state.Ended() {
			w.end(k, a, sched.AttemptStopped, "")
		}
	case sched.CommandStop:
		if !a.state.Ended() {
			w.end(k, a, sched.AttemptStopped, "")
		}
	default:
	}
	w.startWaiting()
}

func (w *worker) fits(r sched.Resources) bool { return w.used.Plus(r).Fits(w.member.Capacity) }

func (w *worker) startWaiting() {
	for len(w.waiting) > 0 {
		k := w.waiting[0]
		a := w.attempts[k]
		if !w.fits(a.command.Needs) {
			return
		}
		w.waiting = w.waiting[1:]
		w.start(k, a)
	}
}

// failAfter is the longest run time of a task that fails.
const failAfter = 200 * time.Millisecond

func (w *worker) start(k attemptKey, a *attempt) {
	w.addBusyTime()
	a.state, a.startedAt = sched.AttemptRunning, w.sim.queue.Now
	a.resumedProgress = w.sim.checkpoints[a.command.Checkpoint]
	a.work = w.sim.config.TaskBehavior(k.task, a.command.TaskKind, w.member.ID)
	a.work.Fails = a.work.Fails || w.failing
	w.used = w.used.Plus(a.command.Needs)
	w.sim.Observer.started(w, k, a.command.Checkpoint)
	left := max(0, a.work.RunTime-a.resumedProgress)
	if a.work.Fails {
		left = min(left, failAfter)
	}
	boot := w.boot
	w.sim.After(left, func() {
		if !w.up || w.boot != boot || w.attempts[k] != a || a.state != sched.AttemptRunning {
			return
		}
		w.expireLease()
		if a.state != sched.AttemptRunning {
			return
		}
		if a.work.Fails {
			w.end(k, a, sched.AttemptFailed, "exit status 1")
		} else {
			w.sim.Observer.finished(k.task)
			w.end(k, a, sched.AttemptDone, "")
		}
		w.startWaiting()
	})
}

func (w *worker) progress(a *attempt) time.Duration {
	return a.resumedProgress + w.sim.queue.Now.Sub(a.startedAt)
}

// addWasted adds the processor time of an attempt whose work is lost.
func (w *worker) addWasted(a *attempt) {
	w.sim.Wasted += w.sim.queue.Now.Sub(a.startedAt) * time.Duration(a.command.Needs.Processors) / 1000
}

// end moves an attempt to a state in which it never runs again.
func (w *worker) end(k attemptKey, a *attempt, s sched.AttemptState, reason string) {
	if a.state == sched.AttemptRunning {
		w.addBusyTime()
		a.finalProgress = w.progress(a)
		w.used = w.used.Minus(a.command.Needs)
		if s != sched.AttemptDone && s != sched.AttemptCheckpointed {
			w.addWasted(a)
		}
		w.sim.Observer.ended(k, w.member.ID)
	}
	if i := slices.Index(w.waiting, k); i >= 0 {
		w.waiting = slices.Delete(w.waiting, i, i+1)
	}
	a.state, a.reason = s, reason
}

func (w *worker) report() sched.WorkerReport {
	r := sched.WorkerReport{
		Worker: w.member.ID, Boot: w.boot, Term: w.term, LeaseUntil: w.leaseUntil, MeasuredAt: w.clock(),
	}
	for _, k := range w.keys() {
		a := w.attempts[k]
		progress := a.finalProgress
		if a.state == sched.AttemptRunning {
			progress = w.progress(a)
		}
		r.Attempts = append(r.Attempts, sched.AttemptReport{
			Task: k.task, Attempt: k.attempt, State: a.state, Checkpoint: a.checkpoint,
			Progress: progress, Usage: a.command.Needs, Reason: a.reason,
		})
	}
	return r
}
