package ledger

import (
	"fmt"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// rememberedEnded is the number of ended tasks whose ids are still recognized,
// about one day of the target load of 48,000 jobs in a single data centre. A
// submission that is repeated later than that counts as new.
const rememberedEnded = 50_000

// Worker is a worker with its tasks and the sums over them. Readers must not
// change it.
type Worker struct {
	sched.WorkerStatus
	// Tasks takes the place of WorkerStatus.Placed, which only images fill.
	Tasks []*sched.TaskStatus
	// Committed is held by tasks that run or may run.
	Committed sched.Resources
	// Bound is needed by tasks that are bound ahead and were not seen to run,
	// and Waiting is their number.
	Bound   sched.Resources
	Waiting int
}

// Free returns what a direct placement may take. Room for bound tasks is left
// out, since the worker starts them by itself as soon as they fit.
func (w *Worker) Free() sched.Resources {
	return w.Capacity.Minus(w.Committed).Minus(w.Bound)
}

// Change reports a valid entry to the caller of Apply.
type Change struct {
	Kind sched.EntryKind
	// Task is nil for entries that concern no single task.
	Task *sched.TaskStatus
	// Worker is nil for entries that concern no worker, and after the removal
	// of a worker.
	Worker *Worker
	// Attempt is the attempt that the entry concerns.
	Attempt sched.Attempt
	// Result is set for EntryEnded.
	Result sched.AttemptState
}

type usageKey struct {
	partner string
	month   int
}

type held struct {
	offset sched.Offset
	record *sched.TaskRecord
}

// Ledger is the state of one task stream. It is not safe for concurrent use.
type Ledger struct {
	applied sched.Offset
	first   sched.Offset
	ready   bool
	// waiting keeps records that were read before a usable snapshot.
	waiting []held

	tasks    map[sched.TaskID]*sched.TaskStatus
	open     int
	ended    []sched.TaskID
	workers  map[sched.InstanceID]*Worker
	shapes   map[sched.Resources]int
	teams    map[string]sched.Resources
	usage    map[usageKey]*sched.PartnerUsage
	terms    []sched.TermStatus
	newest   sched.Offset
	snapshot sched.Offset
	scores   []byte
	changes  []Change
}

// New returns a ledger that has read nothing.
func New() *Ledger {
	return &Ledger{
		tasks:   map[sched.TaskID]*sched.TaskStatus{},
		workers: map[sched.InstanceID]*Worker{},
		shapes:  map[sched.Resources]int{},
		teams:   map[string]sched.Resources{},
		usage:   map[usageKey]*sched.PartnerUsage{},
	}
}

// Apply replays the record at the given offset and returns the changes that
// its valid entries made; the slice is valid until the next call. It returns
// an error if a record was left out or comes a second time. A record that
// can't be decoded is passed as an empty one.
//
// A ledger that starts behind offset 1 collects records until it finds a
// snapshot after which it has read every record. The changes that lead to the
// state of the snapshot are not reported.
func (l *Ledger) Apply(at sched.Offset, r *sched.TaskRecord) ([]Change, error) {
	l.Start(at)
	if at != l.applied+1 {
		return nil, fmt.Errorf("task record %d follows record %d", at, l.applied)
	}
	l.applied = at
	l.changes = l.changes[:0]
	if l.ready {
		l.replay(at, r)
		return l.changes, nil
	}
	if i := usable(r, l.first); i != nil {
		l.load(i)
		// The record itself may hold more than the snapshot.
		l.replay(at, r)
		l.changes = l.changes[:0]
		return l.changes, nil
	}
	l.waiting = append(l.waiting, held{at, r})
	return nil, nil
}

// Start fixes the offset from which the stream is read. A ledger that starts
// at offset 1 is complete from the beginning. Without a call, the first record
// decides.
func (l *Ledger) Start(from sched.Offset) {
	if l.first != 0 {
		return
	}
	l.first = from
	l.applied = from - 1
	l.ready = from == 1
}

// usable returns the snapshot of a record, if all records after it were read.
func usable(r *sched.TaskRecord, first sched.Offset) *sched.TaskImage {
	for k := range r.Entries {
		e := &r.Entries[k]
		if e.Kind == sched.EntrySnapshot && e.Snapshot != nil && e.Snapshot.AsOf >= first-1 &&
			consistent(e.Snapshot) {
			return e.Snapshot
		}
	}
	return nil
}

func (l *Ledger) replay(at sched.Offset, r *sched.TaskRecord) {
	for k := range r.Entries {
		e := &r.Entries[k]
		if e.Kind <= 0 || int(e.Kind) >= len(rules) {
			continue
		}
		if rule := rules[e.Kind]; rule != nil {
			rule(l, e, at, r.At)
		}
	}
}

func (l *Ledger) changed(k sched.EntryKind, t *sched.TaskStatus, w *Worker, a sched.Attempt) {
	l.changes = append(l.changes, Change{Kind: k, Task: t, Worker: w, Attempt: a})
}

// Applied returns the offset of the last record that was read.
func (l *Ledger) Applied() sched.Offset { return l.applied }

// Ready tells whether the state is complete.
func (l *Ledger) Ready() bool { return l.ready }

// NewestTerm returns the newest term, or 0 if it has ended or there is none.
func (l *Ledger) NewestTerm() sched.Offset { return l.newest }

// Terms returns the terms that have not ended, oldest first.
func (l *Ledger) Terms() []sched.TermStatus { return l.terms }

// SnapshotAt returns the offset of the latest snapshot, or 0.
func (l *Ledger) SnapshotAt() sched.Offset { return l.snapshot }

// Scores returns the interference scores of the snapshot that was loaded.
func (l *Ledger) Scores() []byte { return l.scores }

// Task returns a task. Ended tasks are known for a while.
func (l *Ledger) Task(id sched.TaskID) (*sched.TaskStatus, bool) {
	t, ok := l.tasks[id]
	return t, ok
}

// Open returns the number of tasks that have not ended.
func (l *Ledger) Open() int { return l.open }

// EachOpen calls f for every task that has not ended, in no certain order.
func (l *Ledger) EachOpen(f func(*sched.TaskStatus)) {
	for _, t := range l.tasks {
		if !Final(t.State) {
			f(t)
		}
	}
}

// Worker returns a worker.
func (l *Ledger) Worker(id sched.InstanceID) (*Worker, bool) {
	w, ok := l.workers[id]
	return w, ok
}

// EachWorker calls f for every worker, in no certain order.
func (l *Ledger) EachWorker(f func(*Worker)) {
	for _, w := range l.workers {
		f(w)
	}
}

// Team returns what the tasks of a team hold, bound ones included.
func (l *Ledger) Team(name string) sched.Resources { return l.teams[name] }

// Usage returns what a partner pays for in the month of t.
func (l *Ledger) Usage(partner string, t time.Time) sched.PartnerUsage {
	if u := l.usage[usageKey{partner, month(t)}]; u != nil {
		return *u
	}
	return sched.PartnerUsage{Partner: partner, Month: month(t)}
}

// FitsEver tells whether some worker could run a task alone, and returns the
// capacity that comes closest if not. It is true while no worker is known.
func (l *Ledger) FitsEver(needs sched.Resources) (bool, sched.Resources) {
	var best sched.Resources
	for c := range l.shapes {
		if needs.Fits(c) {
			return true, c
		}
		if nearer(needs, c, best) {
			best = c
		}
	}
	return len(l.shapes) == 0, best
}

// nearer tells whether a misses less of the needs than b does.
func nearer(needs, a, b sched.Resources) bool {
	ma, mb := missing(needs, a), missing(needs, b)
	if ma != mb {
		return ma < mb
	}
	if a.Processors != b.Processors {
		return a.Processors > b.Processors
	}
	if a.Memory != b.Memory {
		return a.Memory > b.Memory
	}
	return a.Accelerators > b.Accelerators
}

// missing returns the largest part of any need that c doesn't cover.
func missing(needs, c sched.Resources) float64 {
	part := func(n, h int64) float64 {
		if n <= h {
			return 0
		}
		return float64(n-h) / float64(n)
	}
	return max(part(needs.Processors, c.Processors), part(needs.Memory, c.Memory),
		part(needs.Accelerators, c.Accelerators))
}

// Final tells whether a task in this state has ended.
func Final(s sched.TaskState) bool { return s >= sched.TaskDone }

func month(t time.Time) int {
	u := t.UTC()
	return u.Year()*100 + int(u.Month())
}
