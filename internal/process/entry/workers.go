package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/process/follow"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// workerPollWait is how long a read of the workers' records waits for new ones;
	// the store may fail to answer a waiting read when the record arrives together with
	// it.
	workerPollWait = 1500 * time.Millisecond
	// workerReadInterval is the time between two reads. It bounds their rate while
	// many records change, and is short enough that a draining worker is known
	// within the platform's limit.
	workerReadInterval = 200 * time.Millisecond
)

// workerList follows the platform's list of workers while the instance plans at
// least one cell, and forwards each entry to the planner of the worker's cell.
type workerList struct {
	entry *Entry

	mu    sync.Mutex
	known map[sched.InstanceID]sched.Worker
	// complete is set once known holds the whole list.
	complete      bool
	activeTerms   int
	stopFollowing context.CancelFunc
}

func newWorkerList(e *Entry) *workerList {
	return &workerList{entry: e, known: map[sched.InstanceID]sched.Worker{}}
}

// addTerm forwards the known entries to the planner of a new term. With the first
// term it begins to follow the list.
func (w *workerList) addTerm(c context.Context, cell int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activeTerms++
	for _, k := range w.known {
		w.forward(cell, k)
	}
	if l := w.entry.lead(cell); l != nil && w.complete {
		l.WorkersComplete()
	}
	if w.activeTerms > 1 {
		return
	}
	e := w.entry
	f := &follow.Follower{
		Store: e.Store, Partition: e.Registry.Workers(), Clock: e.Clock, Wait: workerPollWait, ReadInterval: workerReadInterval,
		OnFullRead: w.replaceAll, OnAppended: w.applyRecords, OnError: e.storeStateLogger("workers"),
	}
	x, cancel := context.WithCancel(c)
	w.stopFollowing = cancel
	go f.Run(x)
}

// removeTerm is called once for each addTerm, when the term has ended. With the last
// term it stops following the list.
func (w *workerList) removeTerm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activeTerms--
	if w.activeTerms == 0 {
		w.stopFollowing()
		clear(w.known)
		w.complete = false
	}
}

// forward passes an entry to the planner of the worker's cell. If the cell argument
// isn't negative, entries of other cells are left out.
func (w *workerList) forward(cell int, k sched.Worker) {
	n := w.entry.directory.Cells()
	at := CellOf(string(k.ID), n)
	if cell >= 0 && at != cell {
		return
	}
	if l := w.entry.lead(at); l != nil {
		l.WorkerListed(k)
	}
}

// replaceAll takes the complete list. Known workers that it doesn't contain are
// unlisted.
func (w *workerList) replaceAll(records []sched.KeyedRecord) {
	listed := map[sched.InstanceID]bool{}
	for _, r := range records {
		listed[sched.InstanceID(r.Key)] = true
	}
	w.mu.Lock()
	var gone []sched.KeyedRecord
	for id := range w.known {
		if !listed[id] {
			gone = append(gone, sched.KeyedRecord{Key: string(id)})
		}
	}
	w.mu.Unlock()
	w.applyRecords(append(gone, records...))
	w.setComplete()
}

// setComplete tells all planners here that they have been given the whole list.
func (w *workerList) setComplete() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.complete = true
	for cell := range w.entry.directory.Cells() {
		if l := w.entry.lead(cell); l != nil {
			l.WorkersComplete()
		}
	}
}

// applyRecords takes new records of the list. A record without a value removes the
// worker's entry.
func (w *workerList) applyRecords(records []sched.KeyedRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range records {
		id := sched.InstanceID(r.Key)
		if len(r.Value) == 0 {
			delete(w.known, id)
			if l := w.entry.lead(CellOf(r.Key, w.entry.directory.Cells())); l != nil {
				l.WorkerUnlisted(id)
			}
			continue
		}
		k, err := w.entry.Registry.DecodeWorker(r)
		if err != nil {
			w.entry.Log.Warn("badWorkerRecord", zap.String("key", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
			continue
		}
		w.known[id] = k
		w.forward(-1, k)
	}
}

// CellOf returns the cell of a job or a worker, 0 if there are no cells yet. The
// cell of an id never changes, since the number of cells is fixed.
func CellOf(id string, cells int) int {
	if cells < 1 {
		return 0
	}
	return int(xxhash.Sum64String(id) % uint64(cells))
}
