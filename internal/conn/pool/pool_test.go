package pool_test

import (
	"bufio"
	"context"
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
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/internal/conn/pool"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

type realClock struct{}

func (realClock) Now() time.Time { return time.Now() }

func (realClock) Sleep(_ context.Context, d time.Duration) error { time.Sleep(d); return nil }

// scriptedServer is a server on raw connections. The part of a request id before
// the hyphen selects its behavior. It counts runs per id.
type scriptedServer struct {
	listener net.Listener
	mu       sync.Mutex
	runs     map[string]int
	conns    int
	// release is closed to end hanging requests.
	release chan struct{}
}

func newScriptedServer(t testing.TB) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{listener: l, runs: map[string]int{}, release: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close(); close(s.release) })
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.serve(n)
		}
	}()
	return s
}

func (s *scriptedServer) member() sched.Member {
	return sched.Member{ID: "b", Address: s.listener.Addr().String(), Connections: 8}
}

// reply returns a complete answer to the request with the id.
func reply(id, status, extra string) string {
	body := "body of " + id
	return fmt.Sprintf("HTTP/1.1 %s\r\nParsley-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, extra, len(body), body)
}

// behaviors holds, by name, what the server does with a request. The result
// reports whether the server keeps the connection.
var behaviors = map[string]func(s *scriptedServer, n net.Conn, id string) bool{
	"plain": func(_ *scriptedServer, n net.Conn, id string) bool { return put(n, reply(id, "200 OK", "")) },
	"interim": func(_ *scriptedServer, n net.Conn, id string) bool {
		return put(n, "HTTP/1.1 103 Early Hints\r\n\r\n"+reply(id, "200 OK", ""))
	},
	"chunked": func(_ *scriptedServer, n net.Conn, id string) bool {
		return put(n, "HTTP/1.1 200 OK\r\nParsley-Request-Id: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n"+
			fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len("body of "+id), "body of "+id))
	},
	"doubled": func(_ *scriptedServer, n net.Conn, id string) bool {
		return put(n, reply(id, "200 OK", "")+reply(id, "200 OK", ""))
	},
	"late": func(_ *scriptedServer, n net.Conn, id string) bool {
		return put(n, reply("another", "200 OK", "")+reply(id, "200 OK", ""))
	},
	"error": func(_ *scriptedServer, n net.Conn, id string) bool { return put(n, reply(id, "500 Oops", "")) },
	"refused": func(_ *scriptedServer, n net.Conn, id string) bool {
		return put(n, reply(id, "503 Busy", "Parsley-Not-Run: true\r\n"))
	},
	"notOwn": func(_ *scriptedServer, n net.Conn, _ string) bool {
		return put(n, reply("another", "503 Busy", "Parsley-Not-Run: true\r\n"))
	},
	"cut": func(_ *scriptedServer, n net.Conn, id string) bool {
		a := reply(id, "200 OK", "")
		put(n, a[:len(a)-3])
		return false
	},
	"noLength": func(_ *scriptedServer, n net.Conn, id string) bool {
		put(n, "HTTP/1.1 200 OK\r\nParsley-Request-Id: "+id+"\r\n\r\nbody")
		return false
	},
	"hangUp":  func(*scriptedServer, net.Conn, string) bool { return false },
	"garbage": func(_ *scriptedServer, n net.Conn, _ string) bool { put(n, "\x00\x01 no http\r\n\r\n"); return false },
	"hang":    func(s *scriptedServer, _ net.Conn, _ string) bool { <-s.release; return false },
}

// wantOutcome holds the only permitted outcome of each behavior. The server runs
// every request that it doesn't refuse.
var wantOutcome = map[string]sched.Outcome{
	"plain": sched.OutcomeAnswered, "interim": sched.OutcomeAnswered, "chunked": sched.OutcomeAnswered,
	"doubled": sched.OutcomeAnswered, "error": sched.OutcomeFailed, "refused": sched.OutcomeRefusedNotRun,
	"late": sched.OutcomeUnknown, "notOwn": sched.OutcomeUnknown, "cut": sched.OutcomeUnknown,
	"noLength": sched.OutcomeUnknown, "hangUp": sched.OutcomeUnknown, "garbage": sched.OutcomeUnknown,
	"hang": sched.OutcomeUnknown,
}

