package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against an explanation that names another worker than the one that gets the task,
// that changes what is placed, or that is made again and again.
func TestAnExplanationTellsWhereATaskGoesAndChangesNothing(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.listFirst(3)
	j := job("a", step())
	before := r.planner.Stats()
	e, known := r.planner.Explain(r.now, "a", &j)
	i.True(known)
	i.Equal(e.State, sched.JobState(0))
	i.Equal(len(e.Steps), 1)
	i.Equal(e.Steps[0].Waiting, 1)
	i.Equal(len(e.Steps[0].Workers), 3)
	_, known = r.planner.Explain(r.now, "a", &j)
	i.True(!known) // too soon
	r.commit()
	i.Equal(r.planner.Stats(), before)
	i.Equal(len(r.records), 0)
	i.Equal(len(r.starts()), 0)

	r.submit(j)
	r.pass(20 * time.Millisecond)
	r.commit()
	s := r.starts()
	i.Equal(len(s), 1)
	i.Equal(e.Steps[0].Workers[0].ID, s[0].Worker.ID)
	r.start(s[0], nil)
	r.pass(time.Second)
	e, known = r.planner.Explain(r.now, "a", nil)
	i.True(known)
	i.Equal(e.Steps[0].Workers[0], cell.ExplainedWorker{
		ID: s[0].Worker.ID, Role: "runs", Free: sched.Resources{Processors: 15000, Memory: 63 << 30},
	})
	r.pass(time.Second)
	_, known = r.planner.Explain(r.now, "none", nil)
	i.True(!known)
}

// Guards against an explanation that gives no reason, or a wrong one, for a task that waits.
func TestAnExplanationTellsWhyATaskWaits(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.lookAhead()
	leaving := worker(2)
	leaving.Draining = true
	r.list(worker(1), leaving)
	s := step()
	s.Needs.Processors = 12000
	r.submit(job("first", s))
	r.commit()
	r.start(r.starts()[0], nil)
	s.Needs.Processors, s.Lasting = 8000, true
	r.submit(job("last", s))
	for range 20 {
		r.pass(20 * time.Millisecond)
		r.commit()
	}
	e, known := r.planner.Explain(r.now, "last", nil)
	i.True(known)
	x := e.Steps[0]
	i.Equal(x.Obstacles["unusable"], 1)
	i.Equal(x.Obstacles["full"], 1)
	i.Equal(len(x.Workers), 1)
	i.Equal(x.Workers[0].Role, "held")
	r.pass(time.Second)
	s.Needs.Processors = 17000
	j := job("huge", s)
	e, known = r.planner.Explain(r.now, "huge", &j)
	i.True(known)
	i.Equal(e.Steps[0].Obstacles["tooSmall"], 2)
}
