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
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// maxTaskBody bounds a submission in bytes.
	maxTaskBody = 64 << 10
	// maxTaskID bounds a task id in bytes, as every record about it repeats it.
	maxTaskID = 128
	// submitTime bounds a submission: an append, and reading back what became
	// of it if the acknowledgement was lost.
	submitTime = 5 * time.Second
)

func (d *Daemon) callerHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle(proxy.PathPrefix, d.proxy)
	m.Handle("POST /tasks", limitBody(maxTaskBody, http.HandlerFunc(d.serveSubmit)))
	m.HandleFunc("GET /tasks/{id}", d.serveTask)
	m.HandleFunc("DELETE /tasks/{id}", d.serveCancel)
	return limitBodyTime(bodyTime, m)
}

// refusal is a result code with the reason.
type refusal struct {
	code   sched.Code
	reason string
}

// Error implements error.
func (r *refusal) Error() string { return r.reason }

func refuse(code sched.Code, format string, args ...any) error {
	return &refusal{code, fmt.Sprintf(format, args...)}
}

// submissionResults are the label values that go with outcomes.
var submissionResults = map[sched.Outcome]string{
	sched.OutcomeAnswered:      "accepted",
	sched.OutcomeRefusedNotRun: "refused",
	sched.OutcomeUnknown:       "unknown",
}

func (d *Daemon) serveSubmit(w http.ResponseWriter, r *http.Request) {
	c, cancel := context.WithTimeout(r.Context(), submitTime)
	defer cancel()
	id, err := d.submitTask(c, r)
	code := codeOf(err, sched.CodeAccepted)
	d.meters.submissions[submissionResults[code.Outcome()]].Inc()
	d.answerTask(w, code, err, admin.TaskAnswer{Task: string(id)})
}

// submitTask checks a submission and appends it.
func (d *Daemon) submitTask(c context.Context, r *http.Request) (sched.TaskID, error) {
	var s admin.Submission
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return "", refuse(sched.CodeTooLarge, "the body is larger than %d bytes", large.Limit)
		}
		return "", refuse(sched.CodeBadRequest, "body: %v", err)
	}
	v := d.view.Load()
	t, err := d.task(v, s)
	if err != nil {
		return t.ID, err
	}
	centre := sched.DataCentre(s.DataCentre)
	if centre == "" {
		centre = d.DataCentre
	}
	if centre != d.DataCentre && v.rules.Region(centre) == "" {
		return t.ID, refuse(sched.CodeBadRequest, "dataCentre: %q is not in the configuration in force", s.DataCentre)
	}
	if centre == d.DataCentre {
		return t.ID, d.request(c, func(n uint64) plan.Input { return plan.Submitted{Ticket: n, Task: t} })
	}
	return t.ID, d.submit(c, centre, sched.TaskEntry{Kind: sched.EntryAccepted, Task: t})
}

// task builds the task that a submission declares.
func (d *Daemon) task(v *view, s admin.Submission) (sched.Task, error) {
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
	c, cancel := context.WithTimeout(r.Context(), askTime)
	defer cancel()
	a, err := d.taskState(c, sched.TaskID(r.PathValue("id")))
	d.answerTask(w, codeOf(err, sched.CodeAnswered), err, a)
}

// taskStates are the names of task states in answers.
var taskStates = map[sched.TaskState]string{
	sched.TaskQueued:    "queued",
	sched.TaskPlaced:    "placed",
	sched.TaskBound:     "bound",
	sched.TaskDone:      "done",
	sched.TaskFailed:    "failed",
	sched.TaskCancelled: "canceled",
}

func (d *Daemon) taskState(c context.Context, id sched.TaskID) (admin.TaskAnswer, error) {
	a := admin.TaskAnswer{Task: string(id)}
	known := false
	err := d.ask(c, func(k *control) {
		var t *sched.TaskStatus
		if t, known = k.plan.ledger.Task(id); known {
			a.State, a.Attempt, a.Worker = taskStates[t.State], int(t.Attempt), string(t.Worker)
			a.Message = t.Reason
		}
	})
	if err != nil {
		return a, refuse(sched.CodeNotReady, "%v", err)
	}
	if !known {
		return a, refuse(sched.CodeUnknownTask, "the data centre %s has no task %q", d.DataCentre, id)
	}
	return a, nil
}

func (d *Daemon) serveCancel(w http.ResponseWriter, r *http.Request) {
	c, cancel := context.WithTimeout(r.Context(), submitTime)
	defer cancel()
	id := sched.TaskID(r.PathValue("id"))
	a := admin.TaskAnswer{Task: string(id)}
	err := d.request(c, func(n uint64) plan.Input { return plan.CancelRequested{Ticket: n, Task: id} })
	d.answerTask(w, codeOf(err, sched.CodeAccepted), err, a)
}

// codeOf returns the code of a submission's error.
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

// entryOf is the row of the table of codes.
func entryOf(code sched.Code) sched.CodeEntry {
	for _, e := range sched.Codes() {
		if e.Code == code {
			return e
		}
	}
	return sched.CodeEntry{Code: code, Status: http.StatusInternalServerError}
}

func (d *Daemon) answerTask(w http.ResponseWriter, code sched.Code, err error, a admin.TaskAnswer) {
	e := entryOf(code)
	a.Code, a.Name = int(code), e.Name
	if err != nil {
		a.Message = err.Error()
	}
	w.Header().Set(sched.HeaderCode, strconv.Itoa(int(code)))
	w.Header().Set(sched.HeaderOutcome, outcomeNames[code.Outcome()])
	writeJSON(w, e.Status, a)
}
