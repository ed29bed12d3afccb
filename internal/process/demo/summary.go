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

// Summary holds the counts of the callers and of the observers. The demo prints
// it as JSON.
type Summary struct {
	load.Counts
	// Doubled counts repeated runs of unrepeatable requests, and tasks that ran
	// on two workers at a time, finished twice, resumed a checkpoint twice or
	// started the same attempt twice.
	Doubled int64 `json:"doubled"`
	// Lost counts answers without a run, refusals of requests that ran, and
	// accepted tasks that were not done at the end.
	Lost int64 `json:"lost"`
	// Overcommitted counts workers that ever held more than their capacity.
	Overcommitted int64 `json:"overcommitted"`
	TasksDone     int64 `json:"tasksDone"`
	// Evictions counts runs that ended with a checkpoint.
	Evictions int64 `json:"evictions"`
	// MixedUp counts answers with the id of another request.
	MixedUp          int64   `json:"mixedUp"`
	ServiceP99Millis float64 `json:"serviceP99Millis"`
	Seconds          float64 `json:"seconds"`
}

// Violation describes a violated invariant. It returns an empty string if all hold.
func (s Summary) Violation() string {
	switch {
	case s.Doubled != 0 || s.Lost != 0 || s.Overcommitted != 0 || s.MixedUp != 0:
		return fmt.Sprintf("%d doubled, %d lost, %d overcommitted, %d mixed up", s.Doubled, s.Lost, s.Overcommitted, s.MixedUp)
	case s.Accepted != s.Answered+s.Failed+s.Unknown:
		return fmt.Sprintf("%d accepted, but %d answered, %d failed and %d unknown", s.Accepted, s.Answered, s.Failed, s.Unknown)
	}
	return ""
}

// Print writes the summary as readable text.
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

// settle waits until the accepted tasks are done, at most for settleTimeout.
func (d *Demo) settle(l *load.Generator) {
	end := time.Now().Add(settleTimeout)
	for time.Now().Before(end) && d.unfinished(l) > 0 {
		_ = clock.System{}.Sleep(context.Background(), 100*time.Millisecond)
	}
}

// unfinished returns the number of accepted tasks that have not finished.
func (d *Demo) unfinished(l *load.Generator) int64 {
	o := d.fleet.Pool.Observer()
	n := int64(0)
	for _, id := range l.AcceptedTasks() {
		if o.Finished(sched.TaskID(id)) == 0 {
			n++
		}
	}
	return n
}

func (d *Demo) summary(l *load.Generator) Summary {
	workers := d.fleet.Pool.Observer().Counts()
	s := Summary{Counts: l.Counts(), Seconds: time.Since(d.start).Seconds()}
	s.ServiceP99Millis = float64(l.P99().Microseconds()) / 1000
	s.MixedUp = l.MixedUp()
	unfinished := d.unfinished(l)
	s.TasksDone = s.TasksAccepted - unfinished
	s.Evictions = int64(workers.Checkpointed)
	s.Overcommitted = int64(workers.Overcommitted)
	s.Doubled = int64(workers.DoubleRuns + workers.DoubleFinishes + workers.DoubleResumes + workers.DuplicateStarts)
	s.Lost = unfinished
	for _, e := range l.Outcomes() {
		runs := d.fleet.BackendObserver.Runs(e.ID)
		if e.Unrepeatable && runs > 1 {
			s.Doubled += int64(runs - 1)
		}
		answeredNotRun := e.Outcome == sched.OutcomeAnswered && runs == 0
		refusedButRan := e.Outcome == sched.OutcomeRefusedNotRun && runs > 0
		if answeredNotRun || refusedButRan {
			s.Lost++
		}
	}
	return s
}

// report writes the counts every 2 s until the context ends.
func (d *Demo) report(c context.Context, l *load.Generator) {
	for (clock.System{}).Sleep(c, 2*time.Second) == nil {
		n := l.Counts()
		d.progressf("requests: %d issued, %d answered, %d refused, %d unknown; tasks: %d accepted, %d finished",
			n.Issued, n.Answered, n.RefusedNotRun, n.Unknown, n.TasksAccepted, d.fleet.Pool.Observer().Counts().Finished)
	}
}
