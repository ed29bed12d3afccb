package versn

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Entry is one record of the stream. Exactly one field is set.
type Entry struct {
	Patch    *Patch
	Snapshot *Snapshot
}

// Patch changes the version in force.
type Patch struct {
	// ID is chosen by the operator's command. It identifies the patch when it
	// is read back after a lost acknowledgement.
	ID string
	// Base is the version that the patch changes, 0 for the empty document.
	Base sched.Offset
	// Changes are the bytes of a config.Patch.
	Changes []byte
	// Hash is that of the resulting document.
	Hash     config.Hash
	Operator string
}

// Snapshot repeats the whole document of a version.
type Snapshot struct {
	Version  sched.Offset
	Document []byte
	// ReadTo is the offset up to which the writer had read the stream. Version
	// is in force at that offset.
	ReadTo    sched.Offset
	Writer    sched.InstanceID
	WrittenAt time.Time
}

// Verdict is what became of a patch.
type Verdict int

// Verdicts of patches.
const (
	// NotSeen means that no record with the id has been read.
	NotSeen Verdict = iota
	// Accepted means that the patch made a version.
	Accepted
	// Conflict means that another version than the base was in force.
	Conflict
	// Invalid means that the patch can't be applied to its base.
	Invalid
)

// Answer tells what became of the patch with an id.
type Answer struct {
	Verdict Verdict
	// Offset is that of the record; for an accepted patch it is its version.
	Offset sched.Offset
	// Base and InForce are the version that the patch names and the one that
	// was in force at its offset.
	Base    sched.Offset
	InForce sched.Offset
	// Mine and Theirs are what the patch and what the versions since the base
	// change, for conflicts. BaseKnown tells whether they could be compared
	// with the base; if not, Mine is relative to the empty document.
	Mine      []config.Change
	Theirs    []config.Change
	BaseKnown bool
	Operator  string
}
