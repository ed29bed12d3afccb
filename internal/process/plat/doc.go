// Package plat has the client of the platform over net/http: the log, the list
// of instances and the workers.
//
// The client reports ErrUnavailable only if a call certainly had no effect:
// no connection was obtained, or the platform refused it in so many words.
// Everything else that goes wrong after that is ErrUncertain.
package plat
