package guard_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/process/guard"
	"github.com/parsleybarrow/parsleybarrow/pkg/budget"
)

// patience bounds each wait, on a busy machine too.
const patience = 30 * time.Second

// server is a guarded server whose handler reads the body and answers with its size. A
// request for /hold is decided until release is closed.
type server struct {
	*guard.Guard
	address string
	held    chan struct{}
	release chan struct{}
}

func newServer(t *testing.T, share budget.Share, change func(*budget.Limits)) *server {
	t.Helper()
	k, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serve(t, k, share, change)
}

func serve(t *testing.T, k net.Listener, share budget.Share, change func(*budget.Limits)) *server {
	t.Helper()
	l := budget.Of(0, 0)
	if change != nil {
		change(&l)
	}
	s := &server{
		Guard: &guard.Guard{Name: "test", Share: share, Limits: l, HeaderBytes: 16 << 10},
		held:  make(chan struct{}, 10), release: make(chan struct{}),
	}
	s.address = k.Addr().String()
	web := s.Server(http.HandlerFunc(s.answer))
	web.ReadHeaderTimeout = patience
	go func() { _ = web.Serve(s.Listener(k)) }()
	t.Cleanup(func() { _ = web.Close() })
	return s
}

func (s *server) answer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/hold" {
		s.held <- struct{}{}
		<-s.release
	}
	n, err := io.Copy(io.Discard, r.Body)
	var refused *budget.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Slow:
		w.WriteHeader(http.StatusRequestTimeout)
	case errors.As(err, &refused):
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	}
	_, _ = fmt.Fprint(w, n)
}

// pipeListener accepts connections in memory. A fuzz test over TCP would use up the ports.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// client is a connection to the server.
type client struct {
	net.Conn
	in *bufio.Reader
}

func (s *server) dial(t *testing.T, text string) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	// The server may have closed the connection already.
	_, _ = io.WriteString(c, text)
	return &client{c, bufio.NewReader(c)}
}

// status reads an answer. It returns 0 if the connection has been closed.
func (c *client) status(t *testing.T) (int, string, http.Header) {
	t.Helper()
	a, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", nil
	}
	defer func() { _ = a.Body.Close() }()
	text, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(text), a.Header
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Since(began) > patience {
			t.Fatal("timed out: " + what)
		}
	}
}

// awaitFree waits until nothing is in use.
func (s *server) awaitFree(t *testing.T) {
	t.Helper()
	await(t, "everything is released", func() bool { b, n := s.Usage(); return b == 0 && n == 0 })
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func post(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\nabc", length)
}

var ample = budget.Share{Bytes: 16 << 20, Connections: 32}

// Guards against memory that stays reserved after a request, which would refuse all
// requests in the end.
func TestEveryEndOfARequestReleasesItsMemory(t *testing.T) {
	chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	rows := []struct {
		name, text string
		status     []int
	}{
		{"a request", get, []int{200}},
		{"pipelined requests", get + get + post(3) + get, []int{200, 200, 200, 200}},
		{"a chunked body with extension and trailer", strings.Replace(chunked, "\r\n\r\n", "\r\nTrailer: X\r\n\r\n", 1) +
			"3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n" + get, []int{200, 200}},
		{"a body that ends early", post(10), nil},
		{"a malformed chunk", chunked + "zz\r\n", []int{400}},
		{"an unfinished header", "GET / HTTP/1.1\r\nHost:", nil},
		{"no request", "\r\n\r\n\r\n", nil},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			i := is.New(t)
			s := newServer(t, ample, nil)
			c := s.dial(t, r.text)
			for _, want := range r.status {
				got, _, _ := c.status(t)
				i.Equal(got, want)
			}
			_ = c.Close()
			s.awaitFree(t)
		})
	}
}

// Guards against clients that wait for permission to send a body and don't get it.
func TestExpectContinue(t *testing.T) {
	i := is.New(t)
	s := newServer(t, ample, nil)
	c := s.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
	status, _, _ := c.status(t)
	i.Equal(status, http.StatusContinue)
	_, err := io.WriteString(c, "abc")
	i.NoErr(err)
	status, text, _ := c.status(t)
	i.Equal(status, http.StatusOK)
	i.Equal(text, "3")
}

