// Package vtime provides the discrete event queue of the policy benchmarks.
package vtime

import (
	"container/heap"
	"time"
)

// Queue runs steps at their virtual times, and steps of the same time in the
// order in which they were added. The zero value starts at the zero time.
type Queue struct {
	// Now is the virtual time. Callers may set it before the first step and
	// only read it afterwards; Run advances it.
	Now   time.Time
	steps steps
	added uint64
}

// After schedules a step d after Now.
func (q *Queue) After(d time.Duration, do func()) {
	q.added++
	heap.Push(&q.steps, step{q.Now.Add(d), q.added, do})
}

// Added returns the number of steps scheduled so far.
func (q *Queue) Added() uint64 { return q.added }

// Run runs all steps due up to the given time, including steps that are added
// meanwhile, and sets Now to that time.
func (q *Queue) Run(until time.Time) {
	for len(q.steps) > 0 && !q.steps[0].at.After(until) {
		s := heap.Pop(&q.steps).(step)
		q.Now = s.at
		s.action()
	}
	q.Now = until
}

type step struct {
	at       time.Time
	sequence uint64
	action   func()
}

type steps []step

// Len implements heap.Interface.
func (s steps) Len() int { return len(s) }

// Less implements heap.Interface.
func (s steps) Less(i, j int) bool {
	if !s[i].at.Equal(s[j].at) {
		return s[i].at.Before(s[j].at)
	}
	return s[i].sequence < s[j].sequence
}

// Swap implements heap.Interface.
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *steps) Push(v any) { *s = append(*s, v.(step)) }

// Pop implements heap.Interface.
func (s *steps) Pop() any {
	last := len(*s) - 1
	v := (*s)[last]
	(*s)[last] = step{}
	*s = (*s)[:last]
	return v
}
