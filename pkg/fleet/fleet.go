package fleet

import (
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Grace is how long tasks are taken on for a worker that has left the list, and how
// long a list that has just been read may lack workers. Workers restart in that time,
// and entries that have expired during an outage of the store are back 2 s after it.
const Grace = 4 * time.Second

// Fleet holds the workers of one cell. It isn't safe for concurrent use.
type Fleet struct {
	// completeAt is when the list was first known completely, zero before that.
	completeAt time.Time
	listed     map[sched.InstanceID]sched.Worker
	// departed are the workers that have left, and earlier lives of listed ones.
	departed []departure
	// lastFound is the worker that suited the last task of each kind. It is tried
	// first, since it suits most tasks of the kind.
	lastFound map[kind]sched.InstanceID
}

// departure is a worker that was listed until a time.
type departure struct {
	worker sched.Worker
	at     time.Time
}

// kind is what tasks need of a worker besides its capacity.
type kind struct{ service, label string }

// New returns a fleet without workers, whose list isn't complete.
func New() *Fleet {
	return &Fleet{listed: map[sched.InstanceID]sched.Worker{}, lastFound: map[kind]sched.InstanceID{}}
}

// Listed handles a new or changed entry of the list. A worker that has had a larger
// capacity in its present life may have it again, so that one counts.
func (f *Fleet) Listed(now time.Time, w sched.Worker) {
	if before, known := f.listed[w.ID]; known {
		if before.Incarnation == w.Incarnation && before.Service == w.Service && slices.Equal(before.Labels, w.Labels) {
			w.Capacity = larger(before.Capacity, w.Capacity)
		} else {
			f.depart(now, before)
		}
	}
	f.listed[w.ID] = w
}

// Unlisted handles the removal of a worker from the list.
func (f *Fleet) Unlisted(now time.Time, id sched.InstanceID) {
	if w, known := f.listed[id]; known {
		f.depart(now, w)
		delete(f.listed, id)
	}
}

func (f *Fleet) depart(now time.Time, w sched.Worker) {
	f.departed = append(f.dropDeparted(now), departure{w, now})
}

// dropDeparted drops the workers that left more than Grace ago, and returns the rest.
func (f *Fleet) dropDeparted(now time.Time) []departure {
	f.departed = slices.DeleteFunc(f.departed, func(d departure) bool { return now.Sub(d.at) >= Grace })
	return f.departed
}

// Complete tells the fleet that the whole list has been read.
func (f *Fleet) Complete(now time.Time) {
	if f.completeAt.IsZero() {
		f.completeAt = now
	}
}

// Size returns the number of listed workers.
func (f *Fleet) Size() int { return len(f.listed) }

// MayRun reports whether a worker that is listed, or was within Grace, could run tasks
// of the step if nothing else ran on it. It is true until the list has been complete
// for Grace.
func (f *Fleet) MayRun(now time.Time, service string, s *sched.Step) bool {
	if f.completeAt.IsZero() || now.Sub(f.completeAt) < Grace {
		return true
	}
	k := kind{service, s.Label}
	if w, listed := f.listed[f.lastFound[k]]; listed && k.suits(w, s) {
		return true
	}
	for id, w := range f.listed {
		if k.suits(w, s) {
			f.lastFound[k] = id
			return true
		}
	}
	return slices.ContainsFunc(f.dropDeparted(now), func(d departure) bool { return k.suits(d.worker, s) })
}

// suits reports whether a worker without tasks could run one of the step.
func (k kind) suits(w sched.Worker, s *sched.Step) bool {
	return w.Service == k.service && s.Counted().Fits(w.Capacity) && (k.label == "" || slices.Contains(w.Labels, k.label))
}

// larger returns the larger amount of each resource.
func larger(a, b sched.Resources) sched.Resources {
	return sched.Resources{
		Processors: max(a.Processors, b.Processors), Memory: max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
