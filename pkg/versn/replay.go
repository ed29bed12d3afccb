package versn

import (
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// ReadLimit is the number of records to request per read while their size is
	// unknown, and the minimum otherwise. At one read per second and about 300
	// bytes per record, reading a burst of changes stays below 8 KB/s.
	ReadLimit = 20
	// maxReadLimit is the maximum number of records to request per read, which
	// applies when the last records were small.
	maxReadLimit = 200
	// readBytes is the intended size of one read in bytes: ReadLimit patches of
	// 300 bytes. recordOverhead is the number of bytes that the log adds to each
	// record.
	readBytes      = 6000
	recordOverhead = 40
	// snapshotRecords is the number of records after which a snapshot is due. It
	// limits what a new reader has to read: 64 patches of about 300 bytes are as
	// large as the snapshot itself.
	snapshotRecords = 64
	// initialSearchDistance is how many records before the end a new reader starts
	// to look for a snapshot. The distance doubles until one is found.
	initialSearchDistance = snapshotRecords
	// maxPending limits the number of records that are held while no snapshot has
	// been found.
	maxPending = 1 << 16
	// maxHistory limits the number of older documents that are retained to explain
	// conflicts.
	maxHistory = 32
	// maxAnswers limits the number of patch ids whose result is retained.
	maxAnswers = 1024
)

// Options configure a Replay.
type Options struct {
	// Self is the id of the instance, the writer of its snapshots.
	Self sched.InstanceID
	// Retention is the time for which the log retains a record.
	Retention time.Duration
	// Whole makes the replay read everything that the log retains instead of
	// starting near the end. It is for a reader that looks for an old patch id.
	Whole bool
	// Decode decodes a record, usually codec.DecodeConfig.
	Decode func([]byte) (Entry, error)
}

// version is a version of the document.
type version struct {
	number sched.Offset
	doc    config.Document
	// asOf is the offset up to which the version is known to be the newest.
	asOf sched.Offset
}

// numberedEntry is an entry with its offset.
type numberedEntry struct {
	offset sched.Offset
	entry  Entry
}

// Replay is one instance's view of the stream. It is not safe for concurrent use.
type Replay struct {
	options Options
	// log is the version that results from the records up to log.asOf. It is valid
	// while anchored is set: the replay then has a document to which the next
	// record applies, with no records missing in between.
	log      version
	anchored bool
	// inForce is the newer of log and the versions taken from peers.
	inForce version
	// pending holds the records from pendingStart on that were read while not
	// anchored.
	pending      []numberedEntry
	pendingStart sched.Offset
	// readAhead holds the records that were read before the search for a snapshot
	// last moved backwards. They are applied when the reader reaches them again.
	readAhead []numberedEntry
	// searchDistance is the current distance from the end in the search for a
	// snapshot.
	searchDistance sched.Offset
	// limit is the number of records to request in the next read.
	limit int
	// hasRead is set once a page was received.
	hasRead bool
	// earliest and end are Earliest and Next of the newest page.
	earliest sched.Offset
	end      sched.Offset
	// history holds older versions, steps the newest changes for peers.
	history []version
	steps   []sched.ConfigStep
	// answers holds the results of patches by id, answerOrder the ids in the order
	// in which they were first read.
	answers     map[string]Answer
	answerOrder []string
	snapshot    snapshotState
	peers       peerState
}

// New returns the Replay of an instance that has not read anything yet.
func New(o Options) *Replay {
	return &Replay{
		options: o, anchored: true, searchDistance: initialSearchDistance, limit: ReadLimit, answers: map[string]Answer{},
		peers: peerState{sent: map[sched.InstanceID]sentUpdate{}},
	}
}

// Next returns the offset from which to read next.
func (r *Replay) Next() sched.Offset {
	if r.anchored {
		return r.log.asOf + 1
	}
	return r.pendingStart + sched.Offset(len(r.pending))
}

// Limit returns the number of records to request in the next read. It adapts to
// the size of the last records. Otherwise it would take too long to read a stream
// of many small records for changes to take effect in time.
func (r *Replay) Limit() int { return r.limit }

// adaptLimit sets the limit so that the next read returns about readBytes.
func (r *Replay) adaptLimit(records []sched.Record) {
	if len(records) == 0 {
		return
	}
	size := 0
	for _, rec := range records {
		size += len(rec.Data) + recordOverhead
	}
	r.limit = min(max(readBytes*len(records)/size, ReadLimit), maxReadLimit)
}

