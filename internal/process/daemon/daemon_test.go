package daemon_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/process/daemon"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/logsvc"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against an instance that reports ready or serves requests without a
// configuration, and against one that does not recover after the log was
// unavailable when it started.
func TestLogOutageAtStartIsNotReadyWithReason(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.apply(rigConfig)
	r.log.SetFaults(logsvc.Faults{Outage: true})
	a := r.start("a", 1)
	r.until("log lost", func() bool { _, s := a.admin("/events"); return strings.Contains(s, "logLost") })
	status, reason := a.admin("/readyz")
	i.Equal(status, 503)
	i.True(strings.Contains(reason, "no configuration in force"))
	status, header, _ := a.call(newID(), false)
	i.Equal(status, 503)
	i.Equal(header.Get("Parsley-Outcome"), "refusedNotRun")
	status = a.submit("t")
	i.Equal(status, 503)
	r.log.SetFaults(logsvc.Faults{})
	r.ready(a)
	status, _, body := a.call("one", false)
	i.Equal(status, 200)
	i.Equal(body, "run one")
}

// Guards against a second run of an unrepeatable request whose retry reaches
// another instance, and against a task that is accepted without a record in the
// log, which the other instance could then not report.
func TestRequestsAndTasksOverTwoInstances(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.apply(rigConfig)
	a, b := r.start("a", 1), r.start("b", 1)
	r.claims(a)
	r.claims(b)
	id := newID()
	status, _, body := a.call(id, true)
	i.Equal(status, 200)
	i.Equal(body, "run "+id)
	// Until the outcome is in the log, the retry is answered with status 409.
	r.until("the kept answer", func() bool {
		status, header, body := b.call(id, true)
		i.True(status == 409 || status == 200 && header.Get("Parsley-Code") == "102" && body == "run "+id)
		return status == 200
	})
	i.Equal(r.backend.runs[id], 1)
	r.until("the task stream is read", func() bool { return a.submit("t1") == 202 })
	r.until("task known", func() bool {
		s, _ := get("http://" + b.CallerListener.Addr().String() + "/tasks/t1")
		return s == 200
	})
}

// Guards against accepted tasks that are lost, run twice or are started by two
// planners when an instance is killed and one with the same id and a newer
// incarnation replaces it.
func TestTasksRunOnceThroughKillAndReplacement(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.apply(rigConfig)
	a, b := r.start("a", 1), r.start("b", 1)
	r.ready(a)
	r.ready(b)
	r.until("the task stream is read", func() bool {
		return a.submit("first") == 202 && b.submit("first") == 202
	})
	accepted := []string{"first"}
	submit := func(x *instance, n int) {
		for range n {
			id := string(x.ID) + "-" + newID()
			if x.submit(id) == 202 {
				accepted = append(accepted, id)
			}
		}
	}
	submit(a, 3)
	submit(b, 3)
	r.until("a run", func() bool { return r.workers.Observer().Counts().Finished > 0 })
	a.Kill()
	a = r.start("a", 2)
	submit(b, 3)
	r.ready(a)
	submit(a, 3)
	i.True(len(accepted) >= 10) // the log was available throughout
	r.until("all runs", func() bool { return r.workers.Observer().Counts().Finished >= len(accepted) })
	c := r.workers.Observer().Counts()
	i.Equal(c.DoubleRuns+c.DoubleFinishes+c.DoubleResumes+c.DuplicateStarts+c.Overcommitted, 0)
	for _, id := range accepted {
		i.Equal(r.workers.Observer().Finished(sched.TaskID(id)), 1)
	}
}

// Guards against a merged time line that lacks a step of a task, or that shows
// the step once per instance because each instance replays the same record.
func TestTimelineShowsEachStepOfATaskOnce(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.apply(rigConfig)
	a, b := r.start("a", 1), r.start("b", 1)
	r.ready(a)
	r.ready(b)
	r.until("submitted", func() bool { return b.submit("t1") == 202 })
	r.until("ended", func() bool { _, s := a.admin("/timeline?task=t1"); return strings.Contains(s, "taskEnded") })
	_, s := b.admin("/timeline?task=t1")
	for _, kind := range []string{"accepted", "placed", "taskEnded"} {
		i.Equal(strings.Count(s, `"kind":"`+kind+`"`), 1)
	}
}

// Guards against a task that runs in two data centres because its submission is
// repeated at an instance of another one, and against a cancellation that only
// an instance of the task's own data centre accepts.
func TestSameTaskThroughTwoDataCentres(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.addWorker("worker2", "dc2")
	r.apply(strings.Replace(rigConfig, "[dc1]", "[dc1, dc2]", 1))
	a := r.start("a", 1)
	b := r.start("b", 1, func(d *daemon.Daemon) { d.DataCentre = "dc2" })
	r.ready(a)
	r.ready(b)
	ids := make([]string, 12)
	for n := range ids {
		ids[n] = newID()
		r.until("both take the task", func() bool { return a.submit(ids[n]) == 202 && b.submit(ids[n]) == 202 })
	}
	r.until("all runs", func() bool { return r.workers.Observer().Counts().Finished >= len(ids) })
	for _, id := range ids {
		i.Equal(r.workers.Observer().Finished(sched.TaskID(id)), 1)
		for _, x := range []*instance{a, b} {
			q, err := http.NewRequest(http.MethodDelete, "http://"+x.CallerListener.Addr().String()+"/tasks/"+id, nil)
			i.NoErr(err)
			answer, err := http.DefaultClient.Do(q)
			i.NoErr(err)
			// The cancellation is accepted, or the task has ended.
			i.True(answer.StatusCode == http.StatusAccepted || answer.StatusCode == http.StatusConflict)
			i.NoErr(answer.Body.Close())
		}
	}
}
