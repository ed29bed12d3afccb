package work

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/book"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Worker is an emulated worker. Exported fields are set before the first call. It
// isn't safe for concurrent use. Its methods take the real time, which must not
// go backward.
type Worker struct {
	sched.Worker
	Rules    Rules
	Jobs     *book.Jobs
	Gangs    *Gangs
	Observer Observer
	// ClockRate is the rate of the worker's own clock relative to real time.
	ClockRate float64
	// Slow is the factor by which work takes longer; values below 1 count as 1.
	Slow float64
	// Still stops all progress, while the worker keeps answering.
	Still bool
	// Failing makes new runs fail at a tenth of their work.
	Failing bool
	// Refusing makes the worker refuse start and lease orders as unhealthy.
	Refusing bool
	// Down is set from a crash until the next Begin, and DownSince is the time of the
	// last crash.
	Down      bool
	DownSince time.Time
	// CrashedBy is the run that crashed the worker, zero if the crash had another
	// cause or the worker has begun again.
	CrashedBy RunKey

	startedAt  time.Time
	now        time.Time
	token      sched.FencingToken
	leaseUntil sched.WorkerClock
	runs       map[RunKey]*run
	// runOrder holds the keys of runs in order of start, so that runs advance in
	// a fixed order.
	runOrder []RunKey
	// unackedEnds holds the ends that were not acknowledged, oldest first.
	unackedEnds []listedEnd
	// lastEnd is the number of the newest end.
	lastEnd int64
	noted   int64
	// highestRun is the highest run number per task that ended or was stopped
	// here. Start orders up to it are refused.
	highestRun map[sched.TaskRef]sched.RunNumber
	// lapses counts the leases that expired. lapsed is set while the present
	// lease is expired.
	lapses int
	lapsed bool
	// pastCapacities holds the capacities before each change, oldest first.
	pastCapacities []pastCapacity
}

// run is a run on the worker.
type run struct {
	key   RunKey
	step  *sched.Step
	truth book.JobTruth
	began time.Time
	// worksFrom is when work begins, after the restore from a checkpoint.
	worksFrom time.Time
	// totalWork is the work of the whole task, workDone the part that is done,
	// and workSaved the part in the newest checkpoint.
	totalWork time.Duration
	workDone  time.Duration
	workSaved time.Duration
	// failsAt is the fraction of the work at which the run fails, above 1 if it
	// doesn't.
	failsAt float64
	// crashAt is when the run crashes the worker, zero if it doesn't.
	crashAt time.Time
	// pace is the fraction of its full speed that the run may reach.
	pace float64
	// stopAt is when an ordered stop takes effect, zero without a stop order.
	stopAt time.Time
	// milliProcessors is the use of processors, smoothed over figureWindow.
	milliProcessors float64
	// tailMillis is the tail latency of a serving task.
	tailMillis float64
	// working is set if the run could make progress in the last step.
	working bool
}

// listedEnd is an end of a run that is reported until it is acknowledged.
type listedEnd struct {
	sched.EndedRun
	key RunKey
	// lapses is the number of expired leases when the run ended.
	lapses int
}

// Begin starts a new life of the worker, without any state of the earlier ones.
func (w *Worker) Begin(at time.Time) {
	w.startedAt, w.now = at, at
	w.Incarnation = at.UnixMilli()
	w.token, w.leaseUntil, w.lastEnd, w.noted, w.lapses, w.lapsed = 0, 0, 0, 0, 0, false
	w.runs, w.runOrder, w.unackedEnds = map[RunKey]*run{}, nil, nil
	w.highestRun = map[sched.TaskRef]sched.RunNumber{}
	w.Down, w.CrashedBy = false, RunKey{}
}

// Crash ends the present life of the worker and all runs on it, and drops ends
// that were not acknowledged. It has no effect on a worker that is down.
func (w *Worker) Crash(at time.Time) {
	w.Advance(at)
	if !w.Down {
		w.crash(at, RunKey{})
	}
}

// crash ends the present life of the worker because of a run, zero for another cause.
func (w *Worker) crash(at time.Time, by RunKey) {
	for _, k := range w.runOrder {
		w.Gangs.ended(at, k, sched.EndLeaseExpired)
	}
	w.runs, w.runOrder, w.unackedEnds = map[RunKey]*run{}, nil, nil
	w.Down, w.DownSince, w.CrashedBy = true, at, by
	w.Observer.Crashed(at, w)
}

// Clock returns the time on the worker's own clock, which starts at 0 with each life.
func (w *Worker) Clock(at time.Time) sched.WorkerClock {
	return sched.WorkerClock(w.ClockRate * float64(at.Sub(w.startedAt)))
}

func (w *Worker) answer(at time.Time, r sched.Refusal) sched.OrderAnswer {
	return sched.OrderAnswer{Refusal: r, Clock: w.Clock(at), Incarnation: w.Incarnation}
}

