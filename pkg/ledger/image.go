package ledger

import (
	"cmp"
	"maps"
	"slices"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Image returns a copy of the state for a snapshot, without scores. Equal states
// give equal images. Ended tasks keep only the fields that a repeated submission or
// a status query needs.
func (l *Ledger) Image() *sched.TaskImage {
	i := &sched.TaskImage{AsOf: l.applied, NewestTerm: l.newestTerm, Terms: slices.Clone(l.openTerms)}
	for _, t := range l.tasks {
		if !Final(t.State) {
			i.Tasks = append(i.Tasks, *t)
		}
	}
	slices.SortFunc(i.Tasks, func(a, b sched.TaskStatus) int {
		return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), cmp.Compare(a.Task.ID, b.Task.ID))
	})
	for _, id := range l.endedTasks {
		t := l.tasks[id]
		i.Ended = append(i.Ended, sched.TaskStatus{
			Task:  sched.Task{ID: t.Task.ID, Partner: t.Task.Partner},
			State: t.State, Attempt: t.Attempt, Reason: t.Reason,
		})
	}
	for _, id := range l.workerIDs() {
		w := l.workers[id].WorkerStatus
		for _, t := range l.workers[id].Tasks {
			w.Placed = append(w.Placed, t.Task.ID)
		}
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

// loadSnapshot takes over the state of a snapshot and replays the records after its
// offset that were read before it.
func (l *Ledger) loadSnapshot(i *sched.TaskImage) {
	l.newestTerm = i.NewestTerm
	l.openTerms = slices.Clone(i.Terms)
	l.scores = i.Scores
	for k := range i.Tasks {
		t := i.Tasks[k]
		l.tasks[t.Task.ID] = &t
		l.openTasks++
	}
	for k := range i.Workers {
		w := &Worker{WorkerStatus: i.Workers[k]}
		w.Placed = nil
		l.workers[w.Worker] = w
		l.capacities[w.Capacity]++
		for _, id := range i.Workers[k].Placed {
			l.restorePlaced(w, l.tasks[id])
		}
	}
	for k := range i.Ended {
		t := i.Ended[k]
		l.tasks[t.Task.ID] = &t
		l.endedTasks = append(l.endedTasks, t.Task.ID)
	}
	for _, u := range i.Usage {
		l.usage[usageKey{u.Partner, u.Month}] = &u
	}
	l.ready = true
	for _, h := range l.unreplayed {
		if h.offset > i.AsOf {
			l.applyEntries(h.offset, h.record)
		}
	}
	l.unreplayed = nil
}

// restorePlaced adds a placed or bound task of an image to its worker and to the
// resources in use by its team.
func (l *Ledger) restorePlaced(w *Worker, t *sched.TaskStatus) {
	if t.State == sched.TaskBound {
		w.Bound = w.Bound.Plus(t.Task.Needs)
		w.BoundTasks++
	} else {
		w.Committed = w.Committed.Plus(t.Task.Needs)
	}
	w.Tasks = append(w.Tasks, t)
	l.teamUse[t.Task.Team] = l.teamUse[t.Task.Team].Plus(t.Task.Needs)
}

// consistent reports whether every task of an image occurs once, in a state that
// fits its place, and the tasks on the workers are the placed and bound ones. A
// reader ignores any other image, since the replay of a later record could fail.
func consistent(i *sched.TaskImage) bool {
	tasks := make(map[sched.TaskID]sched.InstanceID, len(i.Tasks)+len(i.Ended))
	placed := 0
	for k := range i.Tasks {
		t := &i.Tasks[k]
		onWorker := t.State == sched.TaskPlaced || t.State == sched.TaskBound
		if _, twice := tasks[t.Task.ID]; twice || t.State < sched.TaskQueued || Final(t.State) ||
			onWorker != (t.Worker != "") {
			return false
		}
		tasks[t.Task.ID] = t.Worker
		if onWorker {
			placed++
		}
	}
	for k := range i.Ended {
		t := &i.Ended[k]
		if _, twice := tasks[t.Task.ID]; twice || !Final(t.State) {
			return false
		}
		tasks[t.Task.ID] = ""
	}
	workers := map[sched.InstanceID]bool{}
	listed := map[sched.TaskID]bool{}
	for k := range i.Workers {
		w := &i.Workers[k]
		if w.Worker == "" || workers[w.Worker] {
			return false
		}
		workers[w.Worker] = true
		for _, id := range w.Placed {
			if tasks[id] != w.Worker || listed[id] {
				return false
			}
			listed[id] = true
		}
	}
	return len(listed) == placed
}
