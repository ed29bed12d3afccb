package plan

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/lease"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Input is one event for the planner.
type Input interface{ apply(p *Planner) }

// Ticked triggers the periodic work. It should come every 50 to 100 ms.
type Ticked struct{}

// RecordsRead is the result of a successful read of the task stream from
// Planner.Next on.
type RecordsRead struct {
	// Began is the time just before the read.
	Began time.Time
	Page  sched.Page
}

// ReadFailed reports that the log could not be read. Began is the time just
// before the read: if a pause of the process delays the failure, it says nothing
// about the log after the pause.
type ReadFailed struct{ Began time.Time }

// StreamTrimmed reports that the record at Planner.NextOffset is no longer retained.
type StreamTrimmed struct{ Earliest sched.Offset }

// Appended reports the outcome of the append that Output.Append requested.
type Appended struct {
	Serial uint64
	Err    error
}

// Submitted requests that a task be accepted. The answer is a Reply with the
// same Ticket.
type Submitted struct {
	Ticket uint64
	Task   sched.Task
}

// CancelRequested requests that a task be cancelled. The answer is a Reply with
// the same Ticket.
type CancelRequested struct {
	Ticket uint64
	Task   sched.TaskID
}

// DrainRequested excludes a worker from placement, or includes it again.
type DrainRequested struct {
	Worker  sched.InstanceID
	Drained bool
}

// DeadDeclared is an operator's declaration that nothing runs any more on an
// instance, or in the whole data centre if Instance is empty.
type DeadDeclared struct{ Instance sched.InstanceID }

// WorkerReported is a worker's answer to the call with the same serial number.
type WorkerReported struct {
	Worker sched.InstanceID
	Serial uint64
	Report sched.WorkerReport
}

// WorkerCallFailed reports that a call got no answer. It may have taken effect.
type WorkerCallFailed struct {
	Worker sched.InstanceID
	Serial uint64
}

// PeerTerm is the newest term that a peer in the data centre has read, as
// announced in its heartbeat.
type PeerTerm struct {
	Instance    sched.InstanceID
	Incarnation sched.Incarnation
	TermSeen    sched.Offset
}

// MembersSeen is the current view of the members of the data centre.
type MembersSeen struct {
	// Responsible is set if this instance should be the planner.
	Responsible bool
	Contact     lease.Contact
	Workers     []sched.Member
	// GoneInstances lists entry instances that have been off the platform's list for
	// longer than the list's lag plus the isolation limit.
	GoneInstances []sched.InstanceID
	Peers         []PeerTerm
}

// SettingsChanged brings a configuration version into force.
type SettingsChanged struct{ Settings *sched.Settings }

// Leaving stops the planner before the instance shuts down: its term is ended,
// and no other is begun.
type Leaving struct{}

// Output is the set of effects that the caller has to carry out after a step.
// The read, the calls and the append run concurrently; each leads to one input.
type Output struct {
	// Read requests a read of the task stream from Planner.NextOffset on.
	Read    bool
	Append  *Append
	Calls   []Call
	Replies []Reply
	// Events have no instance and no stamp; the caller adds them.
	Events []sched.Event
}

// Append is one encoded record to be appended to the task stream.
type Append struct {
	Serial uint64
	Data   []byte
}

// Call is one exchange with a worker.
type Call struct {
	Worker sched.Member
	Serial uint64
	Call   sched.WorkerCall
}

// Reply answers the submission or the cancellation with the same Ticket.
type Reply struct {
	Ticket uint64
	Code   sched.Code
	Reason string
}

// Interference is the part of the control loop over services that the planner
// uses.
type Interference interface {
	// Score rates a task kind on a worker; it is used as a place.Score.
	Score(worker sched.InstanceID, kind string) float64
	// Observe processes a worker's report.
	Observe(now time.Time, r *sched.WorkerReport)
	// Actions returns the attempts to throttle or evict now.
	Actions(now time.Time) []Action
}

// PlacementObserver is implemented by an Interference that takes direct placements into
// account before a report shows them.
type PlacementObserver interface {
	Placed(now time.Time, worker sched.InstanceID, t sched.TaskID, a sched.Attempt, kind string)
}

// Watcher is implemented by an Interference that is notified of all placements,
// bound ones included, before a report shows them, and of workers that left.
type Watcher interface {
	Placed(now time.Time, worker sched.InstanceID, t sched.TaskID, a sched.Attempt, kind string)
	Forget(worker sched.InstanceID)
}

// Action throttles or evicts an attempt.
type Action struct {
	Worker sched.InstanceID
	Task   sched.TaskID
	// Share is the part of its processors that the attempt may use, 0 to 1. It
	// is ignored if Evict is set.
	Share float64
	Evict bool
}

// FailureClassifier distinguishes failing workers from failing tasks; suspct.Detector
// implements it.
type FailureClassifier interface {
	// AttemptEnded records how an attempt ended.
	AttemptEnded(now time.Time, worker sched.InstanceID, task sched.TaskID, kind string, result sched.AttemptState)
	// Placed records that a task was placed on a worker.
	Placed(now time.Time, worker sched.InstanceID)
	// Avoid reports whether a worker should get no new tasks now. The result may
	// change without an event, as time passes.
	Avoid(now time.Time, worker sched.InstanceID) bool
	// CountsAgainstTask reports whether the task's failure on this worker counts against
	// the task.
	CountsAgainstTask(now time.Time, worker sched.InstanceID, task sched.TaskID) bool
}

// Prober is implemented by a FailureClassifier that limits the number of tasks on a worker
// that is being probed.
type Prober interface {
	Placed(now time.Time, worker sched.InstanceID)
}

// Finder finds workers with room; place.Index implements it.
type Finder interface {
	// Set adds a worker or updates its rack and free room.
	Set(id sched.InstanceID, rack string, free sched.Resources)
	Remove(id sched.InstanceID)
	// Count adds change, 1 or -1, to the tasks of a team and kind on a rack.
	Count(rack, team, kind string, change int)
	// Find returns a worker with room for the task, and false if there is none.
	Find(t *sched.Task) (sched.InstanceID, bool)
}
