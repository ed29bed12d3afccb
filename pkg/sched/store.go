package sched

import (
	"context"
	"fmt"
	"time"
)

// Partition identifies one partition of a keyed topic of the platform's store.
// Offsets in a partition start at 0.
type Partition struct {
	Topic  string
	Number int
}

// KeyedRecord is a record that replaces all earlier records with the same key. An
// empty Value deletes the key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset Offset
}

// Batch is the result of one read, in offset order.
type Batch struct {
	Records []KeyedRecord
	// End is the offset of the next record to be appended to the partition.
	End Offset
}

// NewestPage is one page of the newest records of a partition, ordered by key.
type NewestPage struct {
	Records []KeyedRecord
	// More is set if further keys follow the last one of the page.
	More bool
	// End is the offset of the next record to be appended to the partition.
	End Offset
}

// AnyEnd makes an append unconditional, wherever the partition ends.
const AnyEnd Offset = -1

// Store is the platform's store of keyed records. A call returns ErrUnavailable
// if it had no effect, and ErrUncertain if an append may have taken effect or
// may still take effect while its condition holds.
type Store interface {
	// Append adds the records atomically if the partition ends at at, or
	// unconditionally if at is AnyEnd, and returns the new end. It returns a
	// *EndError if the partition ends at another offset.
	Append(c context.Context, p Partition, at Offset, records []KeyedRecord) (Offset, error)
	// Read returns records, starting at from. If there are none, it waits up to
	// wait for a new one. It returns a *TrimmedError if the record at from is no
	// longer retained.
	Read(c context.Context, p Partition, from Offset, wait time.Duration) (Batch, error)
	// Newest returns the next page of the newest records whose keys sort after
	// the given key. Several pages together are not a consistent snapshot.
	Newest(c context.Context, p Partition, after string) (NewestPage, error)
}

// EndError reports that a conditional append failed because the partition ends at
// End, not at the offset Expected.
type EndError struct {
	Partition Partition
	Expected  Offset
	End       Offset
}

// Error implements error.
func (e *EndError) Error() string {
	return fmt.Sprintf("partition %s/%d ends at offset %d, not at %d", e.Partition.Topic, e.Partition.Number, e.End, e.Expected)
}
