package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a worker that takes no tasks for long without a log line, a figure or an explanation that tells why.
func TestAWorkerWhoseRunsAreNotKnownIsReported(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	core, lines := observer.New(zap.InfoLevel)
	o := options(1)
	o.Log = zap.New(core)
	r.planner = cell.New(r.now, nil, o)
	r.list(worker(1))
	other := job("other", step())
	list := func(a sched.LeaseAnswer, until time.Duration) {
		for end := r.now.Add(until); r.now.Before(end); {
			r.pass(100 * time.Millisecond)
			if len(r.effects.Leases) > 0 {
				r.exchange("w1", a, nil)
			}
			r.commit()
		}
	}
	list(sched.LeaseAnswer{}, 9*time.Second)
	i.Equal(r.planner.UnknownWorkers(), 0)

	stray := sched.RunningRun{Task: sched.TaskRef{Job: "stray"}, Run: 1}
	list(sched.LeaseAnswer{Running: []sched.RunningRun{stray}}, 12*time.Second)
	i.Equal(r.planner.UnknownWorkers(), 1)
	e, known := r.planner.Explain(r.now, "other", &other)
	i.True(known)
	i.Equal(e.Steps[0].Obstacles, map[string]int{"runsUnknown": 1})
	i.Equal(lines.FilterMessage("workerRunsUnknown").Len(), 1)

	list(sched.LeaseAnswer{}, time.Second)
	i.Equal(r.planner.UnknownWorkers(), 0)
	i.Equal(lines.FilterMessage("workerRunsKnown").Len(), 1)
}
