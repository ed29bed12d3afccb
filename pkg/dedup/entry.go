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

// ID is the hash of a partner and its request id.
type ID [16]byte

// Two different seeds make the two halves of an ID independent.
const (
	firstSeed  = 0x9e3779b97f4a7c15
	secondSeed = 0xc2b2ae3d27d4eb4f
)

// MakeID hashes a partner and a request id. The partner is part of the hash so
// that no partner can obtain the kept answer of another one.
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

// Shard returns the shard of the id among n.
func (i ID) Shard(n int) int {
	return int(binary.BigEndian.Uint64(i[:8]) % uint64(n))
}

// ErrNotV7 reports a request id that is no UUIDv7.
var ErrNotV7 = errors.New("request id is no UUIDv7")

// versionWithTime is the UUID version whose first 48 bits are the time.
const versionWithTime = 7

// ParseID reads a UUIDv7 and the time inside it. It returns ErrNotV7 if the
// text is anything else.
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

// Kind is the kind of an entry.
type Kind int

// Kinds of entries.
const (
	KindIntent Kind = iota + 1
	KindOutcome
	KindAbandoned
)

// AnswerRef is the position of a kept answer in answers/<shard>. Offset 0
// means that no answer is kept.
type AnswerRef struct {
	Offset sched.Offset
	Index  int
}

// Entry is one step of an unrepeatable request.
type Entry struct {
	Kind Kind
	ID   ID
	// Nonce tells the claims of one id apart.
	Nonce  uint64
	Holder sched.Incarnation
	// IDTime is the time inside the id.
	IDTime time.Time
	// Outcome and Answer are set for KindOutcome.
	Outcome sched.Outcome
	Answer  AnswerRef
}

// Batch is one record of an intent stream.
type Batch struct {
	// WrittenAt is the writer's time just before the append. It bounds what a
	// trimmed part of the stream can have held.
	WrittenAt time.Time
	Entries   []Entry
}
