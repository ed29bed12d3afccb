package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/parsleybarrow/parsleybarrow/review/platform"
)

// budget is a client's time budget for one request.
const budget = 3 * time.Second

// answer is what a client saw of a request.
type answer struct {
	status int
	body   string
	// sent is when the last byte of the request was sent, and ended when the answer was
	// complete or the channel ended.
	sent, ended time.Time
	// cut is set if the channel ended without a complete answer after the other side had read
	// the whole request: it was closed, not reset.
	cut bool
	err error
}

// client sends one request after the other over a channel to a machine, and opens another
// channel when that has ended. The platform forwards a new channel to the client's own machine
// while that is in rotation.
type client struct {
	fleet        *fleet
	own, machine *machine
	channel      net.Conn
	reader       *bufio.Reader
}

func newClient(f *fleet, m *machine) *client { return &client{fleet: f, own: m, machine: m} }

var sequence atomic.Int64

// newID returns the id of a new submission.
func newID() string { return fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+sequence.Add(1)) }

// cpuPerTask is what each task needs, in thousandths of a core.
const cpuPerTask = 1600

// submission returns the body of a submission with one step. Without a label any worker may
// run its tasks.
func submission(tasks int, label string) string { return submissionWith(tasks, label, "") }

// lasting returns the body of a submission with one task that lasts.
func lasting(label string) string { return submissionWith(1, label, `,"long_running":true`) }

func submissionWith(tasks int, label, more string) string {
	if label != "" {
		more += fmt.Sprintf(`,"requirements":%q`, label)
	}
	return fmt.Sprintf(`{"spec":"(text)","steps":[{"count":%d,"cpu":%d,"mem_mb":3200,"estimated_ms":1000%s}]}`, tasks, cpuPerTask, more)
}

// send sends a request and waits for its answer.
func (c *client) send(x context.Context, method, id, body string) answer {
	a := c.exchange(x, method, id, body)
	if a.err != nil || a.status >= http.StatusInternalServerError {
		c.close()
	}
	c.fleet.record.logf("%s: %s %s%s: %d %s %v after %d ms", c.machine.settings.Name, method, platform.Prefix, id, a.status,
		strings.TrimSpace(a.body), a.err, a.ended.Sub(a.sent).Milliseconds())
	return a
}

func (c *client) close() {
	if c.channel != nil {
		_ = c.channel.Close()
		c.channel = nil
	}
}

func (c *client) exchange(x context.Context, method, id, body string) answer {
	a := answer{sent: time.Now(), ended: time.Now()}
	if c.channel == nil {
		c.machine = c.fleet.inRotation(c.own)
		d := net.Dialer{Timeout: budget}
		if c.channel, a.err = d.DialContext(x, "tcp", c.machine.settings.Front); a.err != nil {
			c.channel = nil
			return a
		}
		c.reader = bufio.NewReader(c.channel)
	}
	_ = c.channel.SetDeadline(time.Now().Add(budget))
	_, a.err = fmt.Fprintf(c.channel,
		"%s %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nRequest-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, platform.Prefix, id, platform.Host, budget.Milliseconds(), len(body), body)
	a.sent = time.Now()
	if a.err == nil {
		a.err = c.receive(&a)
	}
	a.ended = time.Now()
	a.cut = errors.Is(a.err, io.EOF) || errors.Is(a.err, io.ErrUnexpectedEOF)
	if errors.Is(a.err, syscall.ECONNRESET) || errors.Is(a.err, syscall.EPIPE) {
		a.cut = false
	}
	return a
}

// receive reads the answer.
func (c *client) receive(a *answer) error {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	data, err := io.ReadAll(r.Body)
	a.status, a.body = r.StatusCode, string(data)
	if r.Close && err == nil {
		c.close()
	}
	return err
}
