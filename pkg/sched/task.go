package sched

import "time"

// TaskID identifies a batch task. Callers choose it; submitting the same id
// again is idempotent.
type TaskID string

// CheckpointID identifies a checkpoint that a worker wrote. Empty means none.
type CheckpointID string

// Attempt numbers the placements of one task, from 1.
type Attempt int

// Urgency is the priority class of a service or of a task kind.
type Urgency int

// Urgency classes, least urgent first.
const (
	UrgencyBackground Urgency = iota + 1
	UrgencyStandard
	UrgencyUrgent
)

// Task is a batch task as its submitter declared it.
type Task struct {
	ID      TaskID
	Kind    string
	Partner string
	Team    string
	Urgency Urgency
	Needs   Resources
	// RunTime is the expected run time as declared. It may be far off.
	RunTime time.Duration
	// SubmittedAt is the time at which the entry instance accepted the task.
	SubmittedAt time.Time
}

// WithSubmittedAt returns a copy of the task with the given acceptance time.
func (t Task) WithSubmittedAt(s time.Time) Task {
	t.SubmittedAt = s
	return t
}

// TaskState is the state of a task according to the records of its task stream.
type TaskState int

// Task states. TaskDone, TaskFailed and TaskCancelled are final.
const (
	TaskQueued TaskState = iota + 1
	TaskPlaced
	TaskBound // assigned to a worker ahead of time, holds no resources yet
	TaskDone
	TaskFailed
	TaskCancelled
)