func put(n net.Conn, text string) bool { _, err := io.WriteString(n, text); return err == nil }

func (s *scriptedServer) serve(n net.Conn) {
	defer n.Close()
	b := bufio.NewReader(n)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(sched.HeaderRequestID)
		act, _, _ := strings.Cut(id, "-")
		if act != "refused" {
			s.mu.Lock()
			s.runs[id]++
			s.mu.Unlock()
		}
		if !behaviors[act](s, n, id) {
			return
		}
	}
}

func (s *scriptedServer) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func request(id string, unrepeatable bool) sched.Request {
	return sched.Request{ID: id, Method: http.MethodPost, Path: "/do?x=1", Body: []byte("question"), Unrepeatable: unrepeatable}
}

// Guards against an answer that belongs to another request or is cut short, and
// against the outcome "not run" for a request that ran, when connections are
// reused after late, doubled, cut and malformed answers.
func TestOutcomeOfOneSend(t *testing.T) {
	s := newScriptedServer(t)
	p := &pool.Pool{Clock: realClock{}}
	defer p.Close()
	names := []string{
		"plain", "interim", "chunked", "doubled", "late", "error", "refused", "notOwn", "cut", "noLength", "hangUp", "garbage",
	}
	serial := 0
	rapid.Check(t, func(t *rapid.T) {
		for range rapid.IntRange(1, 12).Draw(t, "sends") {
			act := rapid.SampledFrom(names).Draw(t, "act")
			serial++
			id := fmt.Sprintf("%s-%d", act, serial)
			c, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			r := p.Send(c, s.member(), request(id, rapid.Bool().Draw(t, "unrepeatable")), 1)
			cancel()
			if r.Outcome != wantOutcome[act] {
				t.Fatalf("%s ended with outcome %d (%v), want %d", id, r.Outcome, r.Err, wantOutcome[act])
			}
			if r.Outcome == sched.OutcomeAnswered && string(r.Answer.Body) != "body of "+id {
				t.Fatalf("%s got %q", id, r.Answer.Body)
			}
			if n := s.ran(id); r.Outcome == sched.OutcomeRefusedNotRun && n != 0 || n > 1 {
				t.Fatalf("%s ran %d times with outcome %d", id, n, r.Outcome)
			}
		}
	})
}

// Guards against a hanging connection that is used again, or that keeps its
// request until the deadline although other connections to the server make
// progress.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t)
	p := &pool.Pool{Clock: realClock{}}
	defer p.Close()
	c, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	hung := make(chan sched.SendResult, 1)
	go func() { hung <- p.Send(c, s.member(), request("hang-1", false), 1) }()
	for s.ran("hang-1") == 0 {
		time.Sleep(time.Millisecond)
	}
	for n := 0; ; n++ {
		r := p.Send(c, s.member(), request(fmt.Sprintf("plain-%d", n), false), 1)
		is.Equal(r.Outcome, sched.OutcomeAnswered)
		select {
		case r := <-hung:
			is.Equal(r.Outcome, sched.OutcomeUnknown)
			is.True(r.Stalled)
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// Guards against an unrepeatable request on a connection that was idle for long,
// and against the outcome "unknown" if the backend server can't be reached.
func TestUnrepeatableNeedsAFreshConnection(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t)
	p := &pool.Pool{Clock: realClock{}, MaxIdleUnrepeatable: time.Nanosecond}
	for n, unrepeatable := range []bool{false, false, true} {
		is.Equal(p.Send(t.Context(), s.member(), request(fmt.Sprintf("plain-%d", n), unrepeatable), 1).Outcome, sched.OutcomeAnswered)
	}
	is.Equal(s.conns, 2) // one reused connection, one fresh one
	p.Close()
	is.Equal(p.Send(t.Context(), s.member(), request("plain-9", true), 1).Outcome, sched.OutcomeRefusedNotRun)
	is.NoErr(s.listener.Close())
	q := &pool.Pool{Clock: realClock{}}
	r := q.Send(t.Context(), s.member(), request("plain-10", true), 1)
	is.Equal(r.Outcome, sched.OutcomeRefusedNotRun)
	is.True(errors.Is(r.Err, sched.ErrUnreachable))
}
