package world

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/work"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// maxWaitingAdvice is the number of waiting calls of an instance from which on the advice
// service refuses more.
const maxWaitingAdvice = 32

var _ sched.Advisor = (*Client)(nil)

// Advise implements sched.Advisor. The advice service handles the calls of one instance one
// at a time, with the times of the queue of the step's job, and goes on with calls that were
// given up. It permits every worker.
func (s *Client) Advise(c context.Context, r sched.StepRef, workers []sched.InstanceID) ([]sched.Ticket, time.Duration, error) {
	path, err := s.send(c, s.workPath, alwaysReached)
	if err != nil {
		return nil, 0, err
	}
	w := s.world
	truth, known := w.Jobs.Job(r.Job)
	a := truth.Job.Queue.Advice
	if !known || a == nil {
		return nil, 0, fmt.Errorf("%w: step %v needs no advice", sched.ErrUnavailable, r)
	}
	arrived := w.Clock.Now()
	ends, accepted := w.queueAdvice(s.id, arrived, a.Decision+time.Duration(len(workers))*a.PerWorker)
	if !accepted {
		return nil, 0, fmt.Errorf("%w: too many calls wait", sched.ErrUnavailable)
	}
	if err := w.Clock.Sleep(c, ends.Sub(arrived)); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", sched.ErrUncertain, err)
	}
	from := ends
	if w.TicketsFromArrival {
		from = arrived
	}
	tickets := w.tickets(r, workers, from.Add(a.Validity))
	return tickets, a.Validity, s.receive(c, path)
}

// queueAdvice adds a call of an instance to the advice service's queue. It returns when the
// call will have been handled, and false if too many wait.
func (w *World) queueAdvice(id sched.InstanceID, at time.Time, takes time.Duration) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting := slices.DeleteFunc(w.advice[id], func(ends time.Time) bool { return !ends.After(at) })
	w.advice[id] = waiting
	if len(waiting) >= maxWaitingAdvice {
		return time.Time{}, false
	}
	ends := at
	if n := len(waiting); n > 0 {
		ends = waiting[n-1]
	}
	ends = ends.Add(takes)
	w.advice[id] = append(waiting, ends)
	return ends, true
}

// tickets returns tickets for the present lives of the workers that are up.
func (w *World) tickets(r sched.StepRef, workers []sched.InstanceID, until time.Time) []sched.Ticket {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []sched.Ticket
	for _, x := range w.sortedWorkers() {
		if !x.Down && slices.Contains(workers, x.ID) {
			out = append(out, sched.Ticket{Worker: x.ID, Text: work.TicketText(r, x.Worker, until)})
		}
	}
	return out
}
