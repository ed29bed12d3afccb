package plan_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/internal/bench/batch"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	testPlanners = 3
	testWorkers  = 5
)

// faults are the actions of the state machine. Each draws its own details.
var faults = []struct {
	name string
	do   func(t *rapid.T, s *batch.Sim, n int)
}{
	{"submit", submitSome},
	{"submitUrgent", func(t *rapid.T, s *batch.Sim, n int) {
		k := task(fmt.Sprintf("urgent-%d", n), rapid.Int64Range(1, 8).Draw(t, "processors")*1000)
		k.Urgency = sched.UrgencyUrgent
		s.Submit(n, k)
	}},
	{"submitAgain", func(t *rapid.T, s *batch.Sim, n int) {
		s.Submit(n, task(fmt.Sprintf("task-%d-0", rapid.IntRange(0, n).Draw(t, "id")), 3000))
	}},
	{"cancel", func(t *rapid.T, s *batch.Sim, n int) {
		s.Cancel(n, sched.TaskID(fmt.Sprintf("task-%d-0", rapid.IntRange(0, n).Draw(t, "id"))))
	}},
	{"crashHost", func(t *rapid.T, s *batch.Sim, _ int) { s.CrashHost(drawHost(t)) }},
	{"restartHost", func(t *rapid.T, s *batch.Sim, _ int) { s.RestartHost(drawHost(t)) }},
	{"pauseHost", func(t *rapid.T, s *batch.Sim, _ int) { s.PauseHost(drawHost(t), drawTime(t, 60)) }},
	{"cutHost", func(t *rapid.T, s *batch.Sim, _ int) { s.CutHost(drawHost(t), rapid.Bool().Draw(t, "cut")) }},
	{"misleadHost", func(t *rapid.T, s *batch.Sim, _ int) {
		v := rapid.Bool().Draw(t, "responsible")
		s.MisleadHost(drawHost(t), &v)
	}},
	{"guideHost", func(t *rapid.T, s *batch.Sim, _ int) { s.MisleadHost(drawHost(t), nil) }},
	{"crashWorker", func(t *rapid.T, s *batch.Sim, _ int) { s.CrashWorker(drawWorker(t)) }},
	{"restartWorker", func(t *rapid.T, s *batch.Sim, _ int) { s.RestartWorker(drawWorker(t)) }},
	{"partitionWorker", func(t *rapid.T, s *batch.Sim, _ int) {
		s.PartitionWorker(drawWorker(t), drawHost(t), rapid.Bool().Draw(t, "cut"))
	}},
	{"isolateWorker", func(t *rapid.T, s *batch.Sim, _ int) {
		w := drawWorker(t)
		for h := range testPlanners {
			s.PartitionWorker(w, h, true)
		}
	}},
	{"logDown", func(_ *rapid.T, s *batch.Sim, _ int) { s.LogDown = true }},
	{"logUp", func(_ *rapid.T, s *batch.Sim, _ int) { s.LogDown, s.LogDelay = false, 0 }},
	{"logSlow", func(t *rapid.T, s *batch.Sim, _ int) { s.LogDelay = drawTime(t, 7) }},
	{"network", func(t *rapid.T, s *batch.Sim, _ int) {
		p := func(name string) float64 { return rapid.Float64Range(0, 0.3).Draw(t, name) }
		s.Faults = batch.Faults{
			LoseCall: p("loseCall"), LoseAnswer: p("loseAnswer"), DuplicateCall: p("duplicateCall"),
			DelayCall: p("delayCall"), MaxDelay: drawTime(t, 15), LoseAck: p("loseAck"), LateAppend: p("lateAppend"),
		}
	}},
}

func submitSome(t *rapid.T, s *batch.Sim, n int) {
	for i := range rapid.IntRange(1, 8).Draw(t, "tasks") {
		k := task(fmt.Sprintf("task-%d-%d", n, i), rapid.Int64Range(1, 16).Draw(t, "processors")*1000)
		k.Urgency = sched.Urgency(rapid.IntRange(1, 2).Draw(t, "urgency"))
		k.Kind = rapid.SampledFrom([]string{"sweep", "sweep", "sweep", "broken"}).Draw(t, "kind")
		k.Team = rapid.SampledFrom([]string{"rooms", "small"}).Draw(t, "team")
		if k.Team == "small" && k.Needs.Processors > 8000 {
			k.Needs.Processors = 8000
		}
		s.Submit(n, k)
	}
}