// InForce returns the version in force and its document. The version is 0 if
// none is known.
func (r *Replay) InForce() (sched.Offset, config.Document) { return r.inForce.number, r.inForce.doc }

// CaughtUp reports whether every record up to the end of the stream, as of the
// newest page, has been applied.
func (r *Replay) CaughtUp() bool { return r.hasRead && r.anchored && r.log.asOf+1 >= r.end }

// Trimmed restarts the replay at earliest because the log no longer retains the
// record at Next. The version in force stays until a snapshot or a copy provides
// a newer one.
func (r *Replay) Trimmed(earliest sched.Offset) {
	if earliest <= r.Next() {
		return
	}
	r.restart(earliest)
}

// restart continues reading at from without an anchor, unless the version in force
// covers all records before from.
func (r *Replay) restart(from sched.Offset) {
	r.anchored = false
	r.pending, r.readAhead = nil, nil
	r.pendingStart = from
	if r.inForce.number > 0 && r.inForce.asOf+1 >= from {
		r.anchor(r.inForce) // for example a peer's copy
	}
}

// Page applies the result of a read from Next. It returns true if another version
// is in force afterwards.
func (r *Replay) Page(now time.Time, p sched.Page) bool {
	before := r.inForce.number
	r.earliest, r.end = p.Earliest, p.Next
	r.adaptLimit(p.Records)
	first := !r.hasRead
	r.hasRead = true
	if first && !r.options.Whole && r.inForce.number == 0 && r.startNearEnd(p) {
		return false
	}
	for _, rec := range p.Records {
		next := r.Next()
		if rec.Offset < next {
			continue
		}
		if rec.Offset > next {
			r.restart(rec.Offset)
		}
		e, err := r.options.Decode(rec.Data)
		if err != nil {
			e = Entry{} // a malformed record has no effect on any instance
		}
		r.takeEntry(now, numberedEntry{rec.Offset, e})
		r.takeReadAhead(now)
	}
	r.searchBackwards()
	r.updateInForce()
	return r.inForce.number != before
}

// startNearEnd makes a new reader of a long stream start near the end, where the
// newest snapshot is expected. It returns false if the reader is there already.
func (r *Replay) startNearEnd(p sched.Page) bool {
	from := max(p.Earliest, p.Next-r.searchDistance)
	if from <= r.Next() {
		return false
	}
	r.restart(from)
	return true
}

// searchBackwards restarts the search for a snapshot at twice the distance from the
// end if the reader has reached the end without finding one. At the start of the
// stream no snapshot is needed; the empty document is the anchor.
func (r *Replay) searchBackwards() {
	if r.anchored || r.Next() < r.end || r.pendingStart <= max(r.earliest, 1) {
		return
	}
	r.searchDistance *= 2
	from := max(r.earliest, r.end-r.searchDistance, 1)
	readAhead := r.pending
	if from == 1 {
		r.pending, r.anchored, r.log = nil, true, version{}
	} else {
		r.restart(from)
	}
	r.readAhead = readAhead
}

// takeReadAhead applies the records in readAhead once the reader has reached
// them, so that no record is read twice. At ReadLimit records per read, a second
// pass over a long stream takes several seconds.
func (r *Replay) takeReadAhead(now time.Time) {
	if len(r.readAhead) == 0 || r.Next() < r.readAhead[0].offset {
		return
	}
	readAhead := r.readAhead
	r.readAhead = nil
	for _, n := range readAhead {
		if n.offset == r.Next() {
			r.takeEntry(now, n)
		}
	}
}

// takeEntry applies the next entry if the replay is anchored. Otherwise it holds
// the entry and tries to anchor at it.
func (r *Replay) takeEntry(now time.Time, n numberedEntry) {
	if n.entry.Snapshot != nil {
		r.snapshot.observe(now, n)
	}
	if r.anchored {
		r.applyEntry(n)
		return
	}
	if len(r.pending) == maxPending {
		r.pending = r.pending[1:]
		r.pendingStart++
	}
	r.pending = append(r.pending, n)
	if s := n.entry.Snapshot; s != nil {
		r.anchorAtSnapshot(n.offset, s)
	}
}

