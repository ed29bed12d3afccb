package budget

import "time"

// RefusedError reports a request that was refused before anything was done for it.
type RefusedError struct {
	// Slow is set if the client sent its body too slowly, otherwise the memory or the
	// connections are used up.
	Slow bool
	// RetryAfter is the time after which the client may try again, 0 if there is none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Slow {
		return "the body arrived too slowly"
	}
	return "the resources for requests are used up"
}
