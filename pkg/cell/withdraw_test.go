package cell_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// withdrawing is a rig whose planner asks whether callers have withdrawn their jobs, and
// the set of those. The tickets that it asks about are added to asked unless that is nil.
func withdrawing(t *testing.T, asked map[cell.Ticket]bool) (*rig, map[cell.Ticket]bool) {
	t.Helper()
	withdrawn := map[cell.Ticket]bool{}
	r := newRig(t)
	r.commitTicket = func(k cell.Ticket) bool {
		if asked != nil {
			asked[k] = true
		}
		return !withdrawn[k]
	}
	r.succeed(nil, 1)
	r.list(worker(1))
	return r, withdrawn
}

// Guards against a job that runs though its caller was told that it isn't accepted, and
// against one that is dropped once its record is on its way.
func TestAWithdrawnJobIsNeverRecorded(t *testing.T) {
	i := is.New(t)
	r, withdrawn := withdrawing(t, nil)
	first := r.submit(job("a", step()))
	r.settle()
	i.True(r.flight)
	withdrawn[first] = true // too late: the caller isn't told so any more
	second := r.submit(job("b", step()))
	withdrawn[second] = true
	r.commit()
	i.Equal(r.replies[first].Code, sched.CodeAccepted)
	i.True(r.replies[second].Code.Outcome() == sched.OutcomeRefusedNotRun)
	s, sure := r.planner.State(r.now, "b")
	i.True(sure)
	i.Equal(s, sched.JobState(0))
	i.Equal(len(r.records["job/b"]), 0)
	r.pass(time.Second)
	r.commit()
	for _, s := range r.starts() {
		i.Equal(s.Order.Task.Job, sched.JobID("a"))
	}
	n, _ := r.planner.Pending(r.now)
	i.True(n[job("b", step()).Queue.Name] <= 1)
}

// Guards against a job that comes again after its withdrawal and is taken for the withdrawn
// one, and against one whose second submission was accepted and that is withdrawn with the
// first.
func TestAWithdrawnJobThatComesAgainIsANewOne(t *testing.T) {
	i := is.New(t)
	asked := map[cell.Ticket]bool{}
	r, withdrawn := withdrawing(t, asked)
	r.submit(job("z", step()))
	r.settle() // further jobs wait for the next batch
	first := r.submit(job("a", step()))
	withdrawn[first] = true
	again := job("a", step())
	again.Payload = "again"
	second := r.submit(again)
	third := r.submit(job("a", step())) // joins the second, which can't be withdrawn any more
	i.True(asked[third])                // nor can the third be told that the job isn't accepted
	withdrawn[second], withdrawn[third] = true, true
	r.commit()
	i.True(r.replies[first].Code.Outcome() == sched.OutcomeRefusedNotRun)
	i.Equal(r.replies[second].Code, sched.CodeAccepted)
	i.Equal(r.replies[third].Code, sched.CodeAccepted)
	i.True(strings.Contains(string(r.records["job/a"]), "again")) // not the withdrawn one
}

// Guards against a cancel that finds a withdrawn job and records it as cancelled.
func TestACancelDoesNotFindAWithdrawnJob(t *testing.T) {
	i := is.New(t)
	r, withdrawn := withdrawing(t, nil)
	r.submit(job("z", step()))
	r.settle()
	withdrawn[r.submit(job("a", step()))] = true
	r.planner.Cancel(r.now, 1000, "a")
	r.commit()
	i.Equal(r.replies[1000].Code, sched.CodeUnknownTask)
	i.Equal(len(r.records["run/a"]), 0)
}
