package cell

import (
	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/jobs"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/share"
)

// restore adds a job that an earlier planner has recorded.
func (p *Planner) restore(r *jobs.Job) {
	j := &job{Job: r, durableState: r.State, started: r.State != sched.JobPending, stepLoads: map[int]*share.Load{}}
	p.jobs[r.ID] = j
	p.noteAdvised(j)
	if r.State.Final() {
		p.finalJobs = append(p.finalJobs, j)
	}
	if _, timed := r.NextDue(); timed {
		p.scheduledJobs[r.ID] = j
	}
	if r.State == sched.JobPending && r.Schedule.Times == 0 {
		p.pendingByQueue[r.Queue.Name]++
	}
	for _, o := range r.Occurrences {
		for s := range o.Steps {
			p.restoreStep(j, o, s)
		}
	}
}

// restoreStep puts the runs that a step's tasks may still have on their workers
// as unsure, and queues the tasks of an open step that have none.
func (p *Planner) restoreStep(j *job, o *jobs.Occurrence, s int) {
	for k := range o.Steps[s].Tasks {
		t := &o.Steps[s].Tasks[k]
		for _, r := range t.Runs {
			h := p.worker(r.Worker)
			key := hosts.Key{Task: sched.TaskRef{Job: j.ID, Occurrence: o.Number, Step: s, Index: k}, Run: r.Number}
			slot := j.newSlot(key)
			slot.Phase, slot.Pace, slot.Incarnation = hosts.Unsure, unknownPace, r.Incarnation
			slot.PlacedAt = r.PlacedAt
			h.Add(slot)
		}
		if o.Steps[s].Open && !t.Done && len(t.Runs) == 0 && !j.State.Final() {
			p.enqueue(j, o, s, k)
		}
	}
}
