package place

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// shape is what the tasks of one heap have in common. If there is no room for one
// of them, there is none for the others.
type shape struct {
	urgency sched.Urgency
	team    string
	kind    string
	needs   sched.Resources
}

// queuedTask is a waiting task. Its age is given by the offset of the record that
// accepted it, so a task that is queued again keeps its age.
type queuedTask struct {
	id       sched.TaskID
	accepted sched.Offset
}

// shapeHeap is a heap of the waiting tasks of one shape, oldest first.
type shapeHeap struct {
	shape shape
	tasks []queuedTask
}

// Len returns the number of tasks in the heap.
func (h *shapeHeap) Len() int { return len(h.tasks) }

// Less orders tasks by their age, those of one record by id.
func (h *shapeHeap) Less(i, j int) bool {
	a, b := h.tasks[i], h.tasks[j]
	return cmp.Or(cmp.Compare(a.accepted, b.accepted), cmp.Compare(a.id, b.id)) < 0
}

// Swap implements heap.Interface.
func (h *shapeHeap) Swap(i, j int) { h.tasks[i], h.tasks[j] = h.tasks[j], h.tasks[i] }

// Push implements heap.Interface.
func (h *shapeHeap) Push(v any) { h.tasks = append(h.tasks, v.(queuedTask)) }

// Pop implements heap.Interface.
func (h *shapeHeap) Pop() any {
	w := h.tasks[len(h.tasks)-1]
	h.tasks = h.tasks[:len(h.tasks)-1]
	return w
}

// Queue holds the tasks that wait for a placement. A task that no longer waits,
// such as a cancelled one, stays in the queue until a round visits it. A Queue
// isn't safe for concurrent use.
type Queue struct {
	// heaps holds no empty heap.
	heaps map[shape]*shapeHeap
	// queued holds the ids of the tasks in all heaps.
	queued map[sched.TaskID]bool
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{heaps: map[shape]*shapeHeap{}, queued: map[sched.TaskID]bool{}}
}

// Len returns the number of queued tasks, including those that no longer wait.
func (q *Queue) Len() int { return len(q.queued) }

// Add queues a task. It has no effect on a task that is queued already.
func (q *Queue) Add(t *sched.TaskStatus) {
	if q.queued[t.Task.ID] {
		return
	}
	q.queued[t.Task.ID] = true
	s := shape{t.Task.Urgency, t.Task.Team, t.Task.Kind, t.Task.Needs}
	l := q.heaps[s]
	if l == nil {
		l = &shapeHeap{shape: s}
		q.heaps[s] = l
	}
	heap.Push(l, queuedTask{t.Task.ID, t.Accepted})
}

// Verdict is the result of a visit of a queued task.
type Verdict int

// Verdicts of a visit.
const (
	// Taken removes the task from the queue.
	Taken Verdict = iota + 1
	// NoRoom leaves the task in the queue and skips the others of its shape.
	NoRoom
	// EndRound leaves the task in the queue and ends the round.
	EndRound
)

// Round visits the waiting tasks until there is none left or a visit ends the
// round. More urgent tasks come first, among those the tasks of teams that hold the
// smaller share of their quota, and then the older ones. Share returns the share
// that a team holds now. Visit must return Taken for a task that no longer waits.
func (q *Queue) Round(share func(team string) float64, visit func(sched.TaskID) Verdict) {
	ranks := make([]rankedHeap, 0, len(q.heaps))
	for _, l := range q.heaps {
		ranks = append(ranks, rankedHeap{heap: l, share: share(l.shape.team)})
	}
	h := roundHeap(ranks)
	heap.Init(&h)
	for len(h) > 0 {
		r := &h[0]
		l := r.heap
		// Shares only grow within a round, so it is enough to correct one that
		// is out of date, through tasks of the team's other shapes, when its
		// heap comes first.
		if now := share(l.shape.team); now > r.share {
			r.share = now
			heap.Fix(&h, 0)
			continue
		}
		w := l.tasks[0]
		switch visit(w.id) {
		case Taken:
			heap.Pop(l)
			delete(q.queued, w.id)
			if l.Len() == 0 {
				delete(q.heaps, l.shape)
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

// rankedHeap is the heap of one shape in a round, with the share of quota that its
// team held when the share was last read.
type rankedHeap struct {
	heap  *shapeHeap
	share float64
}

// roundHeap orders the heaps of a round by which has the next task to visit.
type roundHeap []rankedHeap

// Len implements heap.Interface.
func (h roundHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h roundHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.heap.shape.urgency != b.heap.shape.urgency {
		return a.heap.shape.urgency > b.heap.shape.urgency
	}
	x, y := a.heap.tasks[0], b.heap.tasks[0]
	return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(x.accepted, y.accepted),
		cmp.Compare(x.id, y.id)) < 0
}

// Swap implements heap.Interface.
func (h roundHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *roundHeap) Push(v any) { *h = append(*h, v.(rankedHeap)) }

// Pop implements heap.Interface.
func (h *roundHeap) Pop() any {
	o := *h
	r := o[len(o)-1]
	*h = o[:len(o)-1]
	return r
}

// OldestPerShape returns the oldest task of each shape, oldest first. If any task is being
// starved, one of these is.
func (q *Queue) OldestPerShape() []sched.TaskID {
	var all []queuedTask
	for _, l := range q.heaps {
		all = append(all, l.tasks[0])
	}
	slices.SortFunc(all, func(a, b queuedTask) int {
		return cmp.Or(cmp.Compare(a.accepted, b.accepted), cmp.Compare(a.id, b.id))
	})
	ids := make([]sched.TaskID, len(all))
	for i, w := range all {
		ids[i] = w.id
	}
	return ids
}
