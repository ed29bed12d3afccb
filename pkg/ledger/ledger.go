package ledger

import (
	"fmt"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// maxEndedTasks is the number of ended tasks that are kept, so that a repeated
// submission of their ids is recognized. It covers about one day of the target load
// of 48,000 jobs in one data centre. A submission that is repeated later counts as
// new.
const maxEndedTasks = 50_000

// Worker is a worker with its tasks and the sums of their needs. Callers must not
// change it.
type Worker struct {
	sched.WorkerStatus
	// Tasks holds the placed and bound tasks in order of placement. It replaces
	// WorkerStatus.Placed, which is set in images only.
	Tasks []*sched.TaskStatus
	// Committed is the sum of the needs of placed tasks, which run or may run.
	Committed sched.Resources
	// Bound is the sum of the needs of tasks that are bound ahead and have not
	// been reported as running, and BoundTasks is their number.
	Bound      sched.Resources
	BoundTasks int
}

// Free returns the resources that a direct placement may take. The needs of bound
// tasks are subtracted, since the worker starts them by itself as soon as they fit.
func (w *Worker) Free() sched.Resources {
	return w.Capacity.Minus(w.Committed).Minus(w.Bound)
}

// Change describes the effect of a valid entry to the caller of Apply.
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

// usageKey identifies a partner's usage in a month, given as year*100 + month.
type usageKey struct {
	partner   string
	yearMonth int
}

// readRecord is a record that was read but not applied.
type readRecord struct {
	offset sched.Offset
	record *sched.TaskRecord
}

// Ledger is the state of one task stream. It is not safe for concurrent use.
type Ledger struct {
	applied   sched.Offset
	firstRead sched.Offset
	ready     bool
	// unreplayed keeps the records that were read before a usable snapshot.
	unreplayed []readRecord

	tasks        map[sched.TaskID]*sched.TaskStatus
	openTasks    int
	endedTasks   []sched.TaskID
	workers      map[sched.InstanceID]*Worker
	capacities   map[sched.Resources]int
	teamUse      map[string]sched.Resources
	usage        map[usageKey]*sched.PartnerUsage
	openTerms    []sched.TermStatus
	newestTerm   sched.Offset
	lastSnapshot sched.Offset
	scores       []byte
	changes      []Change
}

// New returns a ledger that has read no record.
func New() *Ledger {
	return &Ledger{
		tasks:      map[sched.TaskID]*sched.TaskStatus{},
		workers:    map[sched.InstanceID]*Worker{},
		capacities: map[sched.Resources]int{},
		teamUse:    map[string]sched.Resources{},
		usage:      map[usageKey]*sched.PartnerUsage{},
	}
}

// Apply replays the record at the given offset and returns the changes that
// its valid entries made; the slice is valid until the next call. It returns an
// error if a record is missing or repeated. The caller passes a record that can't
// be decoded as an empty one.
//
// A ledger that starts after offset 1 collects records until it finds a snapshot
// after which it has read every record. Apply returns no changes up to and
// including that record.
func (l *Ledger) Apply(at sched.Offset, r *sched.TaskRecord) ([]Change, error) {
	l.Start(at)
	if at != l.applied+1 {
		return nil, fmt.Errorf("task record at offset %d can't follow the one at offset %d", at, l.applied)
	}
	l.applied = at
	l.changes = l.changes[:0]
	if l.ready {
		l.applyEntries(at, r)
		return l.changes, nil
	}
	if i := usableSnapshot(r, l.firstRead); i != nil {
		l.loadSnapshot(i)
		// The record may hold other entries besides the snapshot.
		l.applyEntries(at, r)
		l.changes = l.changes[:0]
		return l.changes, nil
	}
	l.unreplayed = append(l.unreplayed, readRecord{at, r})
	return nil, nil
}

// Start sets the offset from which the stream is read; later calls have no effect.
// A ledger that starts at offset 1 is complete from the beginning. Without a call,
// the stream is read from the first record that is applied.
func (l *Ledger) Start(from sched.Offset) {
	if l.firstRead != 0 {
		return
	}
	l.firstRead = from
	l.applied = from - 1
	l.ready = from == 1
}

// usableSnapshot returns the first consistent snapshot in a record such that all
// records after the snapshot's offset were read, or nil.
func usableSnapshot(r *sched.TaskRecord, first sched.Offset) *sched.TaskImage {
	for k := range r.Entries {
		e := &r.Entries[k]
		if e.Kind == sched.EntrySnapshot && e.Snapshot != nil && e.Snapshot.AsOf >= first-1 &&
			consistent(e.Snapshot) {
			return e.Snapshot
		}
	}
	return nil
}

func (l *Ledger) applyEntries(at sched.Offset, r *sched.TaskRecord) {
	for k := range r.Entries {
		e := &r.Entries[k]
		if e.Kind <= 0 || int(e.Kind) >= len(applyFuncs) {
			continue
		}
		if rule := applyFuncs[e.Kind]; rule != nil {
			rule(l, e, at, r.At)
		}
	}
}

func (l *Ledger) addChange(k sched.EntryKind, t *sched.TaskStatus, w *Worker, a sched.Attempt) {
	l.changes = append(l.changes, Change{Kind: k, Task: t, Worker: w, Attempt: a})
}

// Applied returns the offset of the last record that was read.
func (l *Ledger) Applied() sched.Offset { return l.applied }

// Ready reports whether the state is complete: the stream was read from its
// beginning or from a usable snapshot on.
func (l *Ledger) Ready() bool { return l.ready }

// NewestTerm returns the newest term, or 0 if there is none or it has ended.
func (l *Ledger) NewestTerm() sched.Offset { return l.newestTerm }

// Terms returns the terms that have not ended, oldest first.
func (l *Ledger) Terms() []sched.TermStatus { return l.openTerms }

// SnapshotOffset returns the offset of the record with the latest snapshot, or 0 if
// none was applied.
func (l *Ledger) SnapshotOffset() sched.Offset { return l.lastSnapshot }

// Scores returns the encoded interference scores of the snapshot that was loaded,
// or nil if none was.
func (l *Ledger) Scores() []byte { return l.scores }

// Task returns a task, and false if it is unknown. The last maxEndedTasks ended
// tasks are known.
func (l *Ledger) Task(id sched.TaskID) (*sched.TaskStatus, bool) {
	t, ok := l.tasks[id]
	return t, ok
}

// OpenTasks returns the number of tasks that have not ended.
func (l *Ledger) OpenTasks() int { return l.openTasks }

// EachOpenTask calls f for every task that has not ended, in no particular order.
func (l *Ledger) EachOpenTask(f func(*sched.TaskStatus)) {
	for _, t := range l.tasks {
		if !Final(t.State) {
			f(t)
		}
	}
}

// Worker returns a worker, and false if it is unknown.
func (l *Ledger) Worker(id sched.InstanceID) (*Worker, bool) {
	w, ok := l.workers[id]
	return w, ok
}

// EachWorker calls f for every worker, in no particular order.
func (l *Ledger) EachWorker(f func(*Worker)) {
	for _, w := range l.workers {
		f(w)
	}
}

// TeamUse returns the sum of the needs of a team's placed and bound tasks.
func (l *Ledger) TeamUse(name string) sched.Resources { return l.teamUse[name] }

// Usage returns the usage that a partner is billed for in the month of t, in UTC.
func (l *Ledger) Usage(partner string, t time.Time) sched.PartnerUsage {
	if u := l.usage[usageKey{partner, yearMonth(t)}]; u != nil {
		return *u
	}
	return sched.PartnerUsage{Partner: partner, Month: yearMonth(t)}
}

// FitsAnyWorker reports whether a task with these needs fits the whole capacity of some
// worker, and returns that capacity, or else the one that is closest to the needs.
// It reports true while no worker is known.
func (l *Ledger) FitsAnyWorker(needs sched.Resources) (bool, sched.Resources) {
	var closest sched.Resources
	for c := range l.capacities {
		if needs.Fits(c) {
			return true, c
		}
		if isCloser(needs, c, closest) {
			closest = c
		}
	}
	return len(l.capacities) == 0, closest
}

// isCloser reports whether capacity a lacks a smaller part of the needs than b
// does, or is larger if both lack the same.
func isCloser(needs, a, b sched.Resources) bool {
	ma, mb := missingPart(needs, a), missingPart(needs, b)
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

// missingPart returns the largest fraction of any need that capacity c doesn't
// cover, 0 if it covers all of them.
func missingPart(needs, c sched.Resources) float64 {
	lacking := func(need, have int64) float64 {
		if need <= have {
			return 0
		}
		return float64(need-have) / float64(need)
	}
	return max(lacking(needs.Processors, c.Processors), lacking(needs.Memory, c.Memory),
		lacking(needs.Accelerators, c.Accelerators))
}

// Final reports whether a task in this state has ended for good.
func Final(s sched.TaskState) bool { return s >= sched.TaskDone }

func yearMonth(t time.Time) int {
	u := t.UTC()
	return u.Year()*100 + int(u.Month())
}
