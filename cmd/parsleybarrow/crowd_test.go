package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The limits of the machine in these tests, and the crowd. On commit 0dda663 each of 1,500
// stalled requests took 0.23 to 0.37 MB, so that 400 exceed the memory of this machine.
const (
	machineMemory      = 96 // MB
	machineDescriptors = 500
	crowdSize          = 400
	idleCrowdSize      = 600
	headerSize         = 16_000    // bytes, inside max_header_bytes
	bodySize           = 256 << 10 // bytes, max_body_bytes
	chunkedSize        = 160 << 10 // bytes of content sent in very small chunks
	smallChunk         = 4         // bytes
	pieceSize          = 16 << 10  // bytes
	streamClients      = 20
	streamsPerClient   = 20
	crowdGraceTime     = 6 // seconds
	// unreadRequests are pipelined by a client that reads no answer.
	unreadRequests = 400
	// crowdWriteLimit bounds how long a client writes to a server that doesn't read.
	crowdWriteLimit = 4 * time.Second
	// settleTime is how long memory is observed after the last client has written.
	settleTime = time.Second
)

// submitProcedure is the path of a call between instances that has a body.
const submitProcedure = "/parsleybarrow.Relay/Submit"

// crowdRequest is a request that stops just short of its end: the bytes before the end,
// in the pieces in which they are written.
type crowdRequest struct {
	name   string
	pieces func(target string) [][]byte
}

// head returns the start of a POST request without the blank line at its end.
func head(target, lines string) string {
	kind := "json"
	if target == submitProcedure {
		kind = "proto"
	}
	return "POST " + target + " HTTP/1.1\r\nHost: queue.example\r\nContent-Type: application/" + kind + "\r\n" + lines
}

// padLines repeats a header line up to headerSize.
func padLines(line func(n int) string) string {
	var b strings.Builder
	for n := 0; b.Len() < headerSize-200; n++ {
		b.WriteString(line(n))
	}
	return b.String()
}

func whole(text string) [][]byte { return [][]byte{[]byte(text)} }

// crowdRequests are the kinds of requests, each valid and inside the limits of size.
var crowdRequests = []crowdRequest{
	{"many short header lines", func(target string) [][]byte {
		return whole(head(target, padLines(func(n int) string { return strconv.FormatInt(int64(n), 36) + ":\r\n" })))
	}},
	{"many lines of one name", func(target string) [][]byte {
		return whole(head(target, padLines(func(int) string { return "a:\r\n" })))
	}},
	{"whole bodies", func(target string) [][]byte {
		text := head(target, fmt.Sprintf("Content-Length: %d\r\n\r\n", bodySize))
		return whole(text + strings.Repeat(" ", bodySize-1))
	}},
	{"bodies in pieces", func(target string) [][]byte {
		out := whole(head(target, fmt.Sprintf("Content-Length: %d\r\n\r\n", bodySize)))
		for n := 0; n < bodySize; n += pieceSize {
			out = append(out, bytes.Repeat([]byte(" "), min(pieceSize, bodySize-1-n)))
		}
		return out
	}},
	{"very small chunks", func(target string) [][]byte {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", smallChunk, strings.Repeat(" ", smallChunk))
		return whole(head(target, "Transfer-Encoding: chunked\r\n\r\n") + strings.Repeat(chunk, chunkedSize/smallChunk))
	}},
	{"one large chunk", func(target string) [][]byte {
		text := head(target, "Transfer-Encoding: chunked\r\n\r\n")
		return whole(text + fmt.Sprintf("%x\r\n", bodySize) + strings.Repeat(" ", bodySize-1))
	}},
	{"unread answers", func(target string) [][]byte {
		return whole(strings.Repeat("GET "+target+" HTTP/1.1\r\nHost: queue.example\r\n\r\n", unreadRequests))
	}},
}

// crowdTargets are the listeners of an instance.
var crowdTargets = []struct{ name, port, path string }{
	{"callers", "8161", "/q/00000000000000aa"},
	{"peers", "8166", submitProcedure},
	{"metrics", "7720", "/metrics"},
}

