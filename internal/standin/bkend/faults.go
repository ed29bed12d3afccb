package bkend

import "time"

// Fault is what goes wrong with one request.
type Fault string

// Faults of requests.
const (
	// FaultSilentBefore leaves the connection silent for good, without running
	// the request. New connections work.
	FaultSilentBefore Fault = "silentBefore"
	// FaultSilentAfter runs the request and leaves the connection silent.
	FaultSilentAfter Fault = "silentAfter"
	// FaultTruncated sends half of the announced body and closes.
	FaultTruncated Fault = "truncated"
	// FaultLate sends the answer Faults.LateBy after the run.
	FaultLate Fault = "late"
	// FaultWrongID echoes the id of another request.
	FaultWrongID Fault = "wrongID"
	// FaultResetBefore closes the connection without running the request.
	FaultResetBefore Fault = "resetBefore"
	// FaultResetAfter runs the request and closes without an answer.
	FaultResetAfter Fault = "resetAfter"
	// FaultError runs the request and answers with status 500.
	FaultError Fault = "error"
)

// order fixes the order in which shares are drawn, so that a seed gives the
// same faults in every run.
var order = []Fault{
	FaultSilentBefore, FaultSilentAfter, FaultTruncated, FaultLate,
	FaultWrongID, FaultResetBefore, FaultResetAfter, FaultError,
}

// Faults says what goes wrong at one server.
type Faults struct {
	// Shares are the probabilities per request; their sum is at most 1.
	Shares map[Fault]float64 `json:"shares"`
	// Slow multiplies the service time; 0 means 1.
	Slow   float64       `json:"slow"`
	LateBy time.Duration `json:"lateByNanos"`
}
