package plan

import (
	"errors"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// maxEntriesPerRecord limits the requests and, separately, the other entries in
// one record. 2000 entries take some 200 KB.
const maxEntriesPerRecord = 2000

// readTimeoutDivisor sets the time after which an outstanding read counts as
// failed, and a gap between steps as a pause: 1/readTimeoutDivisor of a lease.
const readTimeoutDivisor = 4

// entryKey identifies an entry that is queued or in flight to the log, so that
// the same entry is not appended twice.
type entryKey struct {
	kind    sched.EntryKind
	task    sched.TaskID
	attempt sched.Attempt
	subject string // worker and instance of the entry
}

func entryKeyOf(e *sched.TaskEntry) entryKey {
	f := entryKey{kind: e.Kind, task: e.TaskID, attempt: e.Attempt, subject: string(e.Worker + e.Instance)}
	if e.Kind == sched.EntryAccepted {
		f.task = e.Task.ID
	}
	if e.Kind == sched.EntryTermEnded {
		f.attempt = sched.Attempt(e.Term)
	}
	return f
}

// pendingAppend is the record whose append is outstanding, or which is appended
// but not read back yet.
type pendingAppend struct {
	serial    uint64
	entries   []sched.TaskEntry
	requests  []request
	updatedAt time.Time
	appended  bool
}

// enqueue queues an entry for the next record, unless the same entry is queued or
// in flight already.
func (p *Planner) enqueue(e sched.TaskEntry) {
	f := entryKeyOf(&e)
	if !p.enqueued[f] {
		p.enqueued[f] = true
		p.entryQueue = append(p.entryQueue, e)
	}
}

// requestRead requests a read of the log if one is due and none is outstanding.
// An outstanding read that takes too long counts as failed, and is repeated after
// logTimeout.
func (p *Planner) requestRead() {
	if !p.readStartedAt.IsZero() {
		waited := p.now.Sub(p.readStartedAt)
		if waited >= p.leaseLimits().Lease/readTimeoutDivisor {
			// A slow log is treated as unreachable; otherwise the planner would
			// stop renewing leases.
			p.leases.LogFailed(p.now)
		}
		if waited < logTimeout {
			return
		}
	}
	gap := p.now.Sub(p.lastReadAt)
	if p.readNow || gap >= readInterval || (p.leases.Term() != 0 && p.leases.Stale(p.now) && gap > 0) {
		p.readStartedAt = p.now
		p.readNow = false
		p.output.Read = true
	}
}

func (i RecordsRead) apply(p *Planner) {
	p.readStartedAt = time.Time{}
	p.lastReadAt = p.now
	if len(i.Page.Records) > 0 && i.Page.Records[0].Offset > p.NextOffset() {
		// The read was requested before the replay started again. From this page it
		// would begin in the middle of the stream.
		return
	}
	p.ledger.Start(p.NextOffset())
	p.earliestRetained = i.Page.Earliest
	for _, r := range i.Page.Records {
		if r.Offset < p.NextOffset() {
			continue
		}
		p.applyRecord(r)
	}
	p.caughtUp = p.NextOffset() >= i.Page.Next
	if !p.caughtUp {
		p.readNow = true
		return
	}
	p.leases.LogRead(i.Began)
	p.answerUnconfirmed(i.Began)
	if f := p.pendingAppend; f != nil && f.appended && i.Began.After(f.updatedAt) {
		// A complete read that began after the acknowledgement doesn't show the
		// record. Waiting for it would block all later appends.
		p.finishAppend()
	}
	p.planDue = true
}

func (p *Planner) applyRecord(r sched.Record) {
	record, err := codec.DecodeTaskRecord(r.Data)
	if err != nil {
		record = sched.TaskRecord{}
	}
	changes, err := p.ledger.Apply(r.Offset, &record)
	if err != nil {
		// The page has a gap, so the replay starts again from what the log
		// still retains.
		p.resetReplay()
		return
	}
	for k := range changes {
		if changes[k].Kind == sched.EntrySnapshot {
			p.snapshotAt = p.now
		}
		p.applyChange(&changes[k])
	}
	p.termSeen = max(p.termSeen, p.ledger.NewestTerm())
	p.answerRecorded()
	own := record.Writer == p.options.Instance && record.Incarnation == p.options.Incarnation
	if f := p.pendingAppend; own && f != nil && record.Serial == f.serial {
		p.finishAppend()
	}
}

func (i ReadFailed) apply(p *Planner) {
	p.readStartedAt = time.Time{}
	p.lastReadAt = p.now
	p.caughtUp = false
	p.leases.LogFailed(i.Began)
}

func (i StreamTrimmed) apply(p *Planner) {
	p.readStartedAt = time.Time{}
	p.readNow = true
	p.resetReplay()
	p.earliestRetained = i.Earliest
}

// resetReplay discards the replayed state, which is then read again from a
// snapshot on.
func (p *Planner) resetReplay() {
	p.endTerm("the stream was trimmed before it was read")
	p.ledger = ledger.New()
	p.caughtUp = false
}

// appendQueued appends the queued requests and entries as one record, if no other
// append is outstanding. It gives up an append that takes longer than logTimeout.
func (p *Planner) appendQueued() {
	if f := p.pendingAppend; f != nil {
		if p.now.Sub(f.updatedAt) < logTimeout {
			return
		}
		p.abandonAppend()
	}
	if p.now.Before(p.nextAppendAt) || len(p.entryQueue)+len(p.requestQueue) == 0 {
		return
	}
	f := &pendingAppend{updatedAt: p.now}
	n := min(len(p.requestQueue), maxEntriesPerRecord)
	f.requests = append(f.requests, p.requestQueue[:n]...)
	p.requestQueue = append([]request(nil), p.requestQueue[n:]...)
	for _, r := range f.requests {
		f.entries = append(f.entries, r.entry)
	}
	n = min(len(p.entryQueue), maxEntriesPerRecord)
	f.entries = append(f.entries, p.entryQueue[:n]...)
	p.entryQueue = append([]sched.TaskEntry(nil), p.entryQueue[n:]...)
	p.lastSerial++
	f.serial = p.lastSerial
	p.pendingAppend = f
	p.nextAppendAt = p.now.Add(minAppendInterval)
	data, err := codec.EncodeTaskRecord(sched.TaskRecord{
		Writer: p.options.Instance, Incarnation: p.options.Incarnation,
		Serial: f.serial, At: p.now, Entries: f.entries,
	})
	if err != nil {
		p.emitEvent("recordNotEncoded", "", err.Error())
		p.abandonAppend()
		return
	}
	p.output.Append = &Append{Serial: f.serial, Data: data}
}

func (i Appended) apply(p *Planner) {
	f := p.pendingAppend
	if f == nil || f.serial != i.Serial {
		return
	}
	if i.Err == nil {
		f.appended = true
		f.updatedAt = p.now
		p.readNow = true
		return
	}
	p.nextAppendAt = p.now.Add(appendRetryDelay)
	if errors.Is(i.Err, sched.ErrUnavailable) {
		for _, r := range f.requests {
			p.reply(r, sched.CodeLogUnavailable, "the log can't be reached; nothing was recorded")
		}
		f.requests = nil
	}
	p.readNow = true
	p.abandonAppend()
}

// finishAppend ends the outstanding append after its record was read back, or
// after a complete read that should have shown the record.
func (p *Planner) finishAppend() {
	p.releaseEntries(p.pendingAppend)
	p.pendingAppend = nil
}

// abandonAppend gives up the outstanding append without having read its record
// back. The record may still appear in the log. Its decisions are made again; if
// both records appear, the entries of the first one are valid.
func (p *Planner) abandonAppend() {
	f := p.pendingAppend
	for _, r := range f.requests {
		r.failedAt = p.now
		p.unconfirmed = append(p.unconfirmed, r)
	}
	p.releaseEntries(f)
	p.pendingAppend = nil
	p.requeueEntries(f)
}

// requeuedKinds lists the kinds of entries that are queued again after a failed
// append, since nothing else would bring them up again. All others follow from
// the next report or visit.
var requeuedKinds = map[sched.EntryKind]bool{
	sched.EntryTermEnded:    true,
	sched.EntryDrained:      true,
	sched.EntryDeclaredDead: true,
}

// requeueEntries queues the entries of a failed append that have to be repeated,
// ahead of entries that were queued later.
func (p *Planner) requeueEntries(f *pendingAppend) {
	later := p.entryQueue
	p.entryQueue = nil
	for _, e := range f.entries {
		if e.Kind == sched.EntryDrained {
			p.entryQueue = append(p.entryQueue, e)
		} else if requeuedKinds[e.Kind] {
			p.enqueue(e)
		}
	}
	p.entryQueue = append(p.entryQueue, later...)
}

// releaseEntries allows the entries of an append to be queued again, and releases
// its open decisions.
func (p *Planner) releaseEntries(f *pendingAppend) {
	for k := range f.entries {
		e := &f.entries[k]
		delete(p.enqueued, entryKeyOf(e))
		if e.Kind == sched.EntryPlaced {
			p.releaseDecision(e.TaskID)
		}
	}
}
