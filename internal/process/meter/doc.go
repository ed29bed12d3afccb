// Package meter holds the metrics of an entry instance. It counts and times
// calls by wrapping the interfaces of the store, the workers and the callers'
// desk.
package meter
