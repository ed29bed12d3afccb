package bkend

import "time"

// Fault is a kind of failure that a server applies to one request. The empty
// Fault stands for none.
type Fault string

// Values of Fault.
const (
	// FaultSilentBefore sends no answer until the caller closes the connection,
	// and doesn't run the request. Other connections aren't affected.
	FaultSilentBefore Fault = "silentBefore"
	// FaultSilentAfter runs the request and sends no answer until the caller
	// closes the connection.
	FaultSilentAfter Fault = "silentAfter"
	// FaultTruncated runs the request, sends half of the body that
	// Content-Length announces, and closes the connection.
	FaultTruncated Fault = "truncated"
	// FaultLate runs the request and sends the answer Faults.LateBy later.
	FaultLate Fault = "late"
	// FaultWrongID runs the request and answers with a request id other than
	// that of the request.
	FaultWrongID Fault = "wrongID"
	// FaultResetBefore closes the connection without running the request.
	FaultResetBefore Fault = "resetBefore"
	// FaultResetAfter runs the request and closes the connection without an
	// answer.
	FaultResetAfter Fault = "resetAfter"
	// FaultError runs the request and answers with status 500.
	FaultError Fault = "error"
)

// faultOrder is the order in which the shares of Faults are compared with a
// random number. It is fixed because the order of a map differs from run to run,
// and a seed must give the same faults each time.
var faultOrder = []Fault{
	FaultSilentBefore, FaultSilentAfter, FaultTruncated, FaultLate,
	FaultWrongID, FaultResetBefore, FaultResetAfter, FaultError,
}

// Faults configures the failures of one server.
type Faults struct {
	// Shares holds the probability of each fault per request; their sum is at
	// most 1.
	Shares map[Fault]float64 `json:"shares"`
	// Slow multiplies the service time; 0 means 1.
	Slow float64 `json:"slow"`
	// LateBy is the delay of an answer under FaultLate.
	LateBy time.Duration `json:"lateByNanos"`
}
