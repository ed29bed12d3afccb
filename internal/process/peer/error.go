package peer

import (
	"errors"
	"fmt"
)

// errNoConfig is what an instance without a configuration answers.
var errNoConfig = errors.New("no configuration in force")

// CallError reports a failed call to a peer.
type CallError struct {
	Address string
	Call    string
	Err     error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("peer %s: %s: %v", e.Address, e.Call, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

func callError(address, call string, err error) error {
	return &CallError{Address: address, Call: call, Err: err}
}
