package world

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/work"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// update calls f with the lock held.
func (w *World) update(f func(now time.Time)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.Clock.Now())
}

// Kill marks an instance's process as ended. Calls that have not reached the
// platform yet are lost.
func (w *World) Kill(id sched.InstanceID) {
	w.update(func(time.Time) {
		if s := w.sides[id]; s != nil {
			s.dead = true
		}
	})
}

// Dead reports whether an instance's process was killed or never started.
func (w *World) Dead(id sched.InstanceID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.sides[id]
	return s == nil || s.dead
}

// Freeze holds back an instance's new calls until Thaw.
func (w *World) Freeze(id sched.InstanceID) {
	w.update(func(time.Time) {
		if s := w.sides[id]; s != nil && s.thawed == nil {
			s.thawed = make(chan struct{})
		}
	})
}

// Thaw releases the calls that Freeze held back.
func (w *World) Thaw(id sched.InstanceID) {
	w.update(func(time.Time) {
		if s := w.sides[id]; s != nil && s.thawed != nil {
			close(s.thawed)
			s.thawed = nil
		}
	})
}

// Frozen returns a channel that Thaw closes, or nil if the instance isn't frozen.
func (w *World) Frozen(id sched.InstanceID) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.sides[id]; s != nil {
		return s.thawed
	}
	return nil
}

// StorePath changes the behavior of an instance's calls to the store.
func (w *World) StorePath(id sched.InstanceID, f func(*Path)) {
	w.update(func(time.Time) {
		if s := w.sides[id]; s != nil {
			f(&s.store)
		}
	})
}

// WorkPath changes the behavior of an instance's orders to workers.
func (w *World) WorkPath(id sched.InstanceID, f func(*Path)) {
	w.update(func(time.Time) {
		if s := w.sides[id]; s != nil {
			f(&s.work)
		}
	})
}

// CutWorkerFrom makes the worker at an address unreachable for one instance, or reachable
// again if cut is false.
func (w *World) CutWorkerFrom(id sched.InstanceID, address string, cut bool) {
	w.update(func(time.Time) {
		if s := w.sides[id]; s != nil {
			s.unreachable[address] = cut
		}
	})
}

// IsolateWorker isolates the worker at an address from all instances and stops its
// heartbeats, or ends that if cut is false. The worker and its runs continue meanwhile.
func (w *World) IsolateWorker(address string, cut bool) {
	w.update(func(time.Time) { w.isolated[address] = cut })
}

// Worker advances the worker at an address to the present time and then calls f on it,
// with the lock held.
func (w *World) Worker(address string, f func(now time.Time, x *work.Worker)) {
	w.update(func(now time.Time) {
		if x := w.workers[address]; x != nil {
			x.Advance(now)
			f(now, x)
		}
	})
}

// Evacuate writes the operator's record of the evacuation of a data centre, or withdraws it.
func (w *World) Evacuate(d sched.DataCentre, inForce bool) {
	var value []byte
	if inForce {
		value = []byte("{}")
	}
	w.update(func(now time.Time) {
		w.write(operatorPartition, evacuatePrefix+string(d), value)
		w.Audit.SetEvacuated(now, d, inForce)
	})
}

// TrimHistory removes the history of the operator's and the workers' records from the
// store. The newest record of each key stays.
func (w *World) TrimHistory() {
	w.store.TrimHistory(operatorPartition)
	w.store.TrimHistory(workerPartition)
}

// StoreCounts returns the number of successful appends to the store and the bytes
// that they added.
func (w *World) StoreCounts() (appends, bytes int64) { return w.store.Counts() }

// WriteWorkerRecord writes an entry to the list of workers as another writer would.
func (w *World) WriteWorkerRecord(key string, value []byte) {
	w.update(func(time.Time) { w.write(workerPartition, key, value) })
}
