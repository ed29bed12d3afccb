package apply

import (
	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Outcome is the outcome of an apply. The zero value means that there is none
// yet.
type Outcome int

// Outcomes of an apply.
const (
	// Accepted means that the change took effect as Result.Version.
	Accepted Outcome = iota + 1
	// AcceptedEarlier means that the change took effect, but that its append was
	// not acknowledged, or was made by an earlier apply with the same id: the
	// record was found by its id when the stream was read.
	AcceptedEarlier
	// Conflict means that a version other than the base is in force. The change
	// had no effect.
	Conflict
	// Unchanged means that the base already equals the target.
	Unchanged
	// Planned is the outcome of a dry run that found changes and no conflict.
	Planned
	// NotApplied means that the change did not and will not take effect.
	NotApplied
	// Unknown means that the record may have been appended but could not be read
	// back, so the change may or may not take effect. Another apply with SearchWholeLog
	// and the same id finds out.
	Unknown
)

var outcomeNames = map[Outcome]string{
	Accepted:        "accepted",
	AcceptedEarlier: "acceptedEarlier",
	Conflict:        "conflict",
	Unchanged:       "unchanged",
	Planned:         "planned",
	NotApplied:      "notApplied",
	Unknown:         "unknown",
}

// String returns the name of the outcome that reports to operators use, or "" for
// the zero value.
func (o Outcome) String() string { return outcomeNames[o] }

// Result describes how an apply ended.
type Result struct {
	Outcome Outcome
	// ID is the id of the patch, to be given again after the outcome Unknown.
	ID string
	// Base is the version that the change was compared with.
	Base sched.Offset
	// Version is the version that the change produced, or else the one in
	// force. It is 0 if no version is known.
	Version sched.Offset
	// PatchChanges holds the differences between the base and the target.
	PatchChanges []config.Change
	// ConcurrentChanges holds, for conflicts, the differences between the base and the
	// version in force.
	ConcurrentChanges []config.Change
	// BaseKnown reports whether the document of the base was available. If it
	// was not, ConcurrentChanges is empty.
	BaseKnown bool
	// Reason is the cause of the outcome NotApplied or Unknown.
	Reason error
}

// InstanceVersion is the configuration version that one instance has reported, and the
// state of the instance.
type InstanceVersion struct {
	Instance sched.InstanceID
	State    sched.State
	Version  sched.Offset
}
