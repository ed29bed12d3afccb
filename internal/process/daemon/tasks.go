package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/process/admin"
	"github.com/parsleybarrow/parsleybarrow/internal/request/proxy"
	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
	"github.com/parsleybarrow/parsleybarrow/pkg/rendez"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// maxTaskBody is the largest body of a submission, in bytes.
	maxTaskBody = 64 << 10
	// maxTaskID is the largest task id, in bytes. It is short because every
	// record about the task repeats it.
	maxTaskID = 128
	// submitTimeout bounds a submission, a cancellation or a declaration: the
	// append, and reading the stream back if the acknowledgement was lost.
	submitTimeout = 5 * time.Second
)

func (d *Daemon) callerHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle(proxy.PathPrefix, d.proxy)
	m.Handle("POST /tasks", limitBody(maxTaskBody, http.HandlerFunc(d.serveSubmit)))
	m.HandleFunc("GET /tasks/{id}", d.serveTask)
	m.HandleFunc("DELETE /tasks/{id}", d.serveCancel)
	return limitBodyTime(bodyTimeout, m)
}

// refusal is an error with the result code that the caller receives.
type refusal struct {
	code   sched.Code
	reason string
}

// Error implements error.
func (r *refusal) Error() string { return r.reason }

// refuse returns a *refusal with a formatted reason.
func refuse(code sched.Code, format string, args ...any) error {
	return &refusal{code, fmt.Sprintf(format, args...)}
}

// submissionResults holds, for each outcome of a submission, the value of the
// label result.
var submissionResults = map[sched.Outcome]string{
	sched.OutcomeAnswered:      "accepted",
	sched.OutcomeRefusedNotRun: "refused",
	sched.OutcomeUnknown:       "unknown",
}

func (d *Daemon) serveSubmit(w http.ResponseWriter, r *http.Request) {
	c, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	id, centre, err := d.submitTask(c, r)
	code := codeOf(err, sched.CodeAccepted)
	d.metrics.submissions[submissionResults[code.Outcome()]].Inc()
	d.answerTask(w, code, err, admin.TaskAnswer{Task: string(id), DataCentre: string(centre)})
}

// submitTask decodes and checks a submission, and has it recorded in the task
// stream of its data centre: by the planner for the own data centre, by a
// direct append for another.
func (d *Daemon) submitTask(c context.Context, r *http.Request) (sched.TaskID, sched.DataCentre, error) {
	var s admin.Submission
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return "", "", refuse(sched.CodeTooLarge, "the body is larger than %d bytes", large.Limit)
		}
		return "", "", refuse(sched.CodeBadRequest, "body: %v", err)
	}
	v := d.view.Load()
	t, err := d.newTask(v, s)
	if err != nil {
		return t.ID, "", err
	}
	centre, err := d.taskHome(v, t.ID, s.DataCentre)
	if err != nil {
		return t.ID, centre, err
	}
	if centre == d.DataCentre {
		return t.ID, centre, d.requestPlanner(c, func(n uint64) plan.Input { return plan.Submitted{Ticket: n, Task: t} })
	}
	return t.ID, centre, d.submit(c, centre, sched.TaskEntry{Kind: sched.EntryAccepted, Task: t})
}

// taskHome returns the data centre whose stream holds a task: the named one, or
// else one derived from the id. Deriving it sends a repeated submission to the
// same stream through any instance, which is needed because duplicate ids are
// detected only within one stream.
func (d *Daemon) taskHome(v *view, id sched.TaskID, named string) (sched.DataCentre, error) {
	if v.rules == nil {
		return "", refuse(sched.CodeNotReady, "%s", reasonNoConfig)
	}
	if named == "" {
		centre, _ := rendez.TaskKey(id).DataCentre(v.rules.AllDataCentres())
		if centre == "" {
			centre = d.DataCentre
		}
		return centre, nil
	}
	centre := sched.DataCentre(named)
	if centre != d.DataCentre && v.rules.Region(centre) == "" {
		return "", refuse(sched.CodeBadRequest, "dataCentre: %q is not in the configuration in force", named)
	}
	return centre, nil
}