// fenced reports whether an order must be refused because the worker has seen a
// higher token. Otherwise it stores the token as the highest.
func (w *Worker) fenced(t sched.FencingToken) bool {
	if t < w.token {
		return true
	}
	w.token = t
	return false
}

// extendLease renews the lease that covers all runs on the worker, at most up to
// LeaseLimit from now. It never shortens the lease.
func (w *Worker) extendLease(at time.Time, until sched.WorkerClock) {
	w.leaseUntil = max(w.leaseUntil, min(until, w.Clock(at)+sched.WorkerClock(w.Rules.LeaseLimit)))
	w.lapsed = w.lapsed && w.Clock(at) > w.leaseUntil
}

// Start carries out a start order. A repeated order for a present run changes
// nothing but the lease. A task that Jobs doesn't hold is reported to Observer,
// but makes no run.
func (w *Worker) Start(at time.Time, o sched.StartOrder) sched.OrderAnswer {
	w.Advance(at)
	k := RunKey{o.Task, o.Run}
	truth, step, known := w.Jobs.Step(o.Task)
	switch {
	case w.Refusing:
		return w.answer(at, sched.RefusedUnhealthy)
	case w.fenced(o.Token):
		return w.answer(at, sched.RefusedToken)
	case w.runs[k] != nil:
		w.extendLease(at, o.Lease)
		return w.answer(at, sched.NotRefused)
	case o.Run <= w.highestRun[o.Task]:
		w.extendLease(at, o.Lease)
		return w.answer(at, sched.RefusedStaleRun)
	case o.Lease < w.Clock(at):
		return w.answer(at, sched.RefusedLeaseExpired)
	case known && truth.Job.Queue.Advice != nil && !w.permits(at, o.Task, o.Ticket):
		w.extendLease(at, o.Lease)
		return w.answer(at, sched.RefusedTicket)
	case known && w.Rules.Guards && !step.Counted().Fits(w.Free()):
		w.extendLease(at, o.Lease)
		return w.answer(at, sched.RefusedNoCapacity)
	}
	w.extendLease(at, o.Lease)
	w.Observer.Began(at, w, k, o.Payload, o.Checkpoint)
	if !known {
		return w.answer(at, sched.NotRefused)
	}
	w.addRun(at, k, step, truth, o.Checkpoint)
	return w.answer(at, sched.NotRefused)
}

func (w *Worker) addRun(at time.Time, k RunKey, step *sched.Step, truth book.JobTruth, from sched.CheckpointID) {
	r := &run{
		key: k, step: step, truth: truth, began: at, worksFrom: at, totalWork: w.Jobs.RunTime(k.Task),
		failsAt: w.Jobs.FailureFraction(k.Task, k.Run), pace: 1,
	}
	if w.Failing {
		r.failsAt = 0.1
	}
	if after, crashes := w.Jobs.CrashTime(k.Task); crashes {
		r.crashAt = at.Add(after)
	}
	if from != "" {
		r.workDone = parseCheckpoint(from)
		r.workSaved = r.workDone
		r.worksFrom = at.Add(w.Rules.Restore)
	}
	if away := step.DataRack; away != "" && away != w.Rack() {
		r.totalWork = time.Duration(float64(r.totalWork) * max(1, w.Rules.FarFactor))
	}
	w.runs[k] = r
	w.runOrder = append(w.runOrder, k)
	if step.Gang {
		w.Gangs.joined(at, k, step.Tasks)
	}
}

// checkpointID returns the ID of a checkpoint, which is the work that it holds in
// microseconds, hexadecimal. It is empty if no work is done.
func checkpointID(done time.Duration) sched.CheckpointID {
	if done <= 0 {
		return ""
	}
	return sched.CheckpointID(fmt.Sprintf("%016x", done.Microseconds()))
}

