package bkend

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Defaults of Server.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
)

// Server is one backend server. Set the exported fields before Start.
type Server struct {
	ID      sched.InstanceID
	Service string
	Clock   sched.Clock
	// Observer may be shared by many servers.
	Observer    *Observer
	Slots       int
	Connections int
	// Median and Sigma describe the log-normal service time; Sigma is the
	// standard deviation of the natural logarithm.
	Median time.Duration
	Sigma  float64
	// Slowdown multiplies the service time, if it is set: the interference of
	// the tasks on the same worker.
	Slowdown func() float64
	// AnswerBytes is the least size of an answer's body.
	AnswerBytes int
	// Grace is how long after SetLeaving the server still runs new requests.
	Grace time.Duration

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	injected []Fault
	busy     int
	leaving  bool
	since    time.Time // of leaving
	open     map[net.Conn]struct{}
	listener net.Listener
	server   *http.Server
	stopped  chan struct{}
}

// New returns a server with the default sizes that answers at once.
func New(id sched.InstanceID, service string, clock sched.Clock, o *Observer, seed uint64) *Server {
	return &Server{
		ID: id, Service: service, Clock: clock, Observer: o,
		Slots: DefaultSlots, Connections: DefaultConnections,
		random: rand.New(rand.NewPCG(seed, 1)), open: map[net.Conn]struct{}{},
	}
}

// Start listens on a loopback address such as "127.0.0.1:0" and serves until
// Stop.
func (s *Server) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("backend server %s: %w", s.ID, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	s.stopped = make(chan struct{})
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, IdleTimeout: 5 * time.Minute}
	go func(server *http.Server, l net.Listener, stopped chan struct{}) {
		defer close(stopped)
		// Serve always returns an error; after Stop it is ErrServerClosed.
		_ = server.Serve(&limited{Listener: l, server: s})
	}(s.server, l, s.stopped)
	return nil
}

// Stop closes the listener and every connection at once, as when the process
// dies. Start may be called again.
func (s *Server) Stop() error {
	s.mu.Lock()
	server, stopped := s.server, s.stopped
	s.server = nil
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	err := server.Close()
	<-stopped
	return err
}

// Running tells whether the server listens.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server != nil
}

// Address returns host:port, or "" before Start.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Inject makes the next n requests that find a free slot meet a fault, before
// any that SetFaults draws.
func (s *Server) Inject(f Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range n {
		s.injected = append(s.injected, f)
	}
}

// SetLeaving tells the server to take no new work, or to take it again.
func (s *Server) SetLeaving(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving, s.since = on, s.Clock.Now()
}

// Busy returns the number of slots in use.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// admit takes a slot. The boolean tells whether the request may run.
func (s *Server) admit() (leaving, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if s.leaving {
		s.Observer.arrivedLate(now.Sub(s.since))
	}
	if s.leaving && now.Sub(s.since) >= s.Grace || s.busy >= s.Slots {
		return s.leaving, false
	}
	s.busy++
	return s.leaving, true
}

func (s *Server) release() (leaving bool, free int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	return s.leaving, s.Slots - s.busy
}

// draw picks the fault and the service time of one request.
func (s *Server) draw() (Fault, time.Duration, Faults) {
	slowdown := 1.0
	if s.Slowdown != nil {
		slowdown = s.Slowdown()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Slow > 0 {
		slowdown *= s.faults.Slow
	}
	took := time.Duration(float64(s.Median) * math.Exp(s.Sigma*s.random.NormFloat64()) * slowdown)
	at := s.random.Float64()
	if len(s.injected) > 0 {
		f := s.injected[0]
		s.injected = s.injected[1:]
		return f, took, s.faults
	}
	for _, f := range order {
		if at -= s.faults.Shares[f]; at < 0 {
			return f, took, s.faults
		}
	}
	return "", took, s.faults
}

// limited refuses connections beyond the bound with an explicit "not run".
type limited struct {
	net.Listener
	server *Server
}

const refusal = "HTTP/1.1 503 Service Unavailable\r\n" + sched.HeaderNotRun + ": true\r\n" +
	sched.HeaderFreeSlots + ": 0\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Accept implements net.Listener.
func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if kept := l.server.keep(c); kept != nil {
			return kept, nil
		}
		go refuse(c)
	}
}

func (s *Server) keep(c net.Conn) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= s.Connections {
		return nil
	}
	s.open[c] = struct{}{}
	return &counted{Conn: c, server: s}
}

// refuse answers the first request of a surplus connection. It reads before it
// closes, since a close with unread data would reset the connection and lose
// the answer.
func refuse(c net.Conn) {
	const patience = time.Second
	defer c.Close() //nolint:errcheck // nothing depends on it
	_ = c.SetDeadline(time.Now().Add(patience))
	buffer := make([]byte, 64<<10)
	if _, err := c.Read(buffer); err != nil {
		return
	}
	if _, err := c.Write([]byte(refusal)); err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	for {
		if _, err := c.Read(buffer); err != nil {
			return
		}
	}
}

// counted is a connection that counts until it is closed.
type counted struct {
	net.Conn
	server *Server
}

// Close implements net.Conn.
func (c *counted) Close() error {
	c.server.mu.Lock()
	delete(c.server.open, c.Conn)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// silence waits until the caller gives up the connection or the server stops.
func silence(c context.Context) {
	<-c.Done()
	panic(http.ErrAbortHandler)
}

var errBodyTooLong = errors.New("body is too long")
