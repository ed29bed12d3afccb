package sched

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Headers of requests and answers.
const (
	HeaderRequestID    = "Parsley-Request-Id"
	HeaderPartner      = "Parsley-Partner"
	HeaderTeam         = "Parsley-Team"
	HeaderUnrepeatable = "Parsley-Unrepeatable"
	// HeaderRepeat is "true" on a send of an unrepeatable id that was sent
	// before and not refused as not run. A refusal then says "not run" only if
	// no earlier send ran.
	HeaderRepeat = "Parsley-Repeat"
	// HeaderDeadline is the caller's deadline in milliseconds from now.
	HeaderDeadline = "Parsley-Deadline-Millis"
	HeaderOutcome  = "Parsley-Outcome"
	HeaderCode     = "Parsley-Code"
	// HeaderNotRun is set by a backend server that refused before running.
	HeaderNotRun = "Parsley-Not-Run"
	// HeaderLeaving is set by a backend server that takes no new work.
	HeaderLeaving = "Parsley-Leaving"
	// HeaderFreeSlots is set by a backend server: free slots after this
	// answer.
	HeaderFreeSlots = "Parsley-Free-Slots"
	// HeaderAttempt numbers the sends of one request, from 1.
	HeaderAttempt = "Parsley-Attempt"
)

// Request is one request of a caller.
type Request struct {
	ID           string
	Service      string
	Partner      string
	Team         string
	Urgency      Urgency
	Unrepeatable bool
	Deadline     time.Time
	Method       string
	// Path is the part after /services/<service>, with the query.
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is a complete answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest follows Body in an answer that is larger than the answer buffer, nil
	// if Body is whole. Reading it fails if the answer is cut short. It must be
	// closed.
	Rest io.ReadCloser
}

// Outcome is how a request ended.
type Outcome int

// Outcomes of requests.
const (
	OutcomeAnswered Outcome = iota + 1
	OutcomeRefusedNotRun
	OutcomeFailed
	OutcomeUnknown
)

// SendResult is how one send to one backend server ended.
type SendResult struct {
	Outcome Outcome
	Answer  Answer
	// Leaving is set if the backend server said that it is leaving.
	Leaving bool
	// FreeSlots is -1 if the backend server did not say.
	FreeSlots int
	// Silent is set if the connection made no progress and was discarded.
	Silent bool
	Err    error
}

// ErrUnreachable reports that no connection to the backend server could be
// opened, so the request did not run.
var ErrUnreachable = errors.New("backend server can't be reached")

// Sender sends one request to one backend server, once.
type Sender interface {
	// Send returns OutcomeRefusedNotRun only if it is certain that the request
	// did not run. The attempt number is passed on in HeaderAttempt.
	Send(c context.Context, to Member, r Request, attempt int) SendResult
}
