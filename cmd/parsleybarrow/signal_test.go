package main

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	clientsPerTest = 8
	// inProgress is how long ago a request must have been written to count as in progress.
	// Without the store a cancel is answered shortly before the end of its three seconds.
	inProgress = 200 * time.Millisecond
	// graceTime is in seconds. It is so long that no drain ends by it on a busy machine.
	graceTime = 60
)

// stopWithRequests starts an instance and clients, and sends it the first signal while
// a request of each client waits for the store, which doesn't answer. The clients send
// no more requests then.
func stopWithRequests(t *testing.T, first os.Signal) (*instance, []*client) {
	t.Helper()
	x := newInstance(t, graceTime)
	x.start(t)
	if !x.awaitLine(t, "termBegan") {
		t.FailNow()
	}
	c, stop := context.WithCancel(t.Context())
	defer stop()
	clients := x.newClients(c, clientsPerTest)
	x.await(t, "answers", func() bool {
		return !slices.ContainsFunc(clients, func(k *client) bool { return k.answered.Load() == 0 })
	})
	x.store.held.Store(true)
	x.await(t, "requests in progress", func() bool {
		return !slices.ContainsFunc(clients, func(k *client) bool { return !k.waitsFor(inProgress) })
	})
	stop()
	_ = x.Process.Signal(first)
	x.awaitLine(t, "leaving")
	if t.Failed() {
		t.FailNow()
	}
	return x, clients
}

// repeat returns the signals n times.
func repeat(n int, s ...os.Signal) []os.Signal { return slices.Repeat(s, n) }

// Guards against a signal during the drain that ends the process and cuts the requests
// in it: SIGHUP did, since its handler was gone by then, and a repeated SIGTERM. Some of the
// requests are in progress at the first signal, others are sent during the drain.
func TestSignalsDuringTheDrainCutNoRequest(t *testing.T) {
	rows := []struct {
		name    string
		first   os.Signal
		signals []os.Signal
		gap     time.Duration
	}{
		{"a hang-up", syscall.SIGTERM, repeat(1, syscall.SIGHUP), 0},
		{"a second SIGTERM", syscall.SIGTERM, repeat(1, syscall.SIGTERM), 0},
		{"an interrupt after SIGTERM", syscall.SIGTERM, repeat(1, os.Interrupt), 0},
		{"SIGTERM and hang-ups after an interrupt", os.Interrupt, repeat(3, syscall.SIGTERM, syscall.SIGHUP), 10 * time.Millisecond},
		{"hang-ups in quick succession", syscall.SIGTERM, repeat(50, syscall.SIGHUP), 2 * time.Millisecond},
		{"signals until the end", syscall.SIGTERM, repeat(4000, syscall.SIGHUP, syscall.SIGTERM), time.Millisecond},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			i := is.New(t)
			x, clients := stopWithRequests(t, row.first)
			c, stop := context.WithTimeout(t.Context(), time.Second)
			defer stop()
			late := x.newClients(c, clientsPerTest)
			for _, s := range row.signals {
				if x.Process.Signal(s) != nil {
					break // it has ended
				}
				time.Sleep(row.gap)
			}
			for _, k := range clients {
				i.NoErr(<-k.ended)
			}
			for _, k := range late {
				// On a busy machine the instance may have ended before it took the request.
				if err := <-k.ended; !errors.Is(err, syscall.ECONNREFUSED) {
					i.NoErr(err)
				}
			}
			x.awaitEnd(t)
			i.Equal(x.ProcessState.String(), "exit status 0")
			i.True(x.out.count(`"msg":"stopped"`) == 1)
		})
	}
}

// Guards against a process that a second Ctrl-C doesn't end: an operator at a terminal
// has no other way to leave a drain.
func TestASecondInterruptEndsTheDrain(t *testing.T) {
	i := is.New(t)
	x, clients := stopWithRequests(t, os.Interrupt)
	i.NoErr(x.Process.Signal(os.Interrupt))
	x.awaitEnd(t)
	i.Equal(x.ProcessState.String(), "signal: interrupt")
	for _, k := range clients {
		i.True(<-k.ended != nil)
	}
}

// Guards against an import that delays the handling of signals: until package sigs is
// initialized, SIGTERM ends the process, and without cgo SIGHUP too. It can't come before
// os/signal.
func TestSignalsAreHandledBeforeOtherPackagesStart(t *testing.T) {
	i := is.New(t)
	x := exec.Command(program, "--help")
	x.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	out, err := x.CombinedOutput()
	i.NoErr(err)
	_, after, found := strings.Cut(string(out), "\ninit os/signal ")
	i.True(found)
	_, next, _ := strings.Cut(after, "\ninit ")
	i.True(strings.HasPrefix(next, "github.com/parsleybarrow/parsleybarrow/internal/process/sigs "))
}

