package batch

import (
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Submit gives a task to one of the hosts.
func (s *Sim) Submit(i int, t sched.Task) {
	h := s.hosts[i%len(s.hosts)]
	h.deliver(func() plan.Input {
		h.lastTicket++
		h.tickets[h.lastTicket] = t.ID
		return plan.Submitted{Ticket: h.lastTicket, Task: t.WithSubmittedAt(s.queue.Now)}
	})
}

// Cancel asks one of the hosts to withdraw a task.
func (s *Sim) Cancel(i int, t sched.TaskID) {
	h := s.hosts[i%len(s.hosts)]
	h.deliver(func() plan.Input { return plan.CancelRequested{Task: t} })
}

// Drain takes a worker out of placement or back in.
func (s *Sim) Drain(i int, w sched.InstanceID, drained bool) {
	s.hosts[i].deliver(func() plan.Input { return plan.DrainRequested{Worker: w, Drained: drained} })
}

// CrashHost ends a planner's process; calls under way go on.
func (s *Sim) CrashHost(i int) {
	if h := s.hosts[i]; !h.down {
		h.markAway()
		h.down = true
		h.incarnation++
		h.planner = nil
	}
}

// RestartHost starts a crashed planner with nothing but its settings.
func (s *Sim) RestartHost(i int) {
	if h := s.hosts[i]; h.down {
		h.boot()
		h.tick(h.incarnation)
	}
}

// PauseHost stops a planner for d; then it goes on as if nothing had happened.
func (s *Sim) PauseHost(i int, d time.Duration) {
	h := s.hosts[i]
	h.markAway()
	if until := s.queue.Now.Add(d); until.After(h.pausedUntil) {
		h.pausedUntil = until
	}
}

// CutHost separates a planner from everything but the workers.
func (s *Sim) CutHost(i int, cut bool) {
	h := s.hosts[i]
	if cut {
		h.markAway()
	}
	h.cut = cut
}

// markAway records since when a host is away.
func (h *host) markAway() {
	if !h.isAway() {
		h.awaySince = h.sim.queue.Now
	}
}

// OverrideRole overrides whether a planner is responsible; nil ends the override.
func (s *Sim) OverrideRole(i int, responsible *bool) { s.hosts[i].roleOverride = responsible }

// CrashWorker ends everything on a worker.
func (s *Sim) CrashWorker(i int) { s.workerList[i].crash() }

// RestartWorker brings a crashed worker back without memory.
func (s *Sim) RestartWorker(i int) {
	if w := s.workerList[i]; !w.up {
		w.busyFrom = s.queue.Now
		w.restart()
	}
}

// PartitionWorker separates a worker from a planner.
func (s *Sim) PartitionWorker(i, host int, cut bool) { s.workerList[i].partitioned[host] = cut }

// FailWorker makes everything fail that a worker starts from now on.
func (s *Sim) FailWorker(i int, failing bool) { s.workerList[i].failing = failing }

// Heal ends all faults.
func (s *Sim) Heal() {
	s.Faults, s.LogDown, s.LogDelay = Faults{}, false, 0
	for i, h := range s.hosts {
		h.cut, h.roleOverride, h.pausedUntil = false, nil, s.queue.Now
		s.RestartHost(i)
	}
	for i, w := range s.workerList {
		clear(w.partitioned)
		w.failing = false
		s.RestartWorker(i)
	}
}

// Planners returns the planners that run.
func (s *Sim) Planners() []*plan.Planner {
	var all []*plan.Planner
	for _, h := range s.hosts {
		if !h.down {
			all = append(all, h.planner)
		}
	}
	return slices.Clip(all)
}

// BusyTime returns the processor time that tasks held on all workers.
func (s *Sim) BusyTime() time.Duration {
	total := 0.0
	for _, w := range s.workerList {
		w.addBusyTime()
		total += w.busy / 1000
	}
	return time.Duration(total)
}
