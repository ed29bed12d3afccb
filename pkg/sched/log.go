package sched

import (
	"context"
	"errors"
	"fmt"
)

// Offset is the position of a record in one stream of the platform's log.
// Within a stream offsets start at 1 and rise by one; 0 means "none".
type Offset int64

// Record is one record of a stream, with its encoded data.
type Record struct {
	Offset Offset
	Data   []byte
}

// Page is the result of one read of a stream.
type Page struct {
	// Records are in offset order, without gaps.
	Records []Record
	// Earliest is the offset of the oldest record that the log retains, or Next
	// if it retains none.
	Earliest Offset
	// Next is the offset of the next record to be appended to the stream.
	Next Offset
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds one record and returns its offset. ErrUnavailable means that
	// the record was not added. After any other error, including ErrUncertain,
	// the record may have been added or may still be added later.
	Append(c context.Context, stream string, data []byte) (Offset, error)
	// Read returns up to limit records, starting at from. It returns a
	// *TrimmedError if the record at from is no longer retained, and
	// ErrUnavailable if the log can't be reached.
	Read(c context.Context, stream string, from Offset, limit int) (Page, error)
}

// ErrUnavailable reports that a platform service, a worker or another instance
// could not be reached and that the call had no effect.
var ErrUnavailable = errors.New("platform service unavailable")

// ErrUncertain reports that the answer to a call was lost. The call may have
// taken effect.
var ErrUncertain = errors.New("outcome of the platform call is unknown")

// TrimmedError reports a read at From, which is before the earliest record that
// the stream retains.
type TrimmedError struct {
	Stream   string
	From     Offset
	Earliest Offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: record %d is no longer retained, earliest is %d", e.Stream, e.From, e.Earliest)
}

// Names of the streams in the platform's log.
const (
	ConfigStream = "config"
	UsageStream  = "usage"
	// TaskStreamPrefix is followed by the name of a data centre.
	TaskStreamPrefix = "tasks/"
	// IntentStreamPrefix is followed by a shard number.
	IntentStreamPrefix = "intents/"
	// AnswerStreamPrefix is followed by a shard number.
	AnswerStreamPrefix = "answers/"
)
