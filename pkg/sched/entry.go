package sched

import "time"

// EntryKind is the type of an entry in a task stream.
type EntryKind int

// Kinds of entries. The numbers are part of the log format.
const (
	// EntryWorkerSeen records a worker's capacity, rack and boot number.
	EntryWorkerSeen EntryKind = iota + 1
	// EntryAccepted records that a task was accepted.
	EntryAccepted
	// EntryTerm starts a planner's term. The record's offset is the term number
	// and the fencing token.
	EntryTerm
	// EntryTermEnded records that nothing more is sent under a term.
	EntryTermEnded
	// EntryPlaced assigns an attempt to a worker, to start at once or, with
	// Ahead, once its resources are free.
	EntryPlaced
	// EntryStarted records that the worker runs the attempt.
	EntryStarted
	// EntryEnded records that the attempt ended, with its result.
	EntryEnded
	// EntryCheckpointed records the checkpoint that an attempt wrote.
	EntryCheckpointed
	// EntryExpired records that an attempt can no longer be running.
	EntryExpired
	// EntryCancelled records that the cancellation of a task was requested.
	EntryCancelled
	// EntryDrained excludes a worker from placement or includes it again.
	EntryDrained
	// EntrySnapshot carries the state of the stream up to the last record that
	// the writer had read.
	EntrySnapshot
	// EntryDeclaredDead records an operator's statement that nothing runs on an
	// instance any more.
	EntryDeclaredDead
)

// TaskEntry is one entry of a record in a task stream. Kind determines which
// fields are set.
type TaskEntry struct {
	Kind EntryKind
	// Task is set for EntryAccepted.
	Task Task
	// TaskID and Attempt identify the task in all other entries about tasks.
	TaskID  TaskID
	Attempt Attempt
	Worker  InstanceID
	// Boot, Rack and Capacity are set for EntryWorkerSeen.
	Boot     uint64
	Rack     string
	Capacity Resources
	// Term is the term of the planner that wrote the entry; for EntryTermEnded
	// it is the term that ended.
	Term Offset
	// Ahead is set for placements that hold no resources until the worker
	// starts them.
	Ahead bool
	// Quota limits the resources that the team may hold in total after this
	// placement; a field of 0 means no limit.
	Quota Resources
	// Result, RunTime and Final are set for EntryEnded. RunTime includes the
	// work done before a checkpoint. Final is set if no further attempt follows.
	Result  AttemptState
	RunTime time.Duration
	Final   bool
	Reason  string
	// Checkpoint is set for EntryCheckpointed. RunTime is then the run time that
	// the checkpoint contains.
	Checkpoint CheckpointID
	// Drained is set for EntryDrained if the worker is excluded from placement
	// from then on.
	Drained bool
	// Instance is set for EntryTerm and EntryDeclaredDead. Incarnation is set
	// for EntryTerm.
	Instance    InstanceID
	Incarnation Incarnation
	// Snapshot is set for EntrySnapshot.
	Snapshot *TaskImage
}

// TaskRecord is one record of a task stream. Its entries are applied in order.
type TaskRecord struct {
	// Writer, Incarnation and Serial identify the record. With them the writer
	// finds out by reading whether an append took effect whose acknowledgement
	// was lost.
	Writer      InstanceID
	Incarnation Incarnation
	Serial      uint64
	// At is the writer's clock reading when it created the record.
	At      time.Time
	Entries []TaskEntry
}

// TaskImage is a snapshot of the state of a task stream.
type TaskImage struct {
	// AsOf is the offset of the last record that the snapshot includes.
	AsOf       Offset
	NewestTerm Offset
	Tasks      []TaskStatus
	// Ended holds the ended tasks that are still retained, oldest first.
	Ended   []TaskStatus
	Workers []WorkerStatus
	// Terms holds the terms that have not ended.
	Terms []TermStatus
	Usage []PartnerUsage
	// Scores holds the learned interference scores, in the encoding of the
	// package that learns them.
	Scores []byte
}

// TaskStatus is the state of one task.
type TaskStatus struct {
	Task  Task
	State TaskState
	// Accepted is the offset of the record that accepted the task.
	Accepted Offset
	// Attempt is the number of the latest attempt, 0 if there was none. Worker
	// and Term belong to the latest attempt and are set while it may be running.
	Attempt Attempt
	Worker  InstanceID
	Term    Offset
	// LastWorker is the worker of the latest attempt, set once the attempt has
	// ended.
	LastWorker InstanceID
	// Started is set once the worker reported that it runs the attempt.
	Started bool
	// CancelRequested is set once cancellation was requested. The attempt may
	// still be running.
	CancelRequested bool
	// Checkpoint is the checkpoint that the next attempt resumes from or, while
	// the latest attempt may be running, the one that this attempt resumed from.
	// CheckpointOf is an attempt number: only the attempt that follows it may
	// resume from the checkpoint.
	Checkpoint   CheckpointID
	CheckpointOf Attempt
	// Progress is the run time that the checkpoint or, for a task that is done,
	// the result contains.
	Progress  time.Duration
	Evictions int
	Failures  int
	Reason    string
}

// WorkerStatus is the state of one worker.
type WorkerStatus struct {
	Worker   InstanceID
	Rack     string
	Boot     uint64
	Capacity Resources
	// Drained is set while the worker is excluded from placement.
	Drained bool
	// Placed holds the tasks that are placed on the worker, in the order of
	// placement.
	Placed []TaskID
}

// TermStatus is a planner's term that has not ended.
type TermStatus struct {
	Term        Offset
	Instance    InstanceID
	Incarnation Incarnation
}

// PartnerUsage is the billable usage of a partner in one month.
type PartnerUsage struct {
	Partner string
	// Month is the year times 100 plus the month, in UTC.
	Month int
	// Runs is the number of tasks that were done.
	Runs int64
	// ProcessorMillis is the sum over these tasks of run time times processors,
	// in processor milliseconds. It isn't a Duration because the usage of a
	// whole data centre in a month would overflow one.
	ProcessorMillis int64
}