// parseCheckpoint returns the work that a checkpoint holds, 0 if the ID is invalid.
func parseCheckpoint(c sched.CheckpointID) time.Duration {
	var us int64
	if _, err := fmt.Sscanf(string(c), "%x", &us); err != nil {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

// Free returns the capacity that the runs on the worker leave. The processors of
// fillers don't count.
func (w *Worker) Free() sched.Resources {
	free := w.Capacity
	for _, r := range w.runs {
		free = free.Minus(r.step.Counted())
	}
	return free
}

// Stop carries out a stop order. The run ends after StopTime. A run that hasn't
// started yet can't start afterwards.
func (w *Worker) Stop(at time.Time, o sched.StopOrder) sched.OrderAnswer {
	w.Advance(at)
	if w.fenced(o.Token) {
		return w.answer(at, sched.RefusedToken)
	}
	w.highestRun[o.Task] = max(w.highestRun[o.Task], o.Run)
	if r := w.runs[RunKey{o.Task, o.Run}]; r != nil && r.stopAt.IsZero() {
		r.stopAt = at.Add(w.Rules.StopTime)
	}
	return w.answer(at, sched.NotRefused)
}

// Pace carries out a pace order. It has no effect if the run isn't there.
func (w *Worker) Pace(at time.Time, o sched.PaceOrder) sched.OrderAnswer {
	w.Advance(at)
	if w.fenced(o.Token) {
		return w.answer(at, sched.RefusedToken)
	}
	if r := w.runs[RunKey{o.Task, o.Run}]; r != nil {
		r.pace = float64(o.Percent) / 100
	}
	return w.answer(at, sched.NotRefused)
}

// Lease carries out a lease order. It answers at once, whatever the order's Wait.
func (w *Worker) Lease(at time.Time, o sched.LeaseOrder) sched.LeaseAnswer {
	w.Advance(at)
	switch {
	case w.Refusing:
		return sched.LeaseAnswer{OrderAnswer: w.answer(at, sched.RefusedUnhealthy)}
	case w.fenced(o.Token):
		return sched.LeaseAnswer{OrderAnswer: w.answer(at, sched.RefusedToken)}
	}
	if o.Lease > 0 {
		w.extendLease(at, o.Lease)
	}
	w.acknowledge(at, o.RecordedEnd)
	return w.report(at)
}

// Report returns the worker's present runs and ends, without a lease order.
func (w *Worker) Report(at time.Time) sched.LeaseAnswer {
	w.Advance(at)
	return w.report(at)
}

// acknowledge drops the ends with numbers up to the given one and reports them to
// Watch.
func (w *Worker) acknowledge(at time.Time, upTo int64) {
	for len(w.unackedEnds) > 0 && w.unackedEnds[0].Number <= upTo {
		e := w.unackedEnds[0]
		w.unackedEnds = w.unackedEnds[1:]
		w.Observer.Acknowledged(at, w, e.key, e.End, e.lapses != w.lapses)
	}
}

func (w *Worker) report(at time.Time) sched.LeaseAnswer {
	a := sched.LeaseAnswer{OrderAnswer: w.answer(at, sched.NotRefused)}
	for _, k := range w.runOrder {
		r := w.runs[k]
		x := sched.RunningRun{Task: k.Task, Run: k.Run, Percent: r.percent(at, w.Rules), Measurement: int64(r.milliProcessors)}
		if r.step.Checkpoints {
			x.Checkpoint = checkpointID(r.workSaved)
		}
		if r.step.TailGoal > 0 {
			x.Measurement = int64(math.Round(r.tailMillis))
		}
		a.Running = append(a.Running, x)
	}
	for _, e := range w.unackedEnds[:min(len(w.unackedEnds), maxListedEnds)] {
		a.Ended = append(a.Ended, e.EndedRun)
	}
	return a
}

// percent returns the progress of a run. A lasting task has 0 until it is ready,
// and then 100.
func (r *run) percent(at time.Time, rules Rules) int {
	const whole = 100
	if r.step.Lasting {
		if !r.working || at.Sub(r.began) < rules.Startup {
			return 0
		}
		return whole
	}
	return int(min(1, float64(r.workDone)/float64(max(1, r.totalWork))) * whole)
}

// finish ends a run and lists its end. A stopped run first writes a checkpoint if
// its step allows that.
func (w *Worker) finish(at time.Time, k RunKey, how sched.RunEnd) {
	r := w.runs[k]
	delete(w.runs, k)
	w.runOrder = slices.DeleteFunc(w.runOrder, func(o RunKey) bool { return o == k })
	w.highestRun[k.Task] = max(w.highestRun[k.Task], k.Run)
	w.lastEnd++
	e := sched.EndedRun{Number: w.lastEnd, Task: k.Task, Run: k.Run, End: how}
	if r.step.Checkpoints && how != sched.EndDone {
		if how == sched.EndStopped {
			w.saveCheckpoint(r, r.workDone)
		}
		e.Checkpoint = checkpointID(r.workSaved)
	}
	w.unackedEnds = append(w.unackedEnds, listedEnd{e, k, w.lapses})
	w.Observer.Ended(at, w, k, how)
	if r.step.Gang {
		w.Gangs.ended(at, k, how)
	}
}

// saveCheckpoint writes a checkpoint if it holds more work than the last one.
func (w *Worker) saveCheckpoint(r *run, done time.Duration) {
	if done > r.workSaved {
		r.workSaved = done
		w.Observer.Saved(r.key.Task, checkpointID(done))
	}
}

// noise returns a number from -1 up to but not including 1 that depends only on the
// words, the worker and the seed.
func (w *Worker) noise(words ...any) float64 {
	h := xxhash.Sum64String(fmt.Sprint(append(words, w.ID, w.Jobs.Seed)...))
	return 2*float64(h>>11)/(1<<53) - 1
}

// Serving returns the runs of serving tasks on the worker, in order of start.
func (w *Worker) Serving() []RunKey {
	var out []RunKey
	for _, k := range w.runOrder {
		if w.runs[k].step.TailGoal > 0 {
			out = append(out, k)
		}
	}
	return out
}
