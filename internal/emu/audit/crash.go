package audit

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/work"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// suspectCrashes is the number of workers that must have crashed under a task
	// before its job may be given up.
	suspectCrashes = 2
	// maxCrashes is the number of workers that a task may crash before its further
	// starts count, and maxLateStarts the number of those that is a finding.
	maxCrashes    = 3
	maxLateStarts = 3
)

// crashRecord holds the crashes of workers under a subject, which is a task or the
// members of a gang together.
type crashRecord struct {
	// caused counts the workers that the subject's runs crashed, and shared all that
	// crashed while they ran the subject.
	caused, shared int
	// begun holds the numbers of the subject's runs, and lateStarts counts those that
	// began after maxCrashes workers.
	begun      map[sched.RunNumber]bool
	lateStarts int
}

// subjectOf returns the task, or the first member of its gang.
func subjectOf(r sched.TaskRef, step *sched.Step) sched.TaskRef {
	if step.Gang {
		r.Index = 0
	}
	return r
}

func (a *Audit) crashesOf(subject sched.TaskRef) *crashRecord {
	if a.crashes == nil {
		a.crashes = map[sched.TaskRef]*crashRecord{}
	}
	x := a.crashes[subject]
	if x == nil {
		x = &crashRecord{begun: map[sched.RunNumber]bool{}}
		a.crashes[subject] = x
	}
	return x
}

func (a *Audit) checkCrashes(at time.Time, w *work.Worker, k work.RunKey, step *sched.Step) {
	x := a.crashesOf(subjectOf(k.Task, step))
	if x.begun[k.Run] {
		return
	}
	x.begun[k.Run] = true
	if x.caused < maxCrashes {
		return
	}
	x.lateStarts++
	if x.lateStarts >= maxLateStarts {
		a.report(at, CrashBudget, "%v run %d on %s, start %d after it has crashed %d workers (now %d)",
			k.Task, k.Run, w.ID, x.lateStarts, maxCrashes, x.caused)
	}
}

// Crashed implements work.Observer. It removes the runs that were on the worker, and
// counts the crash for their tasks unless the worker was leaving anyway.
func (a *Audit) Crashed(at time.Time, w *work.Worker) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settledFrom = at.Add(a.SettlingTime)
	byRun := w.CrashedBy != work.RunKey{}
	if byRun {
		a.crashed++
		_, step, _ := a.Jobs.Step(w.CrashedBy.Task)
		a.crashesOf(subjectOf(w.CrashedBy.Task, step)).caused++
	}
	under := map[sched.TaskRef]bool{}
	for r, t := range a.tasks {
		for k, l := range t.running {
			if l.worker != w.ID {
				continue
			}
			delete(t.running, k)
			t.lastRunAt = at
			_, step, _ := a.Jobs.Step(r)
			under[subjectOf(r, step)] = true
			if _, crashes := a.Jobs.CrashTime(r); byRun && !crashes {
				a.innocentLost++
			}
		}
	}
	if !byRun && w.Draining {
		return
	}
	for r := range under {
		a.crashesOf(r).shared++
	}
}

// crashedEnough reports whether so many workers crashed under a task or a gang of the
// job that the job may be given up.
func (a *Audit) crashedEnough(j sched.Job) bool {
	for r, x := range a.crashes {
		if r.Job == j.ID && x.shared >= suspectCrashes {
			return true
		}
	}
	return false
}

// Crashes returns the number of workers that runs crashed, and the number of runs of
// other tasks that were lost by that.
func (a *Audit) Crashes() (workers, innocentRuns int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.crashed, a.innocentLost
}

// InnocentFailed returns the number of jobs that were shown as failed because workers
// crashed under them, though their tasks crash no worker. That is no finding.
func (a *Audit) InnocentFailed() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.innocentFailed)
}
