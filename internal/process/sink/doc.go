// Package sink writes log lines in the background, so that a slow or blocked reader
// of the log never blocks the process.
package sink
