package ledger

import (
	"cmp"
	"maps"
	"slices"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Image returns a copy of the state for a snapshot. Equal states give equal
// images. Ended tasks keep only what a repeated submission or a status query
// needs.
func (l *Ledger) Image() *sched.TaskImage {
	i := &sched.TaskImage{AsOf: l.applied, NewestTerm: l.newest, Terms: slices.Clone(l.terms)}
	for _, t := range l.tasks {
		if !Final(t.State) {
			i.Tasks = append(i.Tasks, *t)
		}
	}
	slices.SortFunc(i.Tasks, func(a, b sched.TaskStatus) int {
		return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), cmp.Compare(a.Task.ID, b.Task.ID))
	})
	for _, id := range l.ended {
		t := l.tasks[id]
		i.Ended = append(i.Ended, sched.TaskStatus{
			Task:  sched.Task{ID: t.Task.ID, Partner: t.Task.Partner},
			State: t.State, Attempt: t.Attempt, Reason: t.Reason,
		})
	}
	for _, id := range l.workerIDs() {
		w := l.workers[id].WorkerStatus
		w.Placed = slices.Clone(w.Placed)
		i.Workers = append(i.Workers, w)
	}
	for _, u := range l.usage {
		i.Usage = append(i.Usage, *u)
	}
	slices.SortFunc(i.Usage, func(a, b sched.PartnerUsage) int {
		return cmp.Or(cmp.Compare(a.Month, b.Month), cmp.Compare(a.Partner, b.Partner))
	})
	return i
}

func (l *Ledger) workerIDs() []sched.InstanceID {
	return slices.Sorted(maps.Keys(l.workers))
}

// load takes the state of a snapshot that stands at offset at, and replays the
// records between the two.
func (l *Ledger) load(i *sched.TaskImage, at sched.Offset) {
	l.newest = i.NewestTerm
	l.terms = slices.Clone(i.Terms)
	l.scores = i.Scores
	for k := range i.Workers {
		w := &Worker{WorkerStatus: i.Workers[k]}
		w.Placed = slices.Clone(w.Placed)
		l.workers[w.Worker] = w
		l.shapes[w.Capacity]++
	}
	for k := range i.Tasks {
		t := i.Tasks[k]
		l.tasks[t.Task.ID] = &t
		l.open++
		l.hold(&t)
	}
	for k := range i.Ended {
		t := i.Ended[k]
		l.tasks[t.Task.ID] = &t
		l.ended = append(l.ended, t.Task.ID)
	}
	for _, u := range i.Usage {
		l.usage[usageKey{u.Partner, u.Month}] = &u
	}
	l.ready = true
	for _, h := range l.waiting {
		if h.offset > i.AsOf {
			l.replay(h.offset, h.record)
		}
	}
	l.waiting = nil
	l.snapshot = at
	l.changes = l.changes[:0]
}

// hold adds a placed task of an image to the sums.
func (l *Ledger) hold(t *sched.TaskStatus) {
	w := l.workers[t.Worker]
	if w == nil {
		return
	}
	if t.State == sched.TaskBound {
		w.Bound = w.Bound.Plus(t.Task.Needs)
		w.Waiting++
	} else {
		w.Committed = w.Committed.Plus(t.Task.Needs)
	}
	l.teams[t.Task.Team] = l.teams[t.Task.Team].Plus(t.Task.Needs)
}
