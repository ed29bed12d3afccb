package sched

import "time"

// TaskID names a batch task. Callers choose it; submitting the same id twice
// is idempotent.
type TaskID string

// CheckpointID names a checkpoint that a worker wrote.
type CheckpointID string

// Attempt counts the placements of one task, from 1.
type Attempt int

// Urgency is the class of a service or a task kind.
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
	// RunTime is declared and may be far off.
	RunTime time.Duration
	// SubmittedAt is the time of acceptance at the entry instance.
	SubmittedAt time.Time
}

// WithSubmittedAt returns a copy with the given time of acceptance.
func (t Task) WithSubmittedAt(s time.Time) Task {
	t.SubmittedAt = s
	return t
}

// TaskState is the state of a task in the replay of its stream.
type TaskState int

// States of tasks. TaskDone, TaskFailed and TaskCancelled are final.
const (
	TaskQueued TaskState = iota + 1
	TaskPlaced
	TaskBound // bound ahead to a worker, holds no resources yet
	TaskDone
	TaskFailed
	TaskCancelled
)
