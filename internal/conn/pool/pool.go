package pool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/conns"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// defaultFreshFor is how long after its last bytes a connection counts as
	// proved alive.
	defaultFreshFor = time.Second
	// dialTimeout is several round trips between regions; a dial that fails
	// costs only a resend, since the request did not run.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout closes connections that a quiet service no longer needs.
	idleTimeout = 30 * time.Second
	// defaultAnswerBuffer is in bytes.
	defaultAnswerBuffer = 1 << 20
)

// errBound reports that the backend server has as many connections from this
// instance as it may have.
var errBound = errors.New("connection bound of the backend server is reached")

// errClosed reports that the pool was closed.
var errClosed = errors.New("connection pool is closed")

// Pool implements sched.Sender. Its fields are set before use.
type Pool struct {
	Clock sched.Clock
	// Bound is the largest number of connections to a backend server, nil for
	// the server's own number.
	Bound func(m sched.Member) int
	// AnswerBuffer returns the size in bytes up to which answers are buffered
	// and checked as a whole, nil for 1 MiB.
	AnswerBuffer func() int64
	// FreshFor is the age of the last sign of life up to which a connection is
	// used for unrepeatable requests, 0 for 1 s.
	FreshFor time.Duration
	// Dial opens a connection, nil for TCP.
	Dial func(c context.Context, address string) (net.Conn, error)

	mu      sync.RWMutex
	servers map[string]*server
	closed  bool
}

var _ sched.Sender = (*Pool)(nil)

// server holds the connections to one backend server.
type server struct {
	mu      sync.Mutex
	tracker conns.Tracker
	byConn  map[*conns.Conn]*conn
	idle    []*conn
	open    int
}

func (p *Pool) server(address string) *server {
	p.mu.RLock()
	s := p.servers[address]
	p.mu.RUnlock()
	if s != nil {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers == nil {
		p.servers = map[string]*server{}
	}
	if s = p.servers[address]; s == nil {
		s = &server{byConn: map[*conns.Conn]*conn{}}
		p.servers[address] = s
	}
	return s
}

func (p *Pool) freshFor() time.Duration {
	if p.FreshFor > 0 {
		return p.FreshFor
	}
	return defaultFreshFor
}

func (p *Pool) answerBuffer() int64 {
	if p.AnswerBuffer != nil {
		if n := p.AnswerBuffer(); n > 0 {
			return n
		}
	}
	return defaultAnswerBuffer
}

func (p *Pool) bound(m sched.Member) int {
	if p.Bound != nil {
		return p.Bound(m)
	}
	return max(m.Connections, 1)
}

// take returns an idle connection or opens one. fresh asks for one that proved
// alive moments ago.
func (p *Pool) take(c context.Context, to sched.Member, fresh bool) (*conn, error) {
	s := p.server(to.Address)
	if k := s.takeIdle(p.Clock.Now(), fresh, p.freshFor()); k != nil {
		return k, nil
	}
	if err := p.reserve(s, to); err != nil {
		return nil, err
	}
	n, err := p.dial(c, to.Address)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.open--
		if c.Err() == nil {
			err = fmt.Errorf("%w: %w", sched.ErrUnreachable, err)
		}
		return nil, err
	}
	k := newConn(n, s, p.Clock)
	k.track = s.tracker.Opened(p.Clock.Now())
	s.byConn[k.track] = k
	return k, nil
}

// reserve counts a connection that is about to be opened. An idle one gives
// way if the bound is reached.
func (p *Pool) reserve(s *server, to sched.Member) error {
	p.mu.RLock()
	closed := p.closed
	p.mu.RUnlock()
	if closed {
		return errClosed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= p.bound(to) {
		if len(s.idle) == 0 {
			return errBound
		}
		oldest := s.idle[0]
		s.idle = s.idle[1:]
		s.drop(oldest)
	}
	s.open++
	return nil
}

func (p *Pool) dial(c context.Context, address string) (net.Conn, error) {
	if p.Dial != nil {
		return p.Dial(c, address)
	}
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(c, "tcp", address)
}

// takeIdle returns the connection that was used last, so that the others can
// time out.
func (s *server) takeIdle(now time.Time, fresh bool, freshFor time.Duration) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.idle) > 0 {
		last := len(s.idle) - 1
		k := s.idle[last]
		age := now.Sub(s.tracker.AliveAt(k.track))
		if fresh && age > freshFor {
			return nil
		}
		s.idle = s.idle[:last]
		if age > idleTimeout || k.hungUp() {
			s.drop(k)
			continue
		}
		return k
	}
	return nil
}

// drop closes a connection for good. The caller holds the lock.
func (s *server) drop(k *conn) {
	if _, known := s.byConn[k.track]; !known {
		return
	}
	delete(s.byConn, k.track)
	s.tracker.Closed(k.track)
	s.open--
	_ = k.Close()
}

// discard closes a connection that must not be used again.
func (s *server) discard(k *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(k)
}

// finish notes the end of an exchange and discards siblings that are silent.
// The connection is kept if it may be used again.
func (s *server) finish(k *conn, now time.Time, keep bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tracker.Finished(k.track, now) {
		if q := s.byConn[t]; q != nil {
			q.silence()
		}
	}
	if !keep || k.silent.Load() {
		s.drop(k)
		return
	}
	s.idle = append(s.idle, k)
	for len(s.idle) > 0 && now.Sub(s.tracker.AliveAt(s.idle[0].track)) > idleTimeout {
		oldest := s.idle[0]
		s.idle = s.idle[1:]
		s.drop(oldest)
	}
}

// Retain closes the idle connections to all other addresses.
func (p *Pool) Retain(addresses []string) {
	keep := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		keep[a] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, s := range p.servers {
		if keep[a] {
			continue
		}
		if s.closeIdle() == 0 {
			delete(p.servers, a)
		}
	}
}

// closeIdle returns the number of connections that are still in use.
func (s *server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.idle {
		s.drop(k)
	}
	s.idle = nil
	return s.open
}

// Close closes the idle connections and opens no new ones. Running sends
// finish.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, s := range p.servers {
		s.closeIdle()
	}
}