// newTask returns the task that a submission describes, or a *refusal. Urgency,
// needs and, unless the submission names one, the run time come from the task
// kind.
func (d *Daemon) newTask(v *view, s admin.Submission) (sched.Task, error) {
	t := sched.Task{
		ID: sched.TaskID(s.ID), Kind: s.Kind, Partner: s.Partner, Team: s.Team, SubmittedAt: d.Clock.Now(),
	}
	switch {
	case v.leaving:
		return t, refuse(sched.CodeDraining, "%s", reasonDraining)
	case v.rules == nil:
		return t, refuse(sched.CodeNotReady, "%s", reasonNoConfig)
	case s.ID == "" || len(s.ID) > maxTaskID:
		return t, refuse(sched.CodeBadRequest, "id: must have 1 to %d bytes", maxTaskID)
	}
	kind, ok := v.rules.TaskKind(s.Kind)
	if !ok {
		return t, refuse(sched.CodeUnknownKind, "kind: %q is not in the configuration in force", s.Kind)
	}
	if _, ok := v.rules.Partner(s.Partner); !ok {
		return t, refuse(sched.CodeUnknownPartner, "partner: %q is not in the configuration in force", s.Partner)
	}
	if _, ok := v.rules.Team(s.Partner, s.Team); s.Team != "" && !ok {
		return t, refuse(sched.CodeUnknownPartner, "team: %q is no team of partner %q", s.Team, s.Partner)
	}
	t.Urgency, t.Needs, t.RunTime = kind.Urgency, kind.Needs, kind.RunTime
	if s.RunTime != "" {
		run, err := time.ParseDuration(s.RunTime)
		if err != nil || run <= 0 {
			return t, refuse(sched.CodeBadRequest, "runTime: %q is no positive duration such as 90s", s.RunTime)
		}
		t.RunTime = run
	}
	return t, nil
}

func (d *Daemon) serveTask(w http.ResponseWriter, r *http.Request) {
	c, cancel := context.WithTimeout(r.Context(), askTimeout)
	defer cancel()
	a, err := d.taskState(c, sched.TaskID(r.PathValue("id")))
	d.answerTask(w, codeOf(err, sched.CodeAnswered), err, a)
}

// taskStates holds the name of each task state in answers.
var taskStates = map[sched.TaskState]string{
	sched.TaskQueued:    "queued",
	sched.TaskPlaced:    "placed",
	sched.TaskBound:     "bound",
	sched.TaskDone:      "done",
	sched.TaskFailed:    "failed",
	sched.TaskCancelled: "canceled",
}

// taskState returns the state of a task of the own data centre.
func (d *Daemon) taskState(c context.Context, id sched.TaskID) (admin.TaskAnswer, error) {
	a := admin.TaskAnswer{Task: string(id)}
	known := false
	err := d.callControl(c, func(k *control) {
		var t *sched.TaskStatus
		if t, known = k.plan.ledger.Task(id); known {
			a.State, a.Attempt, a.Worker = taskStates[t.State], int(t.Attempt), string(t.Worker)
			a.Message = t.Reason
		}
	})
	if err != nil {
		return a, refuse(sched.CodeNotReady, "%v", err)
	}
	if known {
		return a, nil
	}
	home, err := d.taskHome(d.view.Load(), id, "")
	if err != nil {
		return a, err
	}
	return a, refuse(sched.CodeUnknownTask,
		"the data centre %s has no task %q; its home, if none was named, is %s", d.DataCentre, id, home)
}

func (d *Daemon) serveCancel(w http.ResponseWriter, r *http.Request) {
	c, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	id := sched.TaskID(r.PathValue("id"))
	centre, err := d.taskHome(d.view.Load(), id, r.URL.Query().Get("dataCentre"))
	switch {
	case err != nil:
	case centre == d.DataCentre:
		err = d.requestPlanner(c, func(n uint64) plan.Input { return plan.CancelRequested{Ticket: n, Task: id} })
	default:
		err = d.submit(c, centre, sched.TaskEntry{Kind: sched.EntryCancelled, TaskID: id})
	}
	a := admin.TaskAnswer{Task: string(id), DataCentre: string(centre)}
	d.answerTask(w, codeOf(err, sched.CodeAccepted), err, a)
}

// codeOf returns the result code for the error of a submission, a query or a
// cancellation; success is the code for nil.
func codeOf(err error, success sched.Code) sched.Code {
	var r *refusal
	switch {
	case err == nil:
		return success
	case errors.As(err, &r):
		return r.code
	case errors.Is(err, sched.ErrUnavailable):
		return sched.CodeLogUnavailable
	}
	return sched.CodeUnknown
}

// codeEntry returns the entry of a code in sched.Codes, or one with status 500
// for a code that is not listed.
func codeEntry(code sched.Code) sched.CodeEntry {
	for _, e := range sched.Codes() {
		if e.Code == code {
			return e
		}
	}
	return sched.CodeEntry{Code: code, Status: http.StatusInternalServerError}
}

// answerTask writes the answer to a submission, a query, a cancellation or a
// declaration, with the status of the code and the error as its message.
func (d *Daemon) answerTask(w http.ResponseWriter, code sched.Code, err error, a admin.TaskAnswer) {
	e := codeEntry(code)
	a.Code, a.Name = int(code), e.Name
	if err != nil {
		a.Message = err.Error()
	}
	w.Header().Set(sched.HeaderCode, strconv.Itoa(int(code)))
	w.Header().Set(sched.HeaderOutcome, outcomeNames[code.Outcome()])
	writeJSON(w, e.Status, a)
}
