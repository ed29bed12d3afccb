package sigs

import (
	"os"
	"os/signal"
	"syscall"
)

// queuedStops is the number of SIGTERMs and SIGINTs that may wait to be handled. One
// waiting SIGHUP is enough, since it only says that something has changed.
const queuedStops = 16

// process is a variable of a package that imports little, since such packages are
// initialized first: until then the default action of a signal ends the process.
var process = listen()

type signals struct {
	stops, hangups chan os.Signal
	hangupIgnored  bool
}

func listen() signals {
	s := signals{make(chan os.Signal, queuedStops), make(chan os.Signal, 1), hangupIgnoredAtStart()}
	signal.Notify(s.stops, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.hangups, syscall.SIGHUP)
	return s
}

// Stops returns the channel that passes on the SIGTERMs and SIGINTs of the process. Their
// default action, which ends a process at once, doesn't apply.
func Stops() <-chan os.Signal { return process.stops }

// Hangups returns the channel that passes on SIGHUP, whose default action doesn't apply
// either.
func Hangups() <-chan os.Signal { return process.hangups }

// HangupIgnored reports whether the process was started with SIGHUP ignored, as nohup
// does.
func HangupIgnored() bool { return process.hangupIgnored }
