package cell

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/crash"
	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// simultaneousSpan is the longest time between the ends of workers that have
	// one cause outside, such as the loss of a rack.
	simultaneousSpan = time.Second
	// minSimultaneous is the number of other workers that must end within
	// simultaneousSpan for that. Two tasks may crash their workers at one time by
	// chance.
	minSimultaneous = 2
	// silenceRetention is how long the end of a worker is remembered. A crash is
	// known for sure once the worker is back, some seconds later.
	silenceRetention = 30 * time.Second
	// crashNoticeTime is how long a planner may go on placing runs on a worker that has
	// crashed: until an exchange to which the worker may wait has timed out.
	crashNoticeTime = exchangeWait + 900*time.Millisecond
)

// silence is the time at which a worker stopped answering. It is explained if a run is
// likely to have crashed the worker.
type silence struct {
	worker    sched.InstanceID
	at        time.Time
	explained bool
}

// noteSilence notes that a worker didn't answer a call, to which it may wait for the
// given time before it answers. A call that broke off tells when it did. One that timed
// out tells only that the worker was silent when it should have answered, and perhaps
// before; the first of several such calls counts, whichever times out first. A call of
// a worker that this planner hasn't reached yet tells nothing.
func (p *Planner) noteSilence(h *hosts.Host, r Result, wait time.Duration) {
	if r.Err == nil || !h.RunsKnown {
		return
	}
	since, by := r.Received, r.Received
	if errors.Is(r.Err, context.DeadlineExceeded) {
		since, by = r.Sent, r.Sent.Add(wait)
	}
	before := h.SilentSince
	if !h.Silent(since, by) {
		return
	}
	p.dropSilence(h.ID, before)
	p.silences = slices.DeleteFunc(p.silences, func(s silence) bool { return r.Received.Sub(s.at) > silenceRetention })
	p.silences = append(p.silences, silence{worker: h.ID, at: h.SilentSince})
}

// dropSilence forgets that a worker stopped answering at the given time.
func (p *Planner) dropSilence(id sched.InstanceID, at time.Time) {
	p.silences = slices.DeleteFunc(p.silences, func(s silence) bool { return s.worker == id && s.at.Equal(at) })
}

// answered notes an answer of a worker whose runs are known. If it was silent without
// having restarted, that was no end.
func (p *Planner) answered(now time.Time, h *hosts.Host, restarted bool) {
	if !restarted && !h.SilentSince.IsZero() {
		p.dropSilence(h.ID, h.SilentSince)
	}
	h.Answered(now)
}

// simultaneous reports whether several other workers stopped answering at about the
// given time without a run that explains it.
func (p *Planner) simultaneous(id sched.InstanceID, at time.Time) bool {
	others := map[sched.InstanceID]bool{}
	for _, s := range p.silences {
		if s.worker != id && s.at.Sub(at).Abs() <= simultaneousSpan && !p.explained(s) {
			others[s.worker] = true
		}
	}
	return len(others) >= minSimultaneous
}

// explained reports whether a run is likely to have caused a silence. While the worker
// is still silent, the runs there tell.
func (p *Planner) explained(s silence) bool {
	h := p.workers[s.worker]
	if h == nil || !h.SilentSince.Equal(s.at) {
		return s.explained
	}
	return s.explained || crash.Explained(facts(p.crashedRuns(s.at, h, slices.Collect(maps.Values(h.Slots)))))
}

// crashUnit returns the task whose Crashes counts the crashes under a task: the
// first member of a gang, else the task itself.
func crashUnit(j *job, r sched.TaskRef) sched.TaskRef {
	if j.Steps[r.Step].Gang {
		r.Index = 0
	}
	return r
}

// suspected reports whether a task may crash its worker: it was on one that crashed, and
// none of its runs has ended by itself since.
func (j *job) suspected(r sched.TaskRef) bool {
	unit := crashUnit(j, r)
	t := j.Task(unit)
	return t != nil && t.Suspect && !j.provenTasks[unit]
}

// noteProven notes that a run of a task has ended by itself, so that the task need not be
// kept apart from others any more. Its crashes still count.
func (j *job) noteProven(r sched.TaskRef) {
	if !j.suspected(r) {
		return
	}
	if j.provenTasks == nil {
		j.provenTasks = map[sched.TaskRef]bool{}
	}
	j.provenTasks[crashUnit(j, r)] = true
}

// crashedRun is a run that was on a worker when it crashed, with its job.
type crashedRun struct {
	job  *job
	task sched.TaskRef
	crash.Run
}

