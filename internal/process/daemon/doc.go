// Package daemon is the entry instance: it puts the coordination components
// together. One actor owns the control state (configuration, membership,
// responsibilities, quotas, tasks). Goroutines follow the streams, exchange
// heartbeats, poll the list, call workers and append records, and post what
// they learn to the actor. Traffic reads immutable snapshots through an atomic
// pointer and never waits for the actor.
package daemon
