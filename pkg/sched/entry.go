package sched

import "time"

// EntryKind tells the entries of a task stream apart.
type EntryKind int

// Kinds of entries. The numbers are part of the log format.
const (
	// EntryWorkerSeen states a worker's capacity, rack and boot.
	EntryWorkerSeen EntryKind = iota + 1
	// EntryAccepted takes a task on.
	EntryAccepted
	// EntryTerm starts a planner's term; the record's offset is its token.
	EntryTerm
	// EntryTermEnded states that nothing more is sent under a term.
	EntryTermEnded
	// EntryPlaced gives an attempt to a worker, now or bound ahead.
	EntryPlaced
	// EntryStarted states that the worker runs the attempt.
	EntryStarted
	// EntryEnded states that the attempt ended, with its result.
	EntryEnded
	// EntryCheckpointed names the checkpoint that an attempt left.
	EntryCheckpointed
	// EntryExpired states that an attempt can no longer be alive.
	EntryExpired
	// EntryCancelled withdraws a task.
	EntryCancelled
	// EntryDrained takes a worker out of placement or back in.
	EntryDrained
	// EntrySnapshot carries the state as its writer had read it.
	EntrySnapshot
	// EntryDeclaredDead is an operator's word that nothing runs on an instance.
	EntryDeclaredDead
)

// TaskEntry is one statement in a task stream. Which fields are set depends on
// Kind.
type TaskEntry struct {
	Kind EntryKind
	// Task is set for EntryAccepted.
	Task Task
	// TaskID and Attempt are set for all other entries about tasks.
	TaskID  TaskID
	Attempt Attempt
	Worker  InstanceID
	// Boot, Rack and Capacity are set for EntryWorkerSeen.
	Boot     uint64
	Rack     string
	Capacity Resources
	// Term is the planner's term; for EntryTermEnded the one that ended.
	Term Offset
	// Ahead is set for placements that hold no resources until they start.
	Ahead bool
	// Quota is the bound on what the team may hold after this placement; zero
	// fields mean no limit.
	Quota Resources
	// Result, RunTime and Final are set for EntryEnded. RunTime includes the
	// part before a checkpoint. Final rules out another attempt.
	Result  AttemptState
	RunTime time.Duration
	Final   bool
	Reason  string
	// Checkpoint is set for EntryCheckpointed, with RunTime as its progress.
	Checkpoint CheckpointID
	// Drained is the new state, for EntryDrained.
	Drained bool
	// Instance is set for EntryTerm and EntryDeclaredDead. Incarnation is set
	// for EntryTerm.
	Instance    InstanceID
	Incarnation Incarnation
	// Snapshot is set for EntrySnapshot.
	Snapshot *TaskImage
}

// TaskRecord is one record of a task stream. Entries take effect in order.
type TaskRecord struct {
	// Writer, Incarnation and Serial identify the record, so that its writer
	// recognizes it when the acknowledgement was lost.
	Writer      InstanceID
	Incarnation Incarnation
	Serial      uint64
	// At is the writer's time.
	At      time.Time
	Entries []TaskEntry
}

// TaskImage is the state of a task stream after a given record.
type TaskImage struct {
	// AsOf is the offset of the last record that is part of the image.
	AsOf       Offset
	NewestTerm Offset
	Tasks      []TaskStatus
	// Ended lists the remembered ended tasks, oldest first.
	Ended   []TaskStatus
	Workers []WorkerStatus
	Terms   []TermStatus
	Usage   []PartnerUsage
	// Scores are the learned interference scores, in their owner's encoding.
	Scores []byte
}

// TaskStatus is the state of one task.
type TaskStatus struct {
	Task  Task
	State TaskState
	// Accepted is the offset of the record that took the task on.
	Accepted Offset
	// Attempt is the latest one, 0 if there was none. Worker and Term are
	// those of the latest attempt while it may be alive.
	Attempt Attempt
	Worker  InstanceID
	Term    Offset
	// LastWorker is that of the latest attempt once it has ended.
	LastWorker InstanceID
	// Started is set once a worker reported the attempt.
	Started bool
	// CancelRequested is set once the task was withdrawn; its attempt may still
	// run.
	CancelRequested bool
	// Checkpoint is what the next attempt resumes from, or what the latest one
	// resumed from while it may be alive. CheckpointOf is the attempt after
	// which it may be used; only the next one does.
	Checkpoint   CheckpointID
	CheckpointOf Attempt
	// Progress is the run time that the checkpoint, or the result, contains.
	Progress  time.Duration
	Evictions int
	Failures  int
	Reason    string
}

// WorkerStatus is the state of one worker. Placed lists its tasks in the order
// of placement.
type WorkerStatus struct {
	Worker   InstanceID
	Rack     string
	Boot     uint64
	Capacity Resources
	Drained  bool
	Placed   []TaskID
}

// TermStatus is a term that has not ended.
type TermStatus struct {
	Term        Offset
	Instance    InstanceID
	Incarnation Incarnation
}

// PartnerUsage is what a partner pays for in one month.
type PartnerUsage struct {
	Partner string
	// Month is the year times 100 plus the month, in UTC.
	Month int
	// Runs counts tasks that were done.
	Runs int64
	// ProcessorMillis is the run time of those tasks times their processors,
	// in milliseconds. A month of a whole data centre overflows a Duration.
	ProcessorMillis int64
}