// Guards against a signal between the start and the first request that ends the process
// (SIGHUP), or that is forgotten (SIGTERM). The settings are read from a pipe, which
// holds the process up before it has begun to serve.
func TestSignalsDuringTheStart(t *testing.T) {
	rows := []struct {
		name    string
		signals []os.Signal
		ends    bool
	}{
		{"hang-ups", repeat(3, syscall.SIGHUP), false},
		{"SIGTERM and a hang-up", []os.Signal{syscall.SIGTERM, syscall.SIGHUP}, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			i := is.New(t)
			x := newInstance(t, graceTime)
			text, err := os.ReadFile(x.settings)
			i.NoErr(err)
			i.NoErr(os.Remove(x.settings))
			i.NoErr(syscall.Mkfifo(x.settings, 0o600))
			x.start(t)
			pipe, err := os.OpenFile(x.settings, os.O_WRONLY, 0) // waits until the process reads
			i.NoErr(err)
			for _, s := range row.signals {
				i.NoErr(x.Process.Signal(s))
			}
			time.Sleep(50 * time.Millisecond) // a signal that ends the process has done so by then
			x.writeSettings(t, string(text))
			_, err = pipe.Write(text)
			i.NoErr(err)
			i.NoErr(pipe.Close())
			if row.ends {
				x.awaitEnd(t)
				i.Equal(x.ProcessState.String(), "exit status 0")
				return
			}
			if x.awaitLine(t, "termBegan") {
				x.awaitLine(t, "reloaded")
			}
		})
	}
}

// Guards against a hang-up that ends a command that isn't a service otherwise than
// SIGTERM does, or in spite of nohup.
func TestAHangupEndsOtherCommandsInOrder(t *testing.T) {
	rows := []struct {
		name  string
		nohup bool
	}{{"from a terminal", false}, {"with nohup", true}}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			i := is.New(t)
			arguments := []string{program, "standin", "--workers", "1", "--admin", newAddress() + ":7899"}
			if row.nohup {
				arguments = append([]string{"nohup"}, arguments...)
			}
			x := start(t, exec.Command(arguments[0], arguments[1:]...))
			lines := func(n int) func() bool { return func() bool { return x.out.count("\n") == n } }
			if !x.await(t, "addresses", lines(1)) {
				return
			}
			i.NoErr(x.Process.Signal(syscall.SIGHUP))
			if row.nohup {
				time.Sleep(50 * time.Millisecond)
				i.True(lines(1)()) // it goes on
				i.NoErr(x.Process.Signal(syscall.SIGTERM))
			}
			x.awaitEnd(t)
			i.Equal(x.ProcessState.String(), "exit status 0")
			i.True(lines(2)()) // the addresses and the totals
		})
	}
}

// Guards against a signal that ends an instance off the users' platform: a hang-up
// while it serves, and any signal but a second interrupt while it drains.
func TestSignalsToAServingDaemon(t *testing.T) {
	i := is.New(t)
	address := newAddress()
	platform := start(t, exec.Command(program, "standin", "--workers", "1", "--admin", address+":7899"))
	platform.await(t, "addresses", func() bool { return platform.out.count("\n") == 1 })
	_, log, _ := strings.Cut(platform.out.String(), `"quezon-a":"`)
	log, _, _ = strings.Cut(log, `"`)
	x := start(t, exec.Command(program, "serve", "--id", "entry-1", "--region", "luzon", "--data-centre", "quezon-a",
		"--callers", address+":7701", "--peers", address+":7702", "--admin", address+":7703",
		"--log-url", log, "--list-url", log, "--drain-delay", "300ms"))
	x.awaitLine(t, "started")
	i.NoErr(x.Process.Signal(syscall.SIGHUP))
	x.await(t, "a log line of the signal", func() bool { return x.out.count(`"signal":"hangup"`) == 1 })
	for _, s := range []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt} {
		_ = x.Process.Signal(s) // fails if it has ended
		time.Sleep(20 * time.Millisecond)
	}
	x.awaitEnd(t)
	i.Equal(x.ProcessState.String(), "exit status 0")
}

// Guards against an instance that SIGPIPE ends, with the requests in it, because the
// reader of its log has gone.
func TestAnInstanceOutlivesTheReaderOfItsLog(t *testing.T) {
	i := is.New(t)
	x := newInstance(t, graceTime)
	c, stop := context.WithCancel(t.Context())
	defer stop()
	reader, writer, err := os.Pipe()
	i.NoErr(err)
	i.NoErr(reader.Close())
	x.output = writer
	x.start(t)
	i.NoErr(writer.Close())
	dropped := func() bool { return x.metric("parsleybarrow_log_lines_dropped_total") > 0 }
	x.await(t, "log lines that can't be written", dropped)
	clients := x.newClients(c, 1)
	x.await(t, "answers", func() bool { return clients[0].answered.Load() > 0 })
	stop()
	i.NoErr(<-clients[0].ended)
	i.NoErr(x.Process.Signal(syscall.SIGTERM))
	x.awaitEnd(t)
	i.Equal(x.ProcessState.String(), "exit status 0")
}
