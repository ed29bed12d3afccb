// Package daemon implements the entry instance by connecting its components.
// One actor, the control actor, owns the control state: configuration,
// membership, responsibilities, quotas, tasks. Other goroutines read the
// streams, exchange heartbeats, poll the list, call workers and append records,
// and post the results to the actor. The request path reads immutable views
// through an atomic pointer and never waits for the actor.
package daemon
