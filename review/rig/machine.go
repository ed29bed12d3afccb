package main

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/parsleybarrow/parsleybarrow/review/platform"
)

const (
	// program and role are those of the deploy file. The program starts in the root of the
	// repository.
	program = "target/parsleybarrow"
	role    = "entry"
	// restartDelay is how long after its end a process is started again.
	restartDelay = 300 * time.Millisecond
	readyTime    = 900 * time.Millisecond
	// A machine gets no new channels after missesOut readiness checks without success.
	checkInterval = time.Second
	missesOut     = 2
)

// machine is a machine with its process, which the platform starts again when it ends.
type machine struct {
	record    *record
	misses    atomic.Int64 // readiness checks without success since the last one
	settings  platform.Machine
	path, log string

	mu      sync.Mutex
	process *os.Process // nil while there is none
	over    bool
	ended   chan struct{}
}

func (m *machine) writeSettings() error {
	return os.WriteFile(m.path, []byte(m.settings.Settings()), 0o600)
}

// keepRunning starts the process, and again whenever it ends.
func (m *machine) keepRunning(c context.Context) {
	m.ended = make(chan struct{})
	go func() {
		defer close(m.ended)
		for c.Err() == nil {
			x, err := m.launch()
			if err != nil {
				m.record.logf("%s: %v", m.settings.Name, err)
				return
			}
			if x == nil {
				return
			}
			err = x.Wait()
			m.mu.Lock()
			m.process = nil
			over := m.over
			m.mu.Unlock()
			m.record.logf("%s: process has ended: %v", m.settings.Name, err)
			if over {
				return
			}
			time.Sleep(restartDelay)
		}
	}()
}

// launch starts a process, unless the machine is to end.
func (m *machine) launch() (*exec.Cmd, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.over {
		return nil, nil
	}
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	x := exec.Command(program, role)
	x.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PARSLEYBARROW_BOOT=" + m.path}
	x.Stdout, x.Stderr = out, out
	if err := x.Start(); err != nil {
		return nil, err
	}
	m.process = x.Process
	m.record.logf("%s: process %d has started", m.settings.Name, x.Process.Pid)
	return x, nil
}

// signal sends a signal to the process, if there is one.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		m.record.logf("%s: signal %v to process %d", m.settings.Name, s, m.process.Pid)
		_ = m.process.Signal(s)
	}
}

// end kills the process for good.
func (m *machine) end() {
	m.mu.Lock()
	m.over = true
	if m.process != nil {
		_ = m.process.Kill()
	}
	m.mu.Unlock()
	if m.ended != nil {
		<-m.ended
	}
}

// ready makes a readiness check as the platform does.
func (m *machine) ready() bool {
	h := &http.Client{Timeout: readyTime, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := h.Get("http://" + m.settings.Ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// checkReadiness makes the readiness checks of the platform until the context ends.
func (m *machine) checkReadiness(c context.Context) {
	for c.Err() == nil {
		if m.ready() {
			m.misses.Store(0)
		} else {
			m.misses.Add(1)
		}
		time.Sleep(checkInterval)
	}
}
