package place

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// shape is what tasks of one line have in common: if one of them finds no
// room, none of the others does.
type shape struct {
	urgency sched.Urgency
	team    string
	kind    string
	needs   sched.Resources
}

// waiter is one queued task. Tasks keep their age when they return.
type waiter struct {
	id       sched.TaskID
	accepted sched.Offset
}

// line is a heap of waiting tasks of one shape, oldest first.
type line struct {
	shape   shape
	waiters []waiter
}

// Len implements heap.Interface.
func (l *line) Len() int { return len(l.waiters) }

// Less implements heap.Interface.
func (l *line) Less(i, j int) bool {
	a, b := l.waiters[i], l.waiters[j]
	return cmp.Or(cmp.Compare(a.accepted, b.accepted), cmp.Compare(a.id, b.id)) < 0
}

// Swap implements heap.Interface.
func (l *line) Swap(i, j int) { l.waiters[i], l.waiters[j] = l.waiters[j], l.waiters[i] }

// Push implements heap.Interface.
func (l *line) Push(v any) { l.waiters = append(l.waiters, v.(waiter)) }

// Pop implements heap.Interface.
func (l *line) Pop() any {
	w := l.waiters[len(l.waiters)-1]
	l.waiters = l.waiters[:len(l.waiters)-1]
	return w
}

// Queue holds the tasks that wait for a placement. Tasks that left it by
// another way, such as a cancellation, are dropped when they come up.
type Queue struct {
	lines  map[shape]*line
	member map[sched.TaskID]bool
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{lines: map[shape]*line{}, member: map[sched.TaskID]bool{}}
}

// Len returns the number of queued tasks, stale ones included.
func (q *Queue) Len() int { return len(q.member) }

// Add queues a task; a task that is queued stays where it is.
func (q *Queue) Add(t *sched.TaskStatus) {
	if q.member[t.Task.ID] {
		return
	}
	q.member[t.Task.ID] = true
	s := shape{t.Task.Urgency, t.Task.Team, t.Task.Kind, t.Task.Needs}
	l := q.lines[s]
	if l == nil {
		l = &line{shape: s}
		q.lines[s] = l
	}
	heap.Push(l, waiter{t.Task.ID, t.Accepted})
}

// Verdict is what a visit of a queued task decides.
type Verdict int

// Verdicts of a visit.
const (
	// Taken takes the task out of the queue.
	Taken Verdict = iota + 1
	// NoRoom leaves it and skips the other tasks of the same shape.
	NoRoom
	// Enough ends the round.
	Enough
)

// Round visits waiting tasks: the more urgent first; among those, teams that
// hold the smaller part of their quota; then the older. Share returns the part
// that a team holds now. Visit must return Taken for a task that does not wait
// any more.
func (q *Queue) Round(share func(team string) float64, visit func(sched.TaskID) Verdict) {
	ranks := make([]ranked, 0, len(q.lines))
	for _, l := range q.lines {
		ranks = append(ranks, ranked{line: l, share: share(l.shape.team)})
	}
	h := rankHeap(ranks)
	heap.Init(&h)
	for len(h) > 0 {
		r := &h[0]
		l := r.line
		// Shares only grow within a round, so a share that is out of date
		// because of the team's other lines is noticed when it comes up.
		if now := share(l.shape.team); now > r.share {
			r.share = now
			heap.Fix(&h, 0)
			continue
		}
		w := l.waiters[0]
		switch visit(w.id) {
		case Taken:
			heap.Pop(l)
			delete(q.member, w.id)
			if l.Len() == 0 {
				delete(q.lines, l.shape)
				heap.Pop(&h)
				continue
			}
			heap.Fix(&h, 0)
		case NoRoom:
			heap.Pop(&h)
		default:
			return
		}
	}
}

// ranked is a line with its place in a round.
type ranked struct {
	line  *line
	share float64
}

type rankHeap []ranked

// Len implements heap.Interface.
func (h rankHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h rankHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.line.shape.urgency != b.line.shape.urgency {
		return a.line.shape.urgency > b.line.shape.urgency
	}
	x, y := a.line.waiters[0], b.line.waiters[0]
	return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(x.accepted, y.accepted),
		cmp.Compare(x.id, y.id)) < 0
}

// Swap implements heap.Interface.
func (h rankHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *rankHeap) Push(v any) { *h = append(*h, v.(ranked)) }

// Pop implements heap.Interface.
func (h *rankHeap) Pop() any {
	o := *h
	r := o[len(o)-1]
	*h = o[:len(o)-1]
	return r
}

// Heads returns the first task of every line, oldest first: those are the
// tasks that may be starved.
func (q *Queue) Heads() []sched.TaskID {
	var all []waiter
	for _, l := range q.lines {
		all = append(all, l.waiters[0])
	}
	slices.SortFunc(all, func(a, b waiter) int {
		return cmp.Or(cmp.Compare(a.accepted, b.accepted), cmp.Compare(a.id, b.id))
	})
	ids := make([]sched.TaskID, len(all))
	for i, w := range all {
		ids[i] = w.id
	}
	return ids
}
