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

// Default sizes of a Server.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
)

// Server is one simulated backend server. The exported fields are set before
// Start.
type Server struct {
	ID      sched.InstanceID
	Service string
	Clock   sched.Clock
	// Observer may be shared by many servers.
	Observer *Observer
	// Slots is the number of requests that run at the same time; further
	// requests are refused.
	Slots int
	// Connections is the number of open connections; further connections are
	// refused.
	Connections int
	// MedianServiceTime and ServiceTimeSigma describe the log-normal service time; ServiceTimeSigma is the
	// standard deviation of the natural logarithm.
	MedianServiceTime time.Duration
	ServiceTimeSigma  float64
	// Slowdown, if set, returns a factor for the service time: the interference
	// of the tasks on the same worker.
	Slowdown func() float64
	// AnswerBytes is the minimum size of an answer's body.
	AnswerBytes int
	// LeavingGrace is how long after SetLeaving the server still runs new
	// requests.
	LeavingGrace time.Duration

	mu           sync.Mutex
	random       *rand.Rand
	faults       Faults
	injected     []Fault
	busySlots    int
	leaving      bool
	leavingSince time.Time // time of the last SetLeaving
	openConns    map[net.Conn]struct{}
	listener     net.Listener
	httpServer   *http.Server
	serveDone    chan struct{}
}

// New returns a server with the default sizes and a service time of 0.
func New(id sched.InstanceID, service string, clock sched.Clock, o *Observer, seed uint64) *Server {
	return &Server{
		ID: id, Service: service, Clock: clock, Observer: o,
		Slots: DefaultSlots, Connections: DefaultConnections,
		random: rand.New(rand.NewPCG(seed, 1)), openConns: map[net.Conn]struct{}{},
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
	s.serveDone = make(chan struct{})
	s.httpServer = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, IdleTimeout: 5 * time.Minute}
	go func(server *http.Server, l net.Listener, stopped chan struct{}) {
		defer close(stopped)
		// Serve always returns an error; after Stop it is ErrServerClosed.
		_ = server.Serve(&limitedListener{Listener: l, server: s})
	}(s.httpServer, l, s.serveDone)
	return nil
}

// Stop closes the listener and every connection at once, as a crash of the
// process does. Start may be called again.
func (s *Server) Stop() error {
	s.mu.Lock()
	server, stopped := s.httpServer, s.serveDone
	s.httpServer = nil
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	err := server.Close()
	<-stopped
	return err
}

// Running reports whether the server listens.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.httpServer != nil
}

// Address returns host:port of the latest Start, also after Stop, or "" before
// the first Start.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// SetFaults replaces the fault configuration. Faults queued by Inject stay.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Inject applies the fault to the next n requests that get a slot. Injected
// faults come before those drawn from the shares of SetFaults.
func (s *Server) Inject(f Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range n {
		s.injected = append(s.injected, f)
	}
}

// SetLeaving makes the server refuse new requests once LeavingGrace has passed, or
// accept them again.
func (s *Server) SetLeaving(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving, s.leavingSince = on, s.Clock.Now()
}

// Busy returns the number of slots in use.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busySlots
}

// admit takes a slot if the request may run, which ok reports. The caller then
// has to call release.
func (s *Server) admit() (leaving, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if s.leaving {
		s.Observer.recordLeavingArrival(now.Sub(s.leavingSince))
	}
	if s.leaving && now.Sub(s.leavingSince) >= s.LeavingGrace || s.busySlots >= s.Slots {
		return s.leaving, false
	}
	s.busySlots++
	return s.leaving, true
}

// release frees a slot and returns the number of free slots.
func (s *Server) release() (leaving bool, free int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busySlots--
	return s.leaving, s.Slots - s.busySlots
}

// drawFault returns the fault and the service time of one request, and the fault
// configuration in force.
func (s *Server) drawFault() (Fault, time.Duration, Faults) {
	slowdown := 1.0
	if s.Slowdown != nil {
		slowdown = s.Slowdown()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Slow > 0 {
		slowdown *= s.faults.Slow
	}
	serviceTime := time.Duration(float64(s.MedianServiceTime) * math.Exp(s.ServiceTimeSigma*s.random.NormFloat64()) * slowdown)
	// An injected fault uses up a random number too, so it doesn't shift the
	// draws of later requests.
	point := s.random.Float64()
	if len(s.injected) > 0 {
		f := s.injected[0]
		s.injected = s.injected[1:]
		return f, serviceTime, s.faults
	}
	for _, f := range faultOrder {
		if point -= s.faults.Shares[f]; point < 0 {
			return f, serviceTime, s.faults
		}
	}
	return "", serviceTime, s.faults
}

// limitedListener refuses connections beyond Server.Connections with an answer
// that says that the request did not run.
type limitedListener struct {
	net.Listener
	server *Server
}

// refusalResponse is the answer to the first request of a surplus connection.
const refusalResponse = "HTTP/1.1 503 Service Unavailable\r\n" + sched.HeaderNotRun + ": true\r\n" +
	sched.HeaderFreeSlots + ": 0\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked := l.server.trackConn(c); tracked != nil {
			return tracked, nil
		}
		go refuseConn(c)
	}
}

// trackConn counts a connection as open until it is closed. It returns nil if the
// limit is reached.
func (s *Server) trackConn(c net.Conn) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.openConns) >= s.Connections {
		return nil
	}
	s.openConns[c] = struct{}{}
	return &trackedConn{Conn: c, server: s}
}

// refuseConn answers the first request of a surplus connection. It reads to the
// end before it closes the connection, since a close with unread data resets the
// connection and the caller may lose the answer.
func refuseConn(c net.Conn) {
	const timeout = time.Second
	defer c.Close() //nolint:errcheck // the refusal is already sent
	_ = c.SetDeadline(time.Now().Add(timeout))
	buffer := make([]byte, 64<<10)
	if _, err := c.Read(buffer); err != nil {
		return
	}
	if _, err := c.Write([]byte(refusalResponse)); err != nil {
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

// trackedConn is a connection that counts against Server.Connections until it is
// closed.
type trackedConn struct {
	net.Conn
	server *Server
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.openConns, c.Conn)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// abortWhenDone sends no answer: it waits until the caller closes the connection
// or the server stops, and aborts the handler.
func abortWhenDone(c context.Context) {
	<-c.Done()
	panic(http.ErrAbortHandler)
}

var errBodyTooLong = errors.New("request body is longer than 64 MiB or can't be read")
