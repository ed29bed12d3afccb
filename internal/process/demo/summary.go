package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/process/load"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Summary is what the callers and the observers counted.
type Summary struct {
	load.Counts
	// Doubled counts unrepeatable requests that ran again, and tasks that ran
	// in two places, finished twice or resumed twice.
	Doubled int64 `json:"doubled"`
	// Lost counts answers without a run, refusals of requests that ran, and
	// accepted tasks that were not done at the end.
	Lost          int64 `json:"lost"`
	Overcommitted int64 `json:"overcommitted"`
	TasksDone     int64 `json:"tasksDone"`
	Evictions     int64 `json:"evictions"`
	// MixedUp counts answers that belong to another request.
	MixedUp          int64   `json:"mixedUp"`
	ServiceP99Millis float64 `json:"serviceP99Millis"`
	Seconds          float64 `json:"seconds"`
}

// Broken describes a broken invariant, empty if there is none.
func (s Summary) Broken() string {
	switch {
	case s.Doubled != 0 || s.Lost != 0 || s.Overcommitted != 0 || s.MixedUp != 0:
		return fmt.Sprintf("%d doubled, %d lost, %d overcommitted, %d mixed up", s.Doubled, s.Lost, s.Overcommitted, s.MixedUp)
	case s.Accepted != s.Answered+s.Failed+s.Unknown:
		return fmt.Sprintf("%d accepted, but %d answered, %d failed and %d unknown", s.Accepted, s.Answered, s.Failed, s.Unknown)
	}
	return ""
}

// Print writes the summary for people.
func (s Summary) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, `requests   %d issued, %d accepted: %d answered, %d failed, %d unknown; %d refused and not run
tasks      %d accepted, %d done, %d evictions
observers  %d doubled, %d lost, %d overcommitted, %d mixed up
service    p99 %.1f ms at the callers
`,
		s.Issued, s.Accepted, s.Answered, s.Failed, s.Unknown, s.RefusedNotRun,
		s.TasksAccepted, s.TasksDone, s.Evictions,
		s.Doubled, s.Lost, s.Overcommitted, s.MixedUp, s.ServiceP99Millis)
}

// settle waits until the accepted tasks are done.
func (d *Demo) settle(l *load.Load) {
	end := time.Now().Add(settleTime)
	for time.Now().Before(end) && d.undone(l) > 0 {
		_ = clock.System{}.Sleep(context.Background(), 100*time.Millisecond)
	}
}

func (d *Demo) undone(l *load.Load) int64 {
	o := d.fleet.Pool.Observer()
	n := int64(0)
	for _, id := range l.AcceptedTasks() {
		if o.Finished(sched.TaskID(id)) == 0 {
			n++
		}
	}
	return n
}

func (d *Demo) summary(l *load.Load) Summary {
	workers := d.fleet.Pool.Observer().Counts()
	s := Summary{Counts: l.Counts(), Seconds: time.Since(d.start).Seconds()}
	s.ServiceP99Millis = float64(l.P99().Microseconds()) / 1000
	s.MixedUp = l.MixedUp()
	undone := d.undone(l)
	s.TasksDone = s.TasksAccepted - undone
	s.Evictions = int64(workers.Checkpointed)
	s.Overcommitted = int64(workers.Overcommitted)
	s.Doubled = int64(workers.DoubleRuns + workers.DoubleFinishes + workers.DoubleResumes + workers.DuplicateStarts)
	s.Lost = undone
	for _, e := range l.Ends() {
		runs := d.fleet.BackendObserver.Runs(e.ID)
		if e.Unrepeatable && runs > 1 {
			s.Doubled += int64(runs - 1)
		}
		answeredUnrun := e.Outcome == sched.OutcomeAnswered && runs == 0
		refusedRun := e.Outcome == sched.OutcomeRefusedNotRun && runs > 0
		if answeredUnrun || refusedRun {
			s.Lost++
		}
	}
	return s
}

// report shows the progress.
func (d *Demo) report(c context.Context, l *load.Load) {
	for (clock.System{}).Sleep(c, 2*time.Second) == nil {
		n := l.Counts()
		d.say("requests: %d issued, %d answered, %d refused, %d unknown; tasks: %d accepted, %d finished",
			n.Issued, n.Answered, n.RefusedNotRun, n.Unknown, n.TasksAccepted, d.fleet.Pool.Observer().Counts().Finished)
	}
}
