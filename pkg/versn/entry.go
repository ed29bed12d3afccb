package versn

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Entry is one decoded record of the stream. Exactly one field is set; in the
// place of a record that can't be decoded, none is.
type Entry struct {
	Patch    *Patch
	Snapshot *Snapshot
}

// Patch changes the configuration from one version to the next.
type Patch struct {
	// ID is chosen by the operator's command. With it the command finds its patch
	// in the log after the acknowledgement of the append was lost.
	ID string
	// Base is the version that the patch changes, 0 for the empty document.
	Base sched.Offset
	// Changes is an encoded config.Patch.
	Changes []byte
	// Hash is the hash of the resulting document.
	Hash config.Hash
	// Operator is the name of the operator who applied the patch.
	Operator string
}

// Snapshot contains the whole document of a version.
type Snapshot struct {
	Version  sched.Offset
	Document []byte
	// ReadTo is the offset up to which the writer had read the stream. Version
	// is in force at that offset.
	ReadTo sched.Offset
	Writer sched.InstanceID
	// WrittenAt is the writer's clock reading when it created the snapshot.
	WrittenAt time.Time
}

// Verdict is the result of a patch.
type Verdict int

// Verdicts of patches.
const (
	// NotSeen means that no record with the id has been read.
	NotSeen Verdict = iota
	// Accepted means that the patch created a version.
	Accepted
	// Conflict means that the base was not the version in force.
	Conflict
	// Invalid means that the patch can't be applied to its base, or that the
	// result doesn't match the patch's hash.
	Invalid
)

// Answer is the result of the patch with a given id.
type Answer struct {
	Verdict Verdict
	// Offset is the offset of the patch's record. For an accepted patch it is
	// the new version.
	Offset sched.Offset
	// Base is the version that the patch changes, InForce the version that was
	// in force at the patch's offset.
	Base    sched.Offset
	InForce sched.Offset
	// PatchChanges and ConcurrentChanges are set for conflicts. PatchChanges holds the changes that the
	// patch makes, ConcurrentChanges those that the versions since its base made. BaseKnown
	// is set if the base document is known. If it isn't, PatchChanges is relative to the
	// empty document and ConcurrentChanges is empty.
	PatchChanges      []config.Change
	ConcurrentChanges []config.Change
	BaseKnown         bool
	Operator          string
}