// Guards against a header beyond the limits that is parsed, and refusals without the
// usual body.
func TestLargeHeadersAreRefused(t *testing.T) {
	few := func(l *budget.Limits) { l.HeaderLines = 50 }
	rows := []struct {
		name, lines string
		change      func(*budget.Limits)
	}{
		{"lines", strings.Repeat("a:\r\n", 60), few},
		{"bytes", strings.Repeat("Abcdefgh: 0123456789\r\n", 1200), nil},
		{"one long line", "A: " + strings.Repeat("x", 30<<10) + "\r\n", nil},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			i := is.New(t)
			s := newServer(t, ample, r.change)
			status, text, _ := s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n"+r.lines+"\r\n").status(t)
			i.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
			i.True(json.Valid([]byte(text)))
			s.awaitFree(t)
		})
	}
}

// Guards against refusals for want of memory that are no valid 503 with a time to come
// back, and against a share that stays used up afterwards.
func TestWithoutMemoryRequestsAreRefused(t *testing.T) {
	share := budget.Share{Bytes: 2*budget.ConnectionCost + 200<<10, Connections: 32}
	rows := []struct{ name, text string }{
		{"header", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n"},
		{"body", post(256 << 10)},
		{"chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", 200<<10) + "0\r\n\r\n"},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			i := is.New(t)
			s := newServer(t, share, nil)
			c := s.dial(t, r.text)
			status, text, header := c.status(t)
			i.Equal(status, http.StatusServiceUnavailable)
			if r.name == "header" { // the handler of the test answers the others
				var b struct {
					Error        string `json:"error"`
					RetryAfterMs int    `json:"retry_after_ms"`
				}
				i.NoErr(json.Unmarshal([]byte(text), &b))
				i.True(b.Error != "" && b.RetryAfterMs >= 1000)
				i.True(header.Get("Retry-After") != "")
			}
			_ = c.Close()
			s.awaitFree(t)
			status, _, _ = s.dial(t, get).status(t)
			i.Equal(status, http.StatusOK)
		})
	}
}

// Guards against a connection whose request is being decided that is closed for others,
// and against new clients that are refused while idle connections stay.
func TestIdleConnectionsGiveWayToNewOnes(t *testing.T) {
	i := is.New(t)
	s := newServer(t, budget.Share{Bytes: 16 << 20, Connections: 8}, nil)
	holder := s.dial(t, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.held
	for range 7 {
		s.dial(t, "")
	}
	await(t, "the bound is reached", func() bool { _, n := s.Usage(); return n == 8 })
	await(t, "a new client is served", func() bool {
		status, _, _ := s.dial(t, get).status(t)
		return status == http.StatusOK
	})
	close(s.release)
	status, _, _ := holder.status(t)
	i.Equal(status, http.StatusOK)
}

// Guards against bodies that stop before their end and stay, and answers that are never
// read.
func TestStalledClientsAreDisconnected(t *testing.T) {
	short := func(l *budget.Limits) { l.Stall = 100 * time.Millisecond }
	t.Run("body", func(t *testing.T) {
		i := is.New(t)
		s := newServer(t, ample, short)
		c := s.dial(t, post(10))
		go func() {
			for range 100 {
				time.Sleep(50 * time.Millisecond)
				s.Sweep()
			}
		}()
		status, _, _ := c.status(t)
		i.Equal(status, http.StatusRequestTimeout)
		s.awaitFree(t)
	})
	t.Run("answers", func(t *testing.T) {
		s := newServer(t, ample, short)
		c := s.dial(t, "")
		_ = c.SetDeadline(time.Now().Add(time.Second))
		for err := error(nil); err == nil; { // until the server doesn't read any more
			_, err = io.WriteString(c, strings.Repeat(get, 1000))
		}
		await(t, "everything is released", func() bool {
			s.Sweep()
			b, n := s.Usage()
			return b == 0 && n == 0
		})
	})
}

// Guards against input that ends or hangs the server or leaves memory reserved: headers and
// bodies in any pieces.
func FuzzRequests(f *testing.F) {
	for _, text := range []string{
		get, get + get, post(3) + get, post(10), "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: y\r\n\r\n",
		"GET / HTTP/1.1\r\n" + strings.Repeat("a:\n", 3000) + "\r\n", "\n\n\n", "GET /\r\n a\r\n: b\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\nabc",
	} {
		f.Add([]byte(text), uint16(7))
		f.Add([]byte(text), uint16(4096))
	}
	f.Fuzz(func(t *testing.T, data []byte, piece uint16) {
		l := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		s := serve(t, l, budget.Share{Bytes: 1 << 20, Connections: 4}, nil)
		near, far := net.Pipe()
		l.conns <- far
		_ = near.SetDeadline(time.Now().Add(patience))
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			for len(data) > 0 {
				n := min(len(data), int(piece)+1)
				if _, err := near.Write(data[:n]); err != nil {
					return
				}
				data = data[n:]
			}
		}()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		<-sent
		_ = near.Close()
		s.awaitFree(t)
	})
}
