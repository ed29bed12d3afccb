package work

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// pastCapacity is a capacity that the worker had. ReplacedAt is when a heartbeat
// first reported a later one, zero before that.
type pastCapacity struct {
	capacity   sched.Resources
	replacedAt time.Time
}

// Resize changes the capacity of the worker. Its runs go on.
func (w *Worker) Resize(at time.Time, c sched.Resources) {
	w.Advance(at)
	if c != w.Capacity {
		w.pastCapacities = append(w.pastCapacities, pastCapacity{capacity: w.Capacity})
		w.Capacity = c
	}
}

// Reported records that a heartbeat reports the present capacity.
func (w *Worker) Reported(at time.Time) {
	for k := range w.pastCapacities {
		if w.pastCapacities[k].replacedAt.IsZero() {
			w.pastCapacities[k].replacedAt = at
		}
	}
}

// FreeBy returns what the runs leave of the largest capacity that a scheduler may rely
// on if it learns of a reported change within the given delay.
func (w *Worker) FreeBy(at time.Time, delay time.Duration) sched.Resources {
	free := w.Free()
	most := w.Capacity
	for _, c := range w.pastCapacities {
		if c.replacedAt.IsZero() || at.Sub(c.replacedAt) <= delay {
			most.Processors = max(most.Processors, c.capacity.Processors)
			most.Memory = max(most.Memory, c.capacity.Memory)
			most.Accelerators = max(most.Accelerators, c.capacity.Accelerators)
		}
	}
	return free.Plus(most.Minus(w.Capacity))
}
