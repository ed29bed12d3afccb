package apply

import (
	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Outcome is how an apply ended.
type Outcome int

// Outcomes of an apply.
const (
	// Accepted means that the change is in force as Version.
	Accepted Outcome = iota + 1
	// AcceptedEarlier means the same, but that no acknowledgement arrived: the
	// record was found by its id when the stream was read back.
	AcceptedEarlier
	// Conflict means that another version than the base is in force. Nothing
	// was changed.
	Conflict
	// Unchanged means that the base already says the same.
	Unchanged
	// Planned is the outcome of a dry run.
	Planned
	// NotApplied means that the change did not and will not take effect.
	NotApplied
	// Unknown means that the time ran out before the record could be read
	// back: it may take effect. Running it again with Resume and the same id
	// tells.
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

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is the report of an apply.
type Result struct {
	Outcome Outcome
	// ID is the id of the patch, to be given again if the outcome is unknown.
	ID   string
	Base sched.Offset
	// Version is the version that the change made, or the one in force.
	Version sched.Offset
	// Mine is what the change does to the base, Theirs what the versions since
	// the base did, for conflicts.
	Mine   []config.Change
	Theirs []config.Change
	// BaseKnown is false if the base is too old to compare Theirs with it.
	BaseKnown bool
	// Reason tells why the outcome is NotApplied or Unknown.
	Reason error
}

// Report is what one instance says of its version.
type Report struct {
	Instance sched.InstanceID
	State    sched.State
	Version  sched.Offset
}
