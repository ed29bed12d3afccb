// Package vtime is the virtual time of the policy benchmarks.
package vtime

import (
	"container/heap"
	"time"
)

// Queue runs steps at their virtual times, those of the same time in the order
// in which they were added. The zero value starts at the zero time.
type Queue struct {
	// Now is the virtual time. It is set before the first step and only read
	// afterwards.
	Now   time.Time
	steps steps
	count uint64
}

// After adds a step.
func (q *Queue) After(d time.Duration, do func()) {
	q.count++
	heap.Push(&q.steps, step{q.Now.Add(d), q.count, do})
}

// Added returns the number of steps that were added so far.
func (q *Queue) Added() uint64 { return q.count }

// Run runs all steps up to the given time, those added meanwhile included, and
// ends at that time.
func (q *Queue) Run(until time.Time) {
	for len(q.steps) > 0 && !q.steps[0].at.After(until) {
		s := heap.Pop(&q.steps).(step)
		q.Now = s.at
		s.do()
	}
	q.Now = until
}

type step struct {
	at    time.Time
	count uint64
	do    func()
}

type steps []step

// Len implements heap.Interface.
func (s steps) Len() int { return len(s) }

// Less implements heap.Interface.
func (s steps) Less(i, j int) bool {
	if !s[i].at.Equal(s[j].at) {
		return s[i].at.Before(s[j].at)
	}
	return s[i].count < s[j].count
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
