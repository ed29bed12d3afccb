package sched

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// HTTP headers of requests and answers.
const (
	HeaderRequestID    = "Parsley-Request-Id"
	HeaderPartner      = "Parsley-Partner"
	HeaderTeam         = "Parsley-Team"
	HeaderUnrepeatable = "Parsley-Unrepeatable"
	// HeaderRepeat is "true" if the same unrepeatable id was sent before and that
	// send was not refused as not run. The answer is then a "not run" refusal
	// only if no earlier send ran either.
	HeaderRepeat = "Parsley-Repeat"
	// HeaderDeadline is the time until the caller's deadline, in milliseconds.
	HeaderDeadline = "Parsley-Deadline-Millis"
	HeaderOutcome  = "Parsley-Outcome"
	HeaderCode     = "Parsley-Code"
	// HeaderNotRun is set by a backend server that refused a request without
	// running it.
	HeaderNotRun = "Parsley-Not-Run"
	// HeaderLeaving is set by a backend server that drains and takes no new
	// requests.
	HeaderLeaving = "Parsley-Leaving"
	// HeaderFreeSlots is set by a backend server to the number of its free
	// slots after this answer.
	HeaderFreeSlots = "Parsley-Free-Slots"
	// HeaderAttempt numbers the sends of one request, from 1.
	HeaderAttempt = "Parsley-Attempt"
)

// Request is one request of a caller to a service.
type Request struct {
	ID      string
	Service string
	Partner string
	Team    string
	Urgency Urgency
	// Unrepeatable is set if the request must run at most once, even if it is
	// sent several times under the same ID.
	Unrepeatable bool
	Deadline     time.Time
	Method       string
	// Path is the part of the URL after /services/<service>, with the query.
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is the answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest streams the part of the body that follows Body if the answer is larger
	// than the answer buffer, nil if Body is complete. Reading it fails if the
	// connection ends before the answer does. The receiver must close it.
	Rest io.ReadCloser
}

// Outcome classifies the result of a request.
type Outcome int

// Outcomes of requests.
const (
	OutcomeAnswered Outcome = iota + 1
	// OutcomeRefusedNotRun guarantees that the request did not run.
	OutcomeRefusedNotRun
	// OutcomeFailed: the backend server ran the request and returned an error.
	OutcomeFailed
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown
)

// SendResult is the result of one send to one backend server.
type SendResult struct {
	Outcome Outcome
	Answer  Answer
	// Leaving is set if the answer carried HeaderLeaving.
	Leaving bool
	// FreeSlots is the value of HeaderFreeSlots, -1 if the answer had none.
	FreeSlots int
	// Stalled is set if the connection made no progress while others to the same
	// backend server did, and was discarded.
	Stalled bool
	Err     error
}

// ErrUnreachable reports that no connection to the backend server could be
// opened. The request did not run.
var ErrUnreachable = errors.New("backend server can't be reached")

// Sender sends requests to backend servers.
type Sender interface {
	// Send sends the request once, without retries. It returns
	// OutcomeRefusedNotRun only if the request certainly did not run. attempt is
	// sent as HeaderAttempt.
	Send(c context.Context, to Member, r Request, attempt int) SendResult
}
