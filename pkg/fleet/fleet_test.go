package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/fleet"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const service = "simdesk"

var epoch = time.Date(2026, 9, 8, 12, 0, 0, 0, time.UTC)

func worker(n int) sched.Worker {
	return sched.Worker{
		ID: sched.InstanceID(fmt.Sprintf("w%d", n)), Service: service, Labels: []string{"a", "rack0"},
		Capacity: sched.Resources{Processors: 16000, Memory: 64 << 30}, Incarnation: 1,
	}
}

func step() sched.Step {
	return sched.Step{Tasks: 1, Needs: sched.Resources{Processors: 1000, Memory: 1 << 30}}
}

// Guards against refusing what a worker could run, and against taking on what none can.
func TestStepsAreComparedWithTheListedWorkers(t *testing.T) {
	tables := []struct {
		name   string
		change func(w *sched.Worker, s *sched.Step)
		may    bool
	}{
		{"plain", func(*sched.Worker, *sched.Step) {}, true},
		{"other service", func(w *sched.Worker, _ *sched.Step) { w.Service = "other" }, false},
		{"label", func(_ *sched.Worker, s *sched.Step) { s.Label = "a" }, true},
		{"label that no worker has", func(_ *sched.Worker, s *sched.Step) { s.Label = "b" }, false},
		{"whole capacity", func(w *sched.Worker, s *sched.Step) { s.Needs = w.Capacity }, true},
		{"too many processors", func(_ *sched.Worker, s *sched.Step) { s.Needs.Processors = 16001 }, false},
		{"too much memory", func(_ *sched.Worker, s *sched.Step) { s.Needs.Memory = 65 << 30 }, false},
		{"accelerator", func(_ *sched.Worker, s *sched.Step) { s.Needs.Accelerators = 1 }, false},
		{"filler with more processors", func(_ *sched.Worker, s *sched.Step) { s.Filler, s.Needs.Processors = true, 16001 }, true},
		{"draining", func(w *sched.Worker, _ *sched.Step) { w.Draining = true }, true},
	}
	for _, x := range tables {
		t.Run(x.name, func(t *testing.T) {
			i := is.New(t)
			w, s := worker(1), step()
			x.change(&w, &s)
			f := fleet.New()
			f.Complete(epoch)
			f.Listed(epoch, w)
			now := epoch.Add(fleet.Grace)
			i.Equal(f.MayRun(now, service, &s), x.may)
			i.Equal(f.MayRun(now, service, &s), x.may) // with the worker that was found before
		})
	}
}

// Guards against refusals during short gaps, and against taking jobs on for good for workers that have left.
func TestADepartedWorkerCountsForAWhile(t *testing.T) {
	reborn, resized := worker(1), worker(1)
	reborn.Incarnation, reborn.Labels = 2, []string{"b", "rack0"}
	resized.Capacity.Processors = 500
	needsA := step()
	needsA.Label = "a"
	tables := []struct {
		name    string
		depart  func(now time.Time, f *fleet.Fleet)
		forever bool
	}{
		{"unlisted", func(now time.Time, f *fleet.Fleet) { f.Unlisted(now, "w1") }, false},
		{"new life of another kind", func(now time.Time, f *fleet.Fleet) { f.Listed(now, reborn) }, false},
		{"smaller for now", func(now time.Time, f *fleet.Fleet) { f.Listed(now, resized) }, true},
	}
	for _, x := range tables {
		t.Run(x.name, func(t *testing.T) {
			i := is.New(t)
			f := fleet.New()
			f.Complete(epoch)
			f.Listed(epoch, worker(1))
			now := epoch.Add(time.Minute)
			x.depart(now, f)
			i.True(f.MayRun(now, service, &needsA))
			now = now.Add(fleet.Grace - time.Millisecond)
			i.True(f.MayRun(now, service, &needsA))
			now = now.Add(time.Millisecond)
			i.Equal(f.MayRun(now, service, &needsA), x.forever)
			f.Listed(now, worker(2))
			i.True(f.MayRun(now, service, &needsA))
		})
	}
}

// Guards against refusals while the list isn't known, or has only just been read.
func TestEverythingMayRunUntilTheListIsKnown(t *testing.T) {
	i := is.New(t)
	f, s := fleet.New(), step()
	now := epoch.Add(time.Hour)
	i.True(f.MayRun(now, service, &s))
	f.Complete(now)
	i.True(f.MayRun(now.Add(fleet.Grace-time.Millisecond), service, &s))
	f.Complete(now.Add(time.Second)) // the list was read again
	i.True(!f.MayRun(now.Add(fleet.Grace), service, &s))
}

// BenchmarkMayRun compares a step that most of 900 workers could run with one that none could.
func BenchmarkMayRun(b *testing.B) {
	tables := []struct {
		name       string
		processors int64
	}{{"most", 1000}, {"none", 17000}}
	for _, x := range tables {
		b.Run(x.name, func(b *testing.B) {
			f, s := fleet.New(), step()
			s.Needs.Processors = x.processors
			f.Complete(epoch)
			for n := range 900 {
				f.Listed(epoch, worker(n))
			}
			now := epoch.Add(fleet.Grace)
			for b.Loop() {
				f.MayRun(now, service, &s)
			}
		})
	}
}
