package misfit

import "math"

// Table holds, for each image, the workers that have no room for its fillers. Workers are
// numbered from 0, and each has a count that rises with every change that may give it room;
// what was noted under another count is void. It isn't safe for concurrent use.
type Table struct {
	rows map[string]*Row
	pass int
}

// Row holds the workers that have no room for fillers of one image.
type Row struct {
	entries []entry
	// usedAt is the pass in which the row was last asked for.
	usedAt int
}

// entry holds the needs from which on a filler has no room on a worker under that count:
// processors in thousandths because of the tasks there, memory in bytes.
type entry struct {
	count              int
	processors, memory int64
}

// maxIdlePasses is the number of passes after which a row that isn't asked for is dropped.
const maxIdlePasses = 256

// New returns an empty table.
func New() *Table { return &Table{rows: map[string]*Row{}} }

// BeginPass begins a pass over the waiting fillers. It drops the rows of images of which
// none has waited for long.
func (t *Table) BeginPass() {
	t.pass++
	if t.pass%maxIdlePasses != 0 {
		return
	}
	for image, r := range t.rows {
		if t.pass-r.usedAt >= maxIdlePasses {
			delete(t.rows, image)
		}
	}
}

// Row returns the row of an image.
func (t *Table) Row(image string) *Row {
	r := t.rows[image]
	if r == nil {
		r = &Row{}
		t.rows[image] = r
	}
	r.usedAt = t.pass
	return r
}

// Forget drops what is known of a worker, whose number another one may get.
func (t *Table) Forget(worker int) {
	for _, r := range t.rows {
		if worker < len(r.entries) {
			r.entries[worker] = entry{}
		}
	}
}

// AddDisturbing notes that the tasks on a worker leave no room to a filler with the given need
// of processors. The count is above 0.
func (r *Row) AddDisturbing(worker, count int, processors int64) {
	e := r.entry(worker, count)
	e.processors = min(e.processors, processors)
}

// AddFull notes that a worker lacks the memory for a filler with the given need.
func (r *Row) AddFull(worker, count int, memory int64) {
	e := r.entry(worker, count)
	e.memory = min(e.memory, memory)
}

// entry returns the entry of a worker under the count.
func (r *Row) entry(worker, count int) *entry {
	if n := worker + 1 - len(r.entries); n > 0 {
		r.entries = append(r.entries, make([]entry, n)...)
	}
	e := &r.entries[worker]
	if e.count != count {
		*e = entry{count, math.MaxInt64, math.MaxInt64}
	}
	return e
}

// Has reports whether a filler with the needs has no room on the worker under the count.
func (r *Row) Has(worker, count int, processors, memory int64) bool {
	if worker >= len(r.entries) {
		return false
	}
	e := r.entries[worker]
	return e.count == count && (processors >= e.processors || memory >= e.memory)
}