// workerCrashed counts the end of a worker against the tasks that may have crashed
// it. The slots are the runs that ended with it. It is called only with proof that
// the worker has restarted or was replaced: a silent worker may still be alive. A
// worker that was about to leave hasn't crashed.
func (p *Planner) workerCrashed(now time.Time, h *hosts.Host, slots []*hosts.Slot) {
	if slots = slices.DeleteFunc(slots, h.Left); len(slots) == 0 {
		return
	}
	at := h.SilentSince
	if at.IsZero() {
		at = now
	}
	runs := p.crashedRuns(at, h, slots)
	if crash.Explained(facts(runs)) {
		for k := range p.silences {
			if s := &p.silences[k]; s.worker == h.ID && s.at.Equal(at) {
				s.explained = true
			}
		}
	}
	simultaneous := !h.AnsweredAt.IsZero() && p.simultaneous(h.ID, at) // else the time of the crash isn't known
	p.options.Log.Info("workerCrashed", zap.String("worker", string(h.ID)), zap.Int("runs", len(runs)),
		zap.Bool("simultaneous", simultaneous), zap.Duration("ago", now.Sub(at)))
	p.stats.Crashes++
	for k, v := range crash.Judge(facts(runs), simultaneous) {
		if v.Suspect {
			p.suspectTask(now, h, runs[k], v)
		}
	}
}

// facts returns what the runs are judged by.
func facts(runs []crashedRun) []crash.Run {
	out := make([]crash.Run, len(runs))
	for k, r := range runs {
		out[k] = r.Run
	}
	return out
}

// crashedRuns returns the started runs among the slots, the members of a gang as one,
// with their ages at the given time.
func (p *Planner) crashedRuns(at time.Time, h *hosts.Host, slots []*hosts.Slot) []crashedRun {
	var out []crashedRun
	index := map[sched.TaskRef]int{}
	newest := newestPlacement(slots)
	for _, s := range slots {
		j := p.jobs[s.Task.Job]
		if j == nil || s.Phase == hosts.Recorded || j.State.Final() || orderedTooLate(h, s) {
			continue
		}
		r := crashedRun{job: j, task: crashUnit(j, s.Task)}
		t := j.Task(r.task)
		if t == nil || t.Done {
			continue
		}
		r.Suspect, r.Crashes, r.UnsureCrashes, r.Started = t.Suspect, t.Crashes, t.UnsureCrashes, !s.StartedAt.IsZero()
		switch {
		case !s.OrderedAt.IsZero():
			r.Age, r.AgeKnown = max(0, at.Sub(s.OrderedAt)), true
		case !s.StartedAt.IsZero():
			r.Age = max(0, at.Sub(s.StartedAt))
		case !s.PlacedAt.IsZero():
			r.Age = max(0, newest.Add(-crashNoticeTime).Sub(s.PlacedAt))
		}
		if k, member := index[r.task]; member {
			if r.Started { // the gang has started if one member has
				out[k] = r
			}
			continue
		}
		index[r.task] = len(out)
		out = append(out, r)
	}
	return out
}

// newestPlacement returns when the last of the runs was placed. A planner that has
// taken over knows no more of when the worker crashed: its predecessor placed none
// there later than crashNoticeTime after the crash.
func newestPlacement(slots []*hosts.Slot) time.Time {
	var newest time.Time
	for _, s := range slots {
		if s.PlacedAt.After(newest) {
			newest = s.PlacedAt
		}
	}
	return newest
}

// orderedTooLate reports whether the start order of a run was sent when the worker had
// stopped answering, so that the run has never started.
func orderedTooLate(h *hosts.Host, s *hosts.Slot) bool {
	return s.StartedAt.IsZero() && !h.SilentBy.IsZero() && s.OrderedAt.After(h.SilentBy)
}

// suspectTask counts a crash for a task that may have caused it, and ends its job
// as failed if the task is to be given up.
func (p *Planner) suspectTask(now time.Time, h *hosts.Host, r crashedRun, v crash.Verdict) {
	t := r.job.Task(r.task)
	t.Suspect = true
	delete(r.job.provenTasks, r.task)
	if v.Counts {
		t.Crashes++
		if !r.Started {
			t.UnsureCrashes++
		}
	}
	p.markDirty(r.job)
	p.options.Log.Info("crashSuspect", zap.Stringer("task", r.task), zap.String("worker", string(h.ID)),
		zap.Int("crashes", t.Crashes), zap.Bool("started", r.Started), zap.Duration("age", r.Age),
		zap.Bool("ageKnown", r.AgeKnown))
	if !v.GiveUp || r.job.State.Final() {
		return
	}
	p.stats.GivenUp++
	p.options.Log.Info("jobFailed", zap.String("job", string(r.job.ID)), zap.Stringer("task", r.task),
		zap.Int("crashes", t.Crashes))
	r.job.Failure = sched.FailureCrashes
	p.endJob(now, r.job, sched.JobFailed)
}