// crowdInstance returns a running instance with a small machine that has a term.
func crowdInstance(t *testing.T) *instance {
	t.Helper()
	x := newInstance(t, crowdGraceTime)
	text, err := os.ReadFile(x.settings)
	if err != nil {
		t.Fatal(err)
	}
	limits := fmt.Sprintf("cpu_share = 1.0\nmemory_mb = %d\nmax_fds = %d", machineMemory, machineDescriptors)
	x.writeSettings(t, strings.Replace(string(text), "cpu_share = 1.0", limits, 1))
	x.start(t)
	if !x.awaitLine(t, "termBegan") {
		t.FailNow()
	}
	return x
}

// usage observes a process: the most bytes in its memory and in the receive queues of
// its sockets together, and the most descriptors.
type usage struct {
	memory, descriptors atomic.Int64
	stop, stopped       chan struct{}
}

func (x *instance) observe() *usage {
	u := &usage{stop: make(chan struct{}), stopped: make(chan struct{})}
	go func() {
		defer close(u.stopped)
		for {
			resident := x.statusBytes("VmRSS:") + x.receivedBytes()
			u.memory.Store(max(u.memory.Load(), resident, x.statusBytes("VmHWM:")))
			if f, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", x.Process.Pid)); err == nil {
				u.descriptors.Store(max(u.descriptors.Load(), int64(len(f))))
			}
			select {
			case <-u.stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	return u
}

// statusBytes returns a field of /proc/PID/status that is given there in kB.
func (x *instance) statusBytes(field string) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", x.Process.Pid))
	_, after, _ := strings.Cut(string(text), field)
	f := strings.Fields(after)
	if len(f) == 0 {
		return 0
	}
	n, _ := strconv.ParseInt(f[0], 10, 64)
	return n << 10
}

// receivedBytes returns the bytes in the receive queues of the instance's sockets. No
// other process uses its address.
func (x *instance) receivedBytes() int64 {
	ip := net.ParseIP(x.address).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	sum := int64(0)
	for s := bufio.NewScanner(f); s.Scan(); {
		w := strings.Fields(s.Text())
		// State 0A is a listening socket, whose queue counts connections.
		if len(w) < 5 || !strings.HasPrefix(w[1], local) || w[3] == "0A" {
			continue
		}
		_, queue, _ := strings.Cut(w[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		sum += n
	}
	return sum
}

// crowd holds the open connections of its clients.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// open connects n clients, which write the pieces and keep their connections open. What
// the server refuses or closes is no error.
func (c *crowd) open(n int, address string, pieces [][]byte) {
	var clients sync.WaitGroup
	slots := make(chan struct{}, 64)
	for range n {
		slots <- struct{}{}
		clients.Go(func() {
			defer func() { <-slots }()
			k, err := net.DialTimeout("tcp", address, patience)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, k)
			c.mu.Unlock()
			_ = k.SetWriteDeadline(time.Now().Add(crowdWriteLimit))
			for _, p := range pieces {
				if _, err := k.Write(p); err != nil {
					return
				}
			}
		})
	}
	clients.Wait()
}

func (c *crowd) close() {
	for _, k := range c.conns {
		_ = k.Close()
	}
}

// checkOrdinaryRequest waits until a caller gets an answer other than a refusal.
func (x *instance) checkOrdinaryRequest(t *testing.T, when string) {
	t.Helper()
	web := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	x.await(t, "an ordinary request is answered "+when, func() bool {
		r, err := http.NewRequest(http.MethodGet, "http://"+x.address+":8161/q/", nil)
		if err != nil {
			return false
		}
		r.Host = "queue.example"
		a, err := web.Do(r)
		if err != nil {
			return false
		}
		defer func() { _ = a.Body.Close() }()
		return a.StatusCode == http.StatusOK
	})
}

// check reports what the crowd has made of the process.
func (u *usage) check(t *testing.T, x *instance) {
	t.Helper()
	close(u.stop)
	<-u.stopped
	memory, descriptors := u.memory.Load()>>20, u.descriptors.Load()
	t.Logf("%d MB of %d, %d descriptors of %d", memory, machineMemory, descriptors, machineDescriptors)
	if memory > machineMemory {
		t.Errorf("memory: %d MB, the machine has %d", memory, machineMemory)
	}
	if descriptors > machineDescriptors {
		t.Errorf("descriptors: %d, the machine has %d", descriptors, machineDescriptors)
	}
	select {
	case <-x.ended:
		t.Errorf("the process has ended: %v", x.ProcessState)
	default:
	}
}

// Guards against callers whose requests, each inside the limits, together take more
// memory or descriptors than the machine has, or keep ordinary requests from being answered.
func TestCrowdsStayWithinTheMachine(t *testing.T) {
	for _, target := range crowdTargets {
		for _, kind := range crowdRequests {
			t.Run(target.name+"/"+kind.name, func(t *testing.T) {
				x := crowdInstance(t)
				u := x.observe()
				c := &crowd{}
				defer c.close()
				c.open(crowdSize, x.address+":"+target.port, kind.pieces(target.path))
				time.Sleep(settleTime)
				x.checkOrdinaryRequest(t, "beside the crowd")
				c.close()
				x.checkOrdinaryRequest(t, "after the crowd")
				u.check(t, x)
			})
		}
	}
}

// Guards against connections without a request that use up the descriptors, which the
// instance needs for the store, the workers and other instances.
func TestIdleConnectionsLeaveDescriptors(t *testing.T) {
	for _, target := range append(crowdTargets, struct{ name, port, path string }{"balancer", "8167", ""}) {
		t.Run(target.name, func(t *testing.T) {
			x := crowdInstance(t)
			u := x.observe()
			c := &crowd{}
			defer c.close()
			c.open(idleCrowdSize, x.address+":"+target.port, nil)
			time.Sleep(settleTime)
			x.checkOrdinaryRequest(t, "beside the crowd")
			u.check(t, x)
		})
	}
}

// stalledBody returns its bytes and then blocks until closed is closed.
type stalledBody struct {
	left   int
	closed chan struct{}
}

// Read implements io.Reader.
func (b *stalledBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		<-b.closed
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.left)
	b.left -= n
	return n, nil
}

// Guards against HTTP/2 streams of the peers' listener whose bodies, sent almost to their
// end, together take more memory than the machine has.
func TestStalledStreamsOfPeersStayWithinTheMachine(t *testing.T) {
	x := crowdInstance(t)
	u := x.observe()
	var streams sync.WaitGroup
	var bodies []*stalledBody
	for range streamClients {
		p := &http.Protocols{}
		p.SetUnencryptedHTTP2(true)
		web := &http.Client{Transport: &http.Transport{Protocols: p}}
		defer web.CloseIdleConnections()
		for range streamsPerClient {
			b := &stalledBody{left: bodySize, closed: make(chan struct{})}
			bodies = append(bodies, b)
			r, err := http.NewRequest(http.MethodPost, "http://"+x.address+":8166"+submitProcedure, b)
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set("Content-Type", "application/proto")
			streams.Go(func() {
				if a, err := web.Do(r); err == nil {
					_ = a.Body.Close()
				}
			})
		}
	}
	time.Sleep(crowdWriteLimit)
	x.checkOrdinaryRequest(t, "beside the crowd")
	for _, b := range bodies {
		close(b.closed)
	}
	streams.Wait()
	x.checkOrdinaryRequest(t, "after the crowd")
	u.check(t, x)
}

// Guards against limits that a single request inside the documented sizes reaches: a
// header of many short lines, and a body that arrives slowly.
func TestOneLargeSlowRequestIsServed(t *testing.T) {
	x := crowdInstance(t)
	c, err := net.DialTimeout("tcp", x.address+":8161", patience)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	job := `{"spec": "s", "steps": [{"count": 1, "cpu": 100, "mem_mb": 64, "estimated_ms": 50}]}`
	job += strings.Repeat(" ", bodySize-len(job))
	lines := padLines(func(n int) string { return strconv.FormatInt(int64(n), 36) + ":\r\n" })
	text := head("/q/00000000000000ab", lines[:len(lines)/2])
	pieces := [][]byte{[]byte(text), []byte(lines[len(lines)/2:] + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(job)))}
	for n := 0; n < len(job); n += bodySize / 4 {
		pieces = append(pieces, []byte(job[n:n+bodySize/4]))
	}
	for _, p := range pieces {
		if _, err := c.Write(p); err != nil {
			t.Fatal(err)
		}
		time.Sleep(400 * time.Millisecond)
	}
	_ = c.SetReadDeadline(time.Now().Add(patience))
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	body, _ := io.ReadAll(a.Body)
	if a.StatusCode != http.StatusOK {
		t.Fatalf("status %d: %s", a.StatusCode, body)
	}
}
