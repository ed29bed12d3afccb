// Package plat is the HTTP client of the platform: its log, its list of
// instances and the workers.
//
// An error wraps sched.ErrUnavailable only if the call had no effect: no
// connection was obtained, or the platform refused the call explicitly. Any
// other failure of a call that may have an effect wraps sched.ErrUncertain.
package plat
