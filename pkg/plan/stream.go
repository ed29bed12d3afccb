package plan

import (
	"errors"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// entriesPerRecord bounds the size of a record to some 200 KB.
const entriesPerRecord = 2000

// slowRead is the number of reads per lease below which the log counts as
// unavailable.
const slowRead = 4

// fact identifies an entry that is on its way to the log.
type fact struct {
	kind    sched.EntryKind
	task    sched.TaskID
	attempt sched.Attempt
	other   string
}

func factOf(e *sched.TaskEntry) fact {
	f := fact{kind: e.Kind, task: e.TaskID, attempt: e.Attempt, other: string(e.Worker + e.Instance)}
	if e.Kind == sched.EntryAccepted {
		f.task = e.Task.ID
	}
	if e.Kind == sched.EntryTermEnded {
		f.attempt = sched.Attempt(e.Term)
	}
	return f
}

// flight is the record whose append is outstanding, or whose outcome is not
// read back yet.
type flight struct {
	serial   uint64
	entries  []sched.TaskEntry
	requests []request
	since    time.Time
	appended bool
}

// note queues an entry for the next record, unless the same one is on its way.
func (p *Planner) note(e sched.TaskEntry) {
	f := factOf(&e)
	if !p.noted[f] {
		p.noted[f] = true
		p.facts = append(p.facts, e)
	}
}

// askToRead asks for a read if one is due and none is outstanding.
func (p *Planner) askToRead() {
	if !p.reading.IsZero() {
		waited := p.now.Sub(p.reading)
		if waited >= p.limits().Lease/slowRead {
			// A slow log counts as one that can't be reached; otherwise the
			// planner would stop to renew leases.
			p.book.LogFailed(p.now)
		}
		if waited < readLimit {
			return
		}
	}
	gap := p.now.Sub(p.lastRead)
	if p.urgent || gap >= readGap || (p.book.Term() != 0 && p.book.Stale(p.now) && gap > 0) {
		p.reading = p.now
		p.urgent = false
		p.out.Read = true
	}
}

func (i RecordsRead) apply(p *Planner) {
	p.reading = time.Time{}
	p.lastRead = p.now
	p.ledger.Start(p.Next())
	p.earliest = i.Page.Earliest
	for _, r := range i.Page.Records {
		if r.Offset < p.Next() {
			continue
		}
		p.replay(r)
	}
	p.caughtUp = p.Next() >= i.Page.Next
	if !p.caughtUp {
		p.urgent = true
		return
	}
	p.book.LogRead(i.Began)
	p.settleUnsure(i.Began)
	if f := p.flight; f != nil && f.appended && i.Began.After(f.since) {
		// An acknowledged record that the stream doesn't show would block all
		// later ones.
		p.land()
	}
	p.due = true
}

func (p *Planner) replay(r sched.Record) {
	record, err := codec.DecodeTaskRecord(r.Data)
	if err != nil {
		record = sched.TaskRecord{}
	}
	changes, err := p.ledger.Apply(r.Offset, &record)
	if err != nil {
		// A gap in the page: start again from what the log still holds.
		p.restart()
		return
	}
	for k := range changes {
		if changes[k].Kind == sched.EntrySnapshot {
			p.snapshotAt = p.now
		}
		p.changed(&changes[k])
	}
	p.termSeen = max(p.termSeen, p.ledger.NewestTerm())
	p.answer()
	own := record.Writer == p.options.Instance && record.Incarnation == p.options.Incarnation
	if f := p.flight; own && f != nil && record.Serial == f.serial {
		p.land()
	}
}

func (i ReadFailed) apply(p *Planner) {
	p.reading = time.Time{}
	p.lastRead = p.now
	p.caughtUp = false
	p.book.LogFailed(i.Began)
}

func (i Trimmed) apply(p *Planner) {
	p.reading = time.Time{}
	p.urgent = true
	p.restart()
	p.earliest = i.Earliest
}

// restart forgets the replayed state; it is read again from a snapshot on.
func (p *Planner) restart() {
	p.lose("the stream was trimmed before it was read")
	p.ledger = ledger.New()
	p.caughtUp = false
}

// flush appends what is waiting, as one record, if no other is outstanding.
func (p *Planner) flush() {
	if f := p.flight; f != nil {
		if p.now.Sub(f.since) < readLimit {
			return
		}
		p.drop()
	}
	if p.now.Before(p.next) || len(p.facts)+len(p.asked) == 0 {
		return
	}
	f := &flight{since: p.now}
	n := min(len(p.asked), entriesPerRecord)
	f.requests = append(f.requests, p.asked[:n]...)
	p.asked = append([]request(nil), p.asked[n:]...)
	for _, r := range f.requests {
		f.entries = append(f.entries, r.entry)
	}
	n = min(len(p.facts), entriesPerRecord)
	f.entries = append(f.entries, p.facts[:n]...)
	p.facts = append([]sched.TaskEntry(nil), p.facts[n:]...)
	p.serial++
	f.serial = p.serial
	p.flight = f
	p.next = p.now.Add(appendGap)
	data, err := codec.EncodeTaskRecord(sched.TaskRecord{
		Writer: p.options.Instance, Incarnation: p.options.Incarnation,
		Serial: f.serial, At: p.now, Entries: f.entries,
	})
	if err != nil {
		p.event("recordNotEncoded", "", err.Error())
		p.drop()
		return
	}
	p.out.Append = &Append{Serial: f.serial, Data: data}
}

func (i Appended) apply(p *Planner) {
	f := p.flight
	if f == nil || f.serial != i.Serial {
		return
	}
	if i.Err == nil {
		f.appended = true
		f.since = p.now
		p.urgent = true
		return
	}
	p.next = p.now.Add(appendRetry)
	if errors.Is(i.Err, sched.ErrUnavailable) {
		for _, r := range f.requests {
			p.reply(r, sched.CodeLogUnavailable, "the log can't be reached; nothing was recorded")
		}
		f.requests = nil
	}
	p.urgent = true
	p.drop()
}

// land ends the outstanding append after its record was read back.
func (p *Planner) land() {
	p.forget(p.flight)
	p.flight = nil
}

// drop ends the outstanding append without having read it back. The record may
// still appear. Its decisions are made anew; if both appear, the first in the
// log is valid.
func (p *Planner) drop() {
	f := p.flight
	for _, r := range f.requests {
		r.since = p.now
		p.unsure = append(p.unsure, r)
	}
	p.forget(f)
	p.flight = nil
	p.repeat(f)
}

// repeated lists the kinds of entries that nothing but their first cause brings
// up again; all others follow from the next report or visit.
var repeated = map[sched.EntryKind]bool{
	sched.EntryTermEnded:    true,
	sched.EntryDrained:      true,
	sched.EntryDeclaredDead: true,
}

// repeat queues entries of a failed append again, before later ones.
func (p *Planner) repeat(f *flight) {
	later := p.facts
	p.facts = nil
	for _, e := range f.entries {
		if e.Kind == sched.EntryDrained {
			p.facts = append(p.facts, e)
		} else if repeated[e.Kind] {
			p.note(e)
		}
	}
	p.facts = append(p.facts, later...)
}

// forget removes the marks of the entries and makes open decisions void.
func (p *Planner) forget(f *flight) {
	for k := range f.entries {
		e := &f.entries[k]
		delete(p.noted, factOf(e))
		if e.Kind == sched.EntryPlaced {
			p.undecide(e.TaskID)
		}
	}
}
