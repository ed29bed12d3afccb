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

// Guards against an audit that misses a task that waits beside free workers, or that
// reports one that has no room, whose turn hasn't come, or that may still wait.
func TestATaskThatWaitsWithRoomForItIsReported(t *testing.T) {
	began := time.Date(2026, 9, 8, 12, 0, 0, 0, time.UTC)
	one := sched.Step{Tasks: 1, Needs: sched.Resources{Processors: 4000, Memory: 1 << 30}}
	with := func(f func(*sched.Step)) []sched.Step {
		s := one
		f(&s)
		return []sched.Step{s}
	}
	rows := []struct {
		name     string
		steps    []sched.Step
		schedule sched.Schedule
		wait     time.Duration
		faultAt  time.Duration // negative without a fault
		want     int
	}{
		{"room", []sched.Step{one}, sched.Schedule{}, 3 * time.Second, -1, 1},
		{"too soon", []sched.Step{one}, sched.Schedule{}, 2900 * time.Millisecond, -1, 0},
		{"one finding for a job", with(func(s *sched.Step) { s.Tasks = 3 }), sched.Schedule{}, 8 * time.Second, -1, 1},
		{"one for each lasting task", with(func(s *sched.Step) { s.Tasks, s.Lasting = 3, true }), sched.Schedule{}, 8 * time.Second, -1, 3},
		{"room for it once", with(func(s *sched.Step) { s.Needs.Memory = 10 << 30 }), sched.Schedule{}, 8 * time.Second, -1, 0},
		{"room for a gang once", with(func(s *sched.Step) { s.Gang, s.Tasks = true, 3 }), sched.Schedule{}, 8 * time.Second, -1, 0},
		{"room for a gang", with(func(s *sched.Step) { s.Gang, s.Tasks = true, 2 }), sched.Schedule{}, 8 * time.Second, -1, 1},
		{"at the limit of each worker", with(func(s *sched.Step) { s.PerWorker = 1 }), sched.Schedule{}, 8 * time.Second, -1, 0},
		{"another label", with(func(s *sched.Step) { s.Label = "b" }), sched.Schedule{}, 8 * time.Second, -1, 0},
		{"fillers while jobs arrive", with(func(s *sched.Step) { s.Filler = true }), sched.Schedule{}, 8 * time.Second, -1, 0},
		{"not due", []sched.Step{one}, sched.Schedule{Times: 1, First: began.Add(time.Minute)}, 8 * time.Second, -1, 0},
		{"a fault meanwhile", []sched.Step{one}, sched.Schedule{}, 8 * time.Second, 2 * time.Second, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			j := sched.Job{ID: "j", Queue: sched.Queue{Service: "s", MaxAttempts: 3}, Steps: row.steps, Schedule: row.schedule}
			books := &book.Jobs{}
			books.Add(book.JobTruth{Job: j})
			a := &audit.Audit{Jobs: books, SettlingTime: 9 * time.Second}
			w := &work.Worker{Worker: sched.Worker{
				ID: "w", Service: "s", Capacity: sched.Resources{Processors: 16000, Memory: 16 << 30},
			}}
			w.Begin(began)
			a.Submitting("j")
			a.Submitted("j", sched.CodeAccepted)
			for d := time.Duration(0); d <= row.wait; d += 100 * time.Millisecond {
				if d == row.faultAt {
					a.SetFaults(began.Add(d), 0)
				}
				a.CheckWaiting(began.Add(d), []*work.Worker{w})
			}
			i.Equal(len(a.Findings()), row.want)
			for _, f := range a.Findings() {
				i.Equal(f.Rule, audit.Waiting)
			}
		})
	}
}

// Guards against an audit that overlooks runs which begin and end between two checks.
func TestAShortRunInterruptsTheWaitOfItsJob(t *testing.T) {
	began := time.Date(2026, 9, 8, 12, 0, 0, 0, time.UTC)
	rows := []struct {
		name    string
		lasting bool
		runAt   time.Duration
		want    int
	}{
		{"in time", false, 2 * time.Second, 0},
		{"too late", false, 3 * time.Second, 1},
		{"of another lasting task", true, 2 * time.Second, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			j := sched.Job{ID: "j", Queue: sched.Queue{Service: "s", MaxAttempts: 3}, Steps: []sched.Step{
				{Tasks: 2, Needs: sched.Resources{Processors: 1000}, Lasting: row.lasting},
			}}
			books := &book.Jobs{}
			books.Add(book.JobTruth{Job: j})
			a := &audit.Audit{Jobs: books}
			w := &work.Worker{Worker: sched.Worker{ID: "w", Service: "s", Capacity: sched.Resources{Processors: 16000, Memory: 16 << 30}}}
			w.Begin(began)
			a.Submitting("j")
			a.Submitted("j", sched.CodeAccepted)
			k := work.RunKey{Task: sched.TaskRef{Job: "j", Index: 1}, Run: 1}
			for d := time.Duration(0); d <= row.runAt+2500*time.Millisecond; d += 250 * time.Millisecond {
				a.CheckWaiting(began.Add(d), []*work.Worker{w})
				if d == row.runAt {
					a.Began(began.Add(d+10*time.Millisecond), w, k, "", "")
					a.Ended(began.Add(d+90*time.Millisecond), w, k, sched.EndFailed)
				}
			}
			n := 0
			for _, f := range a.Findings() {
				if f.Rule == audit.Waiting {
					n++
				}
			}
			i.Equal(n, row.want)
		})
	}
}
