//go:build !cgo

package sigs

import (
	"os/signal"
	"syscall"
)

// hangupIgnoredAtStart reports whether the process was started with SIGHUP ignored.
// Without cgo a SIGHUP ends the process until listen has run.
func hangupIgnoredAtStart() bool { return signal.Ignored(syscall.SIGHUP) }
