package dedup

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// ID is the hash of a partner's name and one of its request ids.
type ID [16]byte

// Each half of an ID is a hash with a seed of its own, so that the two halves are
// independent.
const (
	firstSeed  = 0x9e3779b97f4a7c15
	secondSeed = 0xc2b2ae3d27d4eb4f
)

// MakeID returns the ID of a partner's request id. The partner is part of the
// hash so that no partner can obtain the kept answer of another one.
func MakeID(partner string, u uuid.UUID) ID {
	b := append(append(make([]byte, 0, len(partner)+1+len(u)), partner...), 0)
	b = append(b, u[:]...)
	var i ID
	for half, seed := range []uint64{firstSeed, secondSeed} {
		d := xxhash.NewWithSeed(seed)
		_, _ = d.Write(b)
		binary.BigEndian.PutUint64(i[half*8:], d.Sum64())
	}
	return i
}

// Shard returns the shard that the id belongs to, from 0 to n-1.
func (i ID) Shard(n int) int {
	return int(binary.BigEndian.Uint64(i[:8]) % uint64(n))
}

// ErrNotV7 reports a request id that is not a UUIDv7.
var ErrNotV7 = errors.New("request id is no UUIDv7")

// versionWithTime is the UUID version whose first 48 bits are a Unix time in
// milliseconds.
const versionWithTime = 7

// ParseID parses a UUIDv7 and returns it with the time that it contains. It
// returns an error that wraps ErrNotV7 if the text is anything else.
func ParseID(text string) (uuid.UUID, time.Time, error) {
	u, err := uuid.Parse(text)
	if err != nil {
		return u, time.Time{}, fmt.Errorf("%w: %w", ErrNotV7, err)
	}
	if u.Version() != versionWithTime || u.Variant() != uuid.RFC4122 {
		return u, time.Time{}, ErrNotV7
	}
	millis := int64(binary.BigEndian.Uint64(u[:8]) >> 16)
	return u, time.UnixMilli(millis), nil
}

// Kind is the type of an entry. The numbers are part of the log format.
type Kind int

// Kinds of entries.
const (
	// KindIntent claims an id.
	KindIntent Kind = iota + 1
	// KindOutcome records the outcome of the claim that holds the id.
	KindOutcome
	// KindAbandoned ends a claim whose request was not sent.
	KindAbandoned
)

// AnswerRef is the position of a kept answer in the stream answers/<shard>.
type AnswerRef struct {
	// Offset is the offset of the record, 0 if no answer is kept.
	Offset sched.Offset
	// Index is the position of the answer within the record, from 0.
	Index int
}

// Entry is one entry of an intent stream.
type Entry struct {
	Kind Kind
	ID   ID
	// Nonce identifies the claim among all claims to the same id.
	Nonce uint64
	// Holder is the incarnation of the claiming instance, set for KindIntent.
	Holder sched.Incarnation
	// IDTime is the time inside the request id.
	IDTime time.Time
	// Outcome and Answer are set for KindOutcome.
	Outcome sched.Outcome
	Answer  AnswerRef
}

// Batch is one record of an intent stream.
type Batch struct {
	// WrittenAt is the writer's clock reading just before the append. From the
	// first retained record it follows how recent the ids in the trimmed records
	// can be.
	WrittenAt time.Time
	Entries   []Entry
}
