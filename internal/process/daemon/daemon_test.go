package daemon_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/standin/logsvc"
)

// Guards against an instance that says it is ready, or serves, without a
// configuration, and against one that never recovers from a log outage at its
// start.
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
	status, _ = a.submit("t")
	i.Equal(status, 503)
	r.log.SetFaults(logsvc.Faults{})
	r.ready(a)
	status, _, body := a.call("one", false)
	i.Equal(status, 200)
	i.Equal(body, "run one")
}

// Guards against a request id that runs again when its repeat reaches another
// instance, and against a task that is accepted without a record.
func TestRequestsAndTasksOverTwoInstances(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.apply(rigConfig)
	a, b := r.start("a", 1), r.start("b", 1)
	r.ready(a)
	r.ready(b)
	id := newID()
	status, _, body := a.call(id, true)
	i.Equal(status, 200)
	i.Equal(body, "run "+id)
	status, header, body := b.call(id, true)
	i.Equal(status, 200)
	i.Equal(header.Get("Parsley-Code"), "102")
	i.Equal(body, "run "+id)
	i.Equal(r.backend.runs[id], 1)
	status, text := a.submit("t1")
	i.Equal(status, 202)
	i.True(strings.Contains(text, `"name":"accepted"`))
	r.until("task known", func() bool { s, _ := get("http://" + b.Callers.Addr().String() + "/tasks/t1"); return s == 200 })
}
