package order

import (
	"cmp"
	"time"
)

// Class is what a job is still worth if it runs now.
type Class int

// Classes in the order in which they are placed.
const (
	// InTime jobs can meet their objective.
	InTime Class = iota
	// Late jobs miss their objective, and can end before they are worth nothing.
	Late
	// Worthless jobs end when they are worth nothing. They still have to run.
	Worthless
)

const (
	// worthlessFactor times its objective after it was due, a job is worth
	// nothing.
	worthlessFactor = 3
	// runTimeMargin is applied to the time that a job is expected to take: tasks
	// are uneven, fail, and run slower beside others.
	runTimeMargin = 1.15
)

// Outlook is what decides about the class of one occurrence of a job.
type Outlook struct {
	// Due is the time from which the objective counts.
	Due time.Time
	// Chain is the expected time of the longest chain of steps, and Left that
	// of the part from the waiting tasks to the end.
	Chain, Left time.Duration
	// The objective is to end within Stretch times Chain, and Goal more.
	Stretch float64
	Goal    time.Duration
}

// objective returns the time after Due by which the job should end.
func (o Outlook) objective() time.Duration {
	return time.Duration(o.Stretch*float64(o.Chain)) + o.Goal
}

// Spare returns how long after Due the waiting tasks may be placed for the job to meet its
// objective. It is negative if they can't.
func (o Outlook) Spare() time.Duration {
	return o.objective() - time.Duration(runTimeMargin*float64(o.Left))
}

// Class returns the class of the job if its waiting tasks are placed now.
func (o Outlook) Class(now time.Time) Class {
	switch waited := now.Sub(o.Due); {
	case waited <= o.Spare():
		return InTime
	case waited <= o.Spare()+(worthlessFactor-1)*o.objective():
		return Late
	}
	return Worthless
}

// Claim is what the waiting tasks of a step are ordered by.
type Claim struct {
	// Priority is the priority of the queue; 0 comes first.
	Priority int
	Class    Class
	// Lasting tasks come after others of their priority and class.
	Lasting bool
	// Begun is set if a run of the job has started.
	Begun bool
	// Due is when the occurrence was due, or the job was submitted.
	Due time.Time
}

// Compare returns a negative number if a comes before b, and a positive one if it
// comes after b. Within a priority and class, jobs that have begun go first, since
// a job is worth something only as a whole.
func Compare(a, b Claim) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Class, b.Class),
		compareFalseFirst(a.Lasting, b.Lasting), compareFalseFirst(b.Begun, a.Begun), a.Due.Compare(b.Due))
}

// compareFalseFirst orders false before true.
func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