func drawHost(t *rapid.T) int   { return rapid.IntRange(0, testPlanners-1).Draw(t, "host") }
func drawWorker(t *rapid.T) int { return rapid.IntRange(0, testWorkers-1).Draw(t, "worker") }

func drawTime(t *rapid.T, seconds int) time.Duration {
	return time.Duration(rapid.IntRange(0, seconds*10).Draw(t, "tenths")) * 100 * time.Millisecond
}

func imageBytes(tb rapid.TB, l *ledger.Ledger) []byte {
	b, err := codec.EncodeTaskRecord(sched.TaskRecord{
		Entries: []sched.TaskEntry{{Kind: sched.EntrySnapshot, Snapshot: l.Image()}},
	})
	if err != nil {
		tb.Fatalf("encode: %v", err)
	}
	return b
}

// checkNow checks what must hold at every moment.
func checkNow(t rapid.TB, s *batch.Sim, step string) {
	if len(s.Observer.Violations) > 0 {
		t.Fatalf("after %s: %v", step, s.Observer.Violations)
	}
	images := map[sched.Offset][]byte{}
	for _, p := range append(s.Planners(), (*plan.Planner)(nil)) {
		l := s.Ledger()
		if p != nil {
			l = p.Ledger()
		}
		if !l.Ready() {
			continue
		}
		b := imageBytes(t, l)
		if other, ok := images[l.Applied()]; ok && !bytes.Equal(b, other) {
			t.Fatalf("after %s: two replicas differ at record %d", step, l.Applied())
		}
		images[l.Applied()] = b
	}
}

// checkEnd checks what must hold some time after the last fault.
func checkEnd(t rapid.TB, s *batch.Sim) {
	l := s.Ledger()
	l.EachOpen(func(k *sched.TaskStatus) {
		t.Errorf("task %s is still open: %+v", k.Task.ID, *k)
	})
	done := int64(0)
	for id := range s.Accepted {
		k, known := l.Task(id)
		switch {
		case !known:
			t.Errorf("accepted task %s is lost", id)
		case k.State == sched.TaskFailed && k.Reason == "":
			t.Errorf("task %s failed without a reason", id)
		case k.State == sched.TaskDone && s.Observer.Finishes[id] == 0:
			t.Errorf("task %s is recorded as done but never finished", id)
		}
	}
	for id := range s.Observer.FirstStart {
		if k, known := l.Task(id); known && k.State == sched.TaskDone {
			done++
		}
	}
	if runs := l.Usage("kooperatiba", s.Now()).Runs; runs != done {
		t.Errorf("%d runs are recorded, %d tasks are done", runs, done)
	}
}

const healTime = 15 * time.Minute

// runFaults is one run of the state machine.
func runFaults(t *rapid.T) {
	c := config(rapid.Uint64().Draw(t, "seed"), testPlanners, testWorkers)
	c.CheckTokens = rapid.Bool().Draw(t, "checkTokens")
	if rapid.Bool().Draw(t, "retain") {
		c.Retain = 250
		c.Options = func(o *plan.Options) { o.SnapshotEvery = 100 }
	}
	s := batch.New(c)
	s.Run(2 * time.Second)
	for n := range rapid.IntRange(5, 40).Draw(t, "steps") {
		f := rapid.SampledFrom(faults).Draw(t, "action")
		f.do(t, s, n)
		s.Run(drawTime(t, 20))
		checkNow(t, s, f.name)
	}
	s.Heal()
	s.Run(healTime)
	checkNow(t, s, "the end")
	checkEnd(t, s)
}

// Guards against tasks that run twice, are lost, or are counted twice when
// planners, workers, the network and the log fail in any order, and against
// replicas that disagree.
func TestFaults(t *testing.T) { rapid.Check(t, runFaults) }
