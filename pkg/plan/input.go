package plan

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/lease"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Input is one event for the planner.
type Input interface{ apply(p *Planner) }

// Ticked lets time pass. It should come every 50 to 100 ms.
type Ticked struct{}

// RecordsRead is one successful read of the task stream from Planner.Next on.
type RecordsRead struct {
	// Began is the time just before the read.
	Began time.Time
	Page  sched.Page
}

// ReadFailed reports that the log could not be read.
type ReadFailed struct{}

// Trimmed reports that the record at Planner.Next is no longer retained.
type Trimmed struct{ Earliest sched.Offset }

// Appended reports the end of the append that Output.Append asked for.
type Appended struct {
	Serial uint64
	Err    error
}

// Submitted asks to take a task on. The answer is a Reply with the same Ticket.
type Submitted struct {
	Ticket uint64
	Task   sched.Task
}

// CancelRequested asks to withdraw a task.
type CancelRequested struct {
	Ticket uint64
	Task   sched.TaskID
}

// DrainRequested takes a worker out of placement or back in.
type DrainRequested struct {
	Worker  sched.InstanceID
	Drained bool
}

// DeadDeclared is an operator's word that nothing runs on an instance any more,
// or in the whole data centre if none is named.
type DeadDeclared struct{ Instance sched.InstanceID }

// WorkerReported is the answer to the call with the same serial number.
type WorkerReported struct {
	Worker sched.InstanceID
	Serial uint64
	Report sched.WorkerReport
}

// WorkerFailed reports that a call got no answer. It may have taken effect.
type WorkerFailed struct {
	Worker sched.InstanceID
	Serial uint64
}

// PeerTerm is what a peer of the data centre said in a heartbeat.
type PeerTerm struct {
	Instance    sched.InstanceID
	Incarnation sched.Incarnation
	TermSeen    sched.Offset
}

// MembersSeen is the current view of the data centre.
type MembersSeen struct {
	// Responsible is set if this instance should be the planner.
	Responsible bool
	Contact     lease.Contact
	Workers     []sched.Member
	// Gone lists entry instances that have been off the platform's list for
	// longer than its lag plus the isolation limit.
	Gone  []sched.InstanceID
	Peers []PeerTerm
}

// SettingsChanged brings a configuration version into force.
type SettingsChanged struct{ Settings *sched.Settings }

// Leaving ends the planner's work: its term is ended and none is begun.
type Leaving struct{}

// Output is what has to be done after a step. The calls and the append run
// concurrently; each ends in one input.
type Output struct {
	// Read asks for a read of the task stream from Planner.Next on.
	Read    bool
	Append  *Append
	Calls   []Call
	Replies []Reply
	// Events lack instance and stamp.
	Events []sched.Event
}

// Append is one record for the task stream.
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

// Reply answers a submission or a cancellation.
type Reply struct {
	Ticket uint64
	Code   sched.Code
	Reason string
}

// Interference is the part of the control loop over services that the planner
// uses.
type Interference interface {
	// Score rates a task kind on a worker as place.Score does.
	Score(worker sched.InstanceID, kind string) float64
	// Observe takes a worker's report.
	Observe(now time.Time, r *sched.WorkerReport)
	// Actions returns what should change now.
	Actions(now time.Time) []Action
}

// Placer is implemented by an Interference that counts placements which no
// report shows yet.
type Placer interface {
	Placed(now time.Time, worker sched.InstanceID, t sched.TaskID, a sched.Attempt, kind string)
}

// Watcher is implemented by an Interference that wants to know of placements
// before a report shows them, and of workers that left.
type Watcher interface {
	Placed(now time.Time, worker sched.InstanceID, t sched.TaskID, a sched.Attempt, kind string)
	Forget(worker sched.InstanceID)
}

// Action throttles or evicts an attempt.
type Action struct {
	Worker sched.InstanceID
	Task   sched.TaskID
	// Share is between 0 and 1, unless Evict is set.
	Share float64
	Evict bool
}

// Suspects tells failing workers from failing tasks; suspct.Judge implements it.
type Suspects interface {
	// Ended notes how an attempt ended.
	Ended(now time.Time, worker sched.InstanceID, task sched.TaskID, kind string, result sched.AttemptState)
	// Placed notes that a task was given to a worker.
	Placed(now time.Time, worker sched.InstanceID)
	// Avoid tells whether a worker should get no new tasks now. The answer may
	// change with time.
	Avoid(now time.Time, worker sched.InstanceID) bool
	// Counts tells whether the task's failure on this worker counts against
	// the task.
	Counts(now time.Time, worker sched.InstanceID, task sched.TaskID) bool
}

// Prober is implemented by Suspects that limit the tasks of a worker which is
// being probed.
type Prober interface {
	Placed(now time.Time, worker sched.InstanceID)
}

// Finder finds workers with room; place.Index implements it.
type Finder interface {
	Set(id sched.InstanceID, rack string, free sched.Resources)
	Remove(id sched.InstanceID)
	Count(rack, team, kind string, change int)
	Find(t *sched.Task) (sched.InstanceID, bool)
}
