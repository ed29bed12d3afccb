package audit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/audit"
	"github.com/parsleybarrow/parsleybarrow/internal/emu/book"
	"github.com/parsleybarrow/parsleybarrow/internal/emu/work"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// site is an audit with jobs of one step: "crash", whose first task crashes its worker,
// "gang", a gang of three of which the first does, and "calm".
type site struct {
	audit *audit.Audit
	now   time.Time
	run   sched.RunNumber
}

func newSite() *site {
	b := &book.Jobs{}
	for _, j := range []struct {
		id      sched.JobID
		gang    bool
		crashes int
	}{{"crash", false, 1}, {"gang", true, 1}, {"calm", false, 0}} {
		b.Add(book.JobTruth{
			Job:        sched.Job{ID: j.id, Steps: []sched.Step{{Tasks: 3, Gang: j.gang}}, Queue: sched.Queue{MaxAttempts: 3}},
			CrashTasks: j.crashes, CrashAfter: time.Millisecond,
		})
	}
	return &site{audit: &audit.Audit{Jobs: b, Guards: true}, now: time.UnixMilli(1e6)}
}

// begin starts a run of each task on a worker of its own and returns the workers.
func (s *site) begin(tasks ...sched.TaskRef) []*work.Worker {
	s.run++
	var out []*work.Worker
	for _, r := range tasks {
		s.now = s.now.Add(time.Millisecond)
		w := &work.Worker{Worker: sched.Worker{ID: sched.InstanceID(r.String())}}
		s.audit.Began(s.now, w, work.RunKey{Task: r, Run: s.run}, "", "")
		out = append(out, w)
	}
	return out
}

// crash crashes a worker because of the present run of a task.
func (s *site) crash(w *work.Worker, by sched.TaskRef) {
	w.CrashedBy = work.RunKey{Task: by, Run: s.run}
	s.audit.Crashed(s.now, w)
}

func (s *site) count(rule string) int {
	n := 0
	for _, f := range s.audit.Findings() {
		if f.Rule == rule {
			n++
		}
	}
	return n
}

func task(j sched.JobID, index int) sched.TaskRef { return sched.TaskRef{Job: j, Index: index} }

// Guards against an audit that doesn't see a task crash worker after worker, or that
// counts each member of a gang as a start of its own.
func TestStartsAfterThreeCrashesAreFindings(t *testing.T) {
	rows := []struct {
		name     string
		tasks    []sched.TaskRef
		starts   int
		findings int
	}{
		{"task, five starts", []sched.TaskRef{task("crash", 0)}, 5, 0},
		{"task, seven starts", []sched.TaskRef{task("crash", 0)}, 7, 2},
		{"gang, five starts", []sched.TaskRef{task("gang", 0), task("gang", 1), task("gang", 2)}, 5, 0},
		{"gang, six starts", []sched.TaskRef{task("gang", 0), task("gang", 1), task("gang", 2)}, 6, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite()
			for range row.starts {
				w := s.begin(row.tasks...)
				s.crash(w[0], row.tasks[0])
				for k, o := range w[1:] {
					s.audit.Ended(s.now, o, work.RunKey{Task: row.tasks[k+1], Run: s.run}, sched.EndGangBroken)
				}
			}
			is.New(t).Equal(s.count(audit.CrashBudget), row.findings)
		})
	}
}

// Guards against an audit that takes a job that was given up without cause for one that
// crashed workers, and against one that hides how many innocent jobs were given up.
func TestJobShownAsFailedAfterCrashes(t *testing.T) {
	rows := []struct {
		name     string
		job      sched.JobID
		crashes  int
		byFault  bool
		leaving  bool
		lost     int
		innocent int
	}{
		{"crashing task, one crash", "crash", 1, false, false, 1, 0},
		{"crashing task, two crashes", "crash", 2, false, false, 0, 0},
		{"bystander, two crashes", "calm", 2, false, false, 0, 1},
		{"two crashes by faults", "calm", 2, true, false, 0, 1},
		{"workers that left", "calm", 2, true, true, 1, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite()
			for range row.crashes {
				w := s.begin(task(row.job, 0))[0]
				w.Draining = row.leaving
				if row.byFault {
					s.audit.Crashed(s.now, w)
					continue
				}
				s.crash(w, task("crash", 0))
			}
			s.audit.CheckState(s.now, row.job, sched.JobFailed)
			is.Equal(s.count(audit.Lost), row.lost)
			is.Equal(s.audit.InnocentFailed(), row.innocent)
		})
	}
}

// Guards against an audit that lets a job with a crashing task stay open for ever, or
// that waits for one that was shown as failed.
func TestCrashingJobMustEnd(t *testing.T) {
	is := is.New(t)
	s := newSite()
	s.audit.Submitting("crash")
	s.audit.Submitted("crash", sched.CodeAccepted)
	for range 2 {
		s.crash(s.begin(task("crash", 0))[0], task("crash", 0))
	}
	is.Equal(s.audit.Unfinished(), []sched.JobID{"crash"})
	s.audit.CheckState(s.now, "crash", sched.JobFailed)
	is.Equal(len(s.audit.Unfinished()), 0)
}
