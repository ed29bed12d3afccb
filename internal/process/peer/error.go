package peer

import (
	"errors"
	"fmt"
)

// errNoConfig is the answer of an instance that has no configuration yet.
var errNoConfig = errors.New("no configuration in force")

// CallError reports a failed call to a peer.
type CallError struct {
	// Address is the host:port of the peer.
	Address string
	// Call is exchange, fetchConfig or events.
	Call string
	Err  error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("peer %s: %s: %v", e.Address, e.Call, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

func callError(address, call string, err error) error {
	return &CallError{Address: address, Call: call, Err: err}
}