// anchorAtSnapshot anchors the replay at a snapshot, which was read at the given
// offset, if every record after its ReadTo has been read.
func (r *Replay) anchorAtSnapshot(at sched.Offset, s *Snapshot) {
	if s.ReadTo >= at || s.Version > s.ReadTo || s.Version < r.inForce.number {
		return
	}
	doc, err := config.Decode(s.Document)
	if err != nil {
		return
	}
	r.anchor(version{s.Version, doc, s.ReadTo})
}

// anchor continues the replay from a version if no record after its asOf is
// missing, and applies the pending records after it.
func (r *Replay) anchor(v version) {
	if v.asOf+1 < r.pendingStart {
		return
	}
	pending := r.pending
	r.log, r.anchored, r.pending = v, true, nil
	for _, n := range pending {
		if n.offset > v.asOf {
			r.applyEntry(n)
		}
	}
}

// applyEntry applies the record that follows log.asOf.
func (r *Replay) applyEntry(n numberedEntry) {
	r.log.asOf = n.offset
	p := n.entry.Patch
	if p == nil {
		return
	}
	a := Answer{Offset: n.offset, Base: p.Base, InForce: r.log.number, Operator: p.Operator}
	if p.Base != r.log.number {
		a.Verdict = Conflict
		r.explainConflict(&a, p)
		r.recordAnswer(p.ID, a)
		return
	}
	doc, ok := applyPatch(r.log.doc, p)
	if !ok {
		a.Verdict = Invalid
		r.recordAnswer(p.ID, a)
		return
	}
	r.history = append(r.history, r.log)
	if len(r.history) > maxHistory {
		r.history = slices.Delete(r.history, 0, 1)
	}
	r.retainStep(sched.ConfigStep{Base: p.Base, Version: n.offset, Changes: p.Changes, Hash: p.Hash})
	r.log = version{n.offset, doc, n.offset}
	a.Verdict = Accepted
	r.recordAnswer(p.ID, a)
}

// applyPatch returns the result of applying a patch to its base. It returns false
// if the patch is malformed or the result doesn't match its hash.
func applyPatch(base config.Document, p *Patch) (config.Document, bool) {
	changes, err := config.DecodePatch(p.Changes)
	if err != nil {
		return config.Document{}, false
	}
	doc, err := base.Apply(changes)
	return doc, err == nil && doc.Hash() == p.Hash
}

// explainConflict fills in the changes of the patch and those of the versions
// since its base.
func (r *Replay) explainConflict(a *Answer, p *Patch) {
	base := config.Document{}
	a.BaseKnown = p.Base == 0
	for _, v := range r.history {
		if v.number == p.Base {
			base, a.BaseKnown = v.doc, true
		}
	}
	if changes, err := config.DecodePatch(p.Changes); err == nil {
		if mine, err := base.Apply(changes); err == nil {
			a.PatchChanges = config.Diff(base, mine)
		}
	}
	if a.BaseKnown {
		a.ConcurrentChanges = config.Diff(base, r.log.doc)
	}
}

// recordAnswer retains the result of a patch. An accepted patch that was appended
// twice stays accepted, although the base of the second record is no longer in
// force.
func (r *Replay) recordAnswer(id string, a Answer) {
	old, ok := r.answers[id]
	if ok && old.Verdict == Accepted {
		return
	}
	if !ok {
		r.answerOrder = append(r.answerOrder, id)
	}
	r.answers[id] = a
	if len(r.answerOrder) > maxAnswers {
		delete(r.answers, r.answerOrder[0])
		r.answerOrder = slices.Delete(r.answerOrder, 0, 1)
	}
}

// Document returns the document of a version, and false if the version is unknown
// or no longer retained. Version 0 is the empty document.
func (r *Replay) Document(v sched.Offset) (config.Document, bool) {
	for _, w := range []version{r.inForce, r.log} {
		if w.number == v {
			return w.doc, true
		}
	}
	for _, w := range r.history {
		if w.number == v {
			return w.doc, true
		}
	}
	return config.Document{}, v == 0
}

// Answer returns the result of the patch with the id. Its verdict is NotSeen if no
// such patch has been read or its result is no longer retained.
func (r *Replay) Answer(id string) Answer { return r.answers[id] }

// updateInForce puts the version of the log in force unless a peer's is newer.
func (r *Replay) updateInForce() {
	if r.anchored && r.log.asOf >= r.inForce.asOf && r.log.number >= r.inForce.number {
		r.inForce = r.log
	}
}
