package worker

import (
	"fmt"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Reasons in attempt reports. ReasonExit is used both for a faulty worker and for a
// task that always fails, because a real worker can't distinguish them either.
const (
	ReasonExit         = "exit status 1"
	ReasonNoResources  = "insufficient resources, not started"
	ReasonNoCheckpoint = "checkpoint not found, not started"
)

// applyCall executes a call at w.now. It ignores a call whose NotAfter has been
// reached on the worker's clock. If Config.CheckTokens is set, it also ignores a call
// with a lower term than the highest seen since the last restart, and a call for
// another boot number.
func (w *Worker) applyCall(call sched.WorkerCall) {
	otherBoot := call.Boot != 0 && call.Boot != w.boot
	if w.pool.config.CheckTokens && (call.Term < w.term || otherBoot) {
		return
	}
	if !call.NotAfter.After(w.now.Add(w.clockOffset)) {
		return
	}
	w.term = max(w.term, call.Term)
	if call.NotAfter.After(w.leaseUntil) {
		w.leaseUntil = call.NotAfter
	}
	for _, c := range call.Commands {
		if act, ok := commandHandlers[c.Kind]; ok {
			act(w, c)
			w.startWaiting()
		}
	}
}

var commandHandlers = map[sched.CommandKind]func(*Worker, sched.Command){
	sched.CommandStart:      (*Worker).commandStart,
	sched.CommandBind:       (*Worker).commandBind,
	sched.CommandStop:       (*Worker).commandStop,
	sched.CommandCheckpoint: (*Worker).commandCheckpoint,
	sched.CommandThrottle:   (*Worker).commandThrottle,
	sched.CommandForget:     (*Worker).commandForget,
}

func keyOf(c sched.Command) attemptKey { return attemptKey{c.Task, c.Attempt} }

// findOrAdd returns the attempt that a command refers to and adds it if it is
// unknown. It also reports whether the attempt was known before the call.
func (w *Worker) findOrAdd(c sched.Command) (*attempt, bool) {
	a, known := w.attempts[keyOf(c)]
	if !known {
		a = &attempt{attemptKey: keyOf(c), command: c, share: 1}
		w.attempts[a.attemptKey] = a
	}
	return a, known
}

func (w *Worker) commandStart(c sched.Command) {
	a, known := w.findOrAdd(c)
	if known && a.state != sched.AttemptWaiting {
		return
	}
	if !w.hasRoom(c.Needs) {
		w.endAttempt(a, sched.AttemptStopped, ReasonNoResources)
		return
	}
	a.command = c
	w.startAttempt(a)
}

func (w *Worker) commandBind(c sched.Command) {
	a, known := w.findOrAdd(c)
	if known {
		return
	}
	if !c.Needs.Fits(w.member.Capacity) {
		w.endAttempt(a, sched.AttemptStopped, ReasonNoResources)
		return
	}
	a.state = sched.AttemptWaiting
	w.waiting = append(w.waiting, a.attemptKey)
}

func (w *Worker) commandStop(c sched.Command) {
	a, _ := w.findOrAdd(c)
	if !a.state.Ended() {
		w.endAttempt(a, sched.AttemptStopped, "")
	}
}

func (w *Worker) commandCheckpoint(c sched.Command) {
	a, _ := w.findOrAdd(c)
	switch {
	case a.state == sched.AttemptRunning:
		a.advance(w.now)
		a.checkpoint = w.pool.writeCheckpoint(a.attemptKey, a.progress)
		w.endAttempt(a, sched.AttemptCheckpointed, "")
	case !a.state.Ended():
		w.endAttempt(a, sched.AttemptStopped, "")
	}
}

func (w *Worker) commandThrottle(c sched.Command) {
	if a, ok := w.attempts[keyOf(c)]; ok && !a.state.Ended() {
		a.advance(w.now)
		a.share = min(max(c.Share, 0), 1)
	}
}

func (w *Worker) commandForget(c sched.Command) {
	if a, ok := w.attempts[keyOf(c)]; ok && a.state.Ended() {
		delete(w.attempts, a.attemptKey)
	}
}

func (w *Worker) hasRoom(r sched.Resources) bool {
	return (sched.Resources{}).Fits(r) && w.used.Plus(r).Fits(w.member.Capacity)
}

// startWaiting starts waiting attempts in order of arrival and stops at the first
// one that doesn't fit into the free resources.
func (w *Worker) startWaiting() {
	for len(w.waiting) > 0 {
		a := w.attempts[w.waiting[0]]
		if !w.hasRoom(a.command.Needs) {
			return
		}
		w.startAttempt(a)
	}
}

func (w *Worker) startAttempt(a *attempt) {
	w.removeWaiting(a.attemptKey)
	c := a.command
	if c.Checkpoint != "" {
		progress, ok := w.pool.readCheckpoint(c.Checkpoint)
		if !ok {
			w.endAttempt(a, sched.AttemptStopped, ReasonNoCheckpoint)
			return
		}
		a.progress = progress
	}
	a.state = sched.AttemptRunning
	a.work = w.pool.config.Truth(a.task, c.TaskKind)
	a.willFail = a.work.Fails || w.faults.FailAll
	a.progressAt = w.now
	w.used = w.used.Plus(c.Needs)
	w.pool.observer.recordStart(w.member, a.attemptKey, c.Checkpoint, w.now)
	w.pool.observer.recordCommitted(w.member, w.used)
}

// endAttempt moves an attempt to the ended state s. It releases the resources of a
// running attempt and removes a waiting one from the queue.
func (w *Worker) endAttempt(a *attempt, s sched.AttemptState, reason string) {
	if a.state == sched.AttemptRunning {
		a.advance(w.now)
		w.used = w.used.Minus(a.command.Needs)
		w.pool.observer.recordEnd(w.member.ID, a.attemptKey, s, w.now)
	}
	w.removeWaiting(a.attemptKey)
	a.state, a.reason = s, reason
}

func (w *Worker) finishAttempt(a *attempt) {
	if a.willFail {
		w.endAttempt(a, sched.AttemptFailed, ReasonExit)
		return
	}
	w.endAttempt(a, sched.AttemptDone, "")
}

func (w *Worker) removeWaiting(k attemptKey) {
	if n := slices.Index(w.waiting, k); n >= 0 {
		w.waiting = slices.Delete(w.waiting, n, n+1)
	}
}

// advance updates the progress of a running attempt to the given time.
func (a *attempt) advance(now time.Time) {
	if a.state == sched.AttemptRunning {
		a.progress += time.Duration(float64(now.Sub(a.progressAt)) * a.share)
		a.progressAt = now
	}
}

// endsAt returns when an attempt ends if no command changes it before, and false if
// it is not running or its share is 0. The end of a failing attempt counts from
// progressAt, so each report or change of share postpones it.
func (a *attempt) endsAt() (time.Time, bool) {
	if a.state != sched.AttemptRunning || a.share <= 0 {
		return time.Time{}, false
	}
	if a.willFail {
		return a.progressAt.Add(min(failingRunTime, a.work.RunTime)), true
	}
	rest := max(0, a.work.RunTime-a.progress)
	return a.progressAt.Add(time.Duration(float64(rest) / a.share)), true
}

func (p *Pool) writeCheckpoint(k attemptKey, progress time.Duration) sched.CheckpointID {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := sched.CheckpointID(fmt.Sprintf("checkpoint-%d-%s-%d", len(p.checkpoints)+1, k.task, k.attempt))
	p.checkpoints[id] = progress
	return id
}

func (p *Pool) readCheckpoint(id sched.CheckpointID) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	progress, ok := p.checkpoints[id]
	return progress, ok
}
