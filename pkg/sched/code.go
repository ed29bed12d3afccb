package sched

// Code is a result code of a request or a submission. docs/codes.md documents
// them.
type Code int

// Result codes. The hundreds digit gives the outcome: 1 is answered or
// accepted, 2 failed, 3 unknown, 4 refused and not run.
const (
	CodeAnswered          Code = 100
	CodeAccepted          Code = 101
	CodeAnsweredBefore    Code = 102
	CodeFailedByBackend   Code = 200
	CodeUnknown           Code = 300
	CodeUnknownInProgress Code = 301
	CodeAnswerNotKept     Code = 302
	CodeUnknownEarlier    Code = 303
	CodeBadRequest        Code = 400
	CodeUnknownService    Code = 401
	CodeUnknownPartner    Code = 402
	CodeIDMissing         Code = 403
	CodeIDTooOld          Code = 404
	CodeIDFromFuture      Code = 405
	CodeTooLarge          Code = 406
	CodeUnknownKind       Code = 407
	CodeNeverFits         Code = 408
	CodeUnknownTask       Code = 409
	CodeOverloaded        Code = 410
	CodeQuotaExceeded     Code = 411
	CodeDeadlineTooShort  Code = 412
	CodeNoBackend         Code = 413
	CodeDraining          Code = 414
	CodeNotReady          Code = 415
	CodeLogUnavailable    Code = 416
	CodeCrossRegionBudget Code = 417
	CodeTaskEnded         Code = 418
	CodeNoWorker          Code = 419
)

// CodeEntry is one row of the table of codes.
type CodeEntry struct {
	Code Code
	Name string
	// Status is the HTTP status that is sent with the code.
	Status  int
	Meaning string
}

// Codes returns the table of result codes in numeric order.
func Codes() []CodeEntry {
	return []CodeEntry{
		{CodeAnswered, "answered", 200, "The whole answer of this request (the backend server's own status is passed on)."},
		{CodeAccepted, "accepted", 202, "The task is recorded in the platform's log."},
		{CodeAnsweredBefore, "answeredBefore", 200, "The kept answer of an earlier send of the same unrepeatable id."},
		{CodeFailedByBackend, "failedByBackend", 502, "The backend server ran the request and answered with an error."},
		{CodeUnknown, "unknown", 504, "The request may have run."},
		{CodeUnknownInProgress, "unknownInProgress", 409, "The same unrepeatable id was sent before and has no recorded outcome."},
		{CodeAnswerNotKept, "answerNotKept", 409, "The same unrepeatable id was answered before, and its answer is not kept."},
		{CodeUnknownEarlier, "unknownEarlier", 503, "This send did not run, but an earlier send of the same id may have run."},
		{CodeBadRequest, "badRequest", 400, "The request is malformed; the message names the field."},
		{CodeUnknownService, "unknownService", 404, "The configuration in force has no such service."},
		{CodeUnknownPartner, "unknownPartner", 403, "The configuration in force has no such partner or team."},
		{CodeIDMissing, "idMissing", 400, "An unrepeatable request needs a request id (UUIDv7)."},
		{CodeIDTooOld, "idTooOld", 410, "The request id is older than dedupWindow."},
		{CodeIDFromFuture, "idFromFuture", 400, "The request id is further in the future than clockBound."},
		{CodeTooLarge, "tooLarge", 413, "The request body, or the job in it, is larger than allowed."},
		{CodeUnknownKind, "unknownKind", 404, "The configuration in force has no such task kind."},
		{CodeNeverFits, "neverFits", 422, "The task fits no worker; the message gives the largest fit."},
		{CodeUnknownTask, "unknownTask", 404, "No such task is known."},
		{CodeOverloaded, "overloaded", 503, "The queue or the share of this class is full."},
		{CodeQuotaExceeded, "quotaExceeded", 429, "The team's quota is used up."},
		{CodeDeadlineTooShort, "deadlineTooShort", 503, "The estimated wait is longer than the deadline."},
		{CodeNoBackend, "noBackend", 503, "No backend server of the service takes work."},
		{CodeDraining, "draining", 503, "The entry instance is shutting down."},
		{CodeNotReady, "notReady", 503, "The entry instance has no configuration yet."},
		{CodeLogUnavailable, "logUnavailable", 503, "The platform's log can't be reached, and this request needs it."},
		{CodeCrossRegionBudget, "crossRegionBudget", 503, "Only another region could serve it, and the byte budget is used up."},
		{CodeTaskEnded, "taskEnded", 409, "The task has already ended."},
		{CodeNoWorker, "noWorker", 503, "No worker that the job could be given to can run one of its steps."},
	}
}

// outcomes maps the hundreds digit of a code to its outcome.
var outcomes = map[Code]Outcome{
	1: OutcomeAnswered,
	2: OutcomeFailed,
	3: OutcomeUnknown,
	4: OutcomeRefusedNotRun,
}

// Outcome returns the outcome that the hundreds digit stands for, 0 if the code
// is outside the ranges above.
func (c Code) Outcome() Outcome { return outcomes[c/100] }
