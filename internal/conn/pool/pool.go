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
	// defaultFreshFor is the time after its last received bytes for which a
	// connection counts as alive.
	defaultFreshFor = time.Second
	// dialTimeout is several round trips between regions. It may be short,
	// because a failed dial costs only a resend: the request did not run.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is the idle time after which a connection is closed.
	idleTimeout = 30 * time.Second
	// defaultAnswerBuffer is the default of Pool.AnswerBuffer, in bytes.
	defaultAnswerBuffer = 1 << 20
)

// errBound reports that this instance has as many connections to the backend
// server as it may have.
var errBound = errors.New("connection bound of the backend server is reached")

// errClosed reports that the pool was closed.
var errClosed = errors.New("connection pool is closed")

// Pool implements sched.Sender. Set the exported fields before use. It is safe
// for concurrent use.
type Pool struct {
	Clock sched.Clock
	// MaxConns returns the largest number of connections to a backend server. If it
	// is nil, the number of the list of instances applies, but at least 1.
	MaxConns func(m sched.Member) int
	// AnswerBuffer returns the size in bytes up to which an answer is read
	// completely before it is returned; the rest of a larger one is streamed. If
	// it is nil or returns 0, the size is 1 MiB.
	AnswerBuffer func() int64
	// MaxIdleUnrepeatable is the longest time since the last received bytes with which an
	// idle connection is used for an unrepeatable request; 0 means 1 s.
	MaxIdleUnrepeatable time.Duration
	// Dial opens a connection. If it is nil, connections are opened over TCP.
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
	// idle holds the idle connections, the last used at the end.
	idle []*conn
	// open counts the connections that are open or being opened.
	open int
}

// server returns the connections to an address and adds an empty set for a new
// one.
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
	if p.MaxIdleUnrepeatable > 0 {
		return p.MaxIdleUnrepeatable
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
	if p.MaxConns != nil {
		return p.MaxConns(m)
	}
	return max(m.Connections, 1)
}

// take returns an idle connection or opens one. With fresh, an idle connection
// must have received bytes within freshFor.
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
	k.tracked = s.tracker.Opened(p.Clock.Now())
	s.byConn[k.tracked] = k
	return k, nil
}

// reserve counts a connection that is about to be opened. If the bound is
// reached, it closes the idle connection that was unused for longest, and returns
// errBound if there is none.
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

// takeIdle returns the idle connection that was used last, so that the others
// can reach the idle timeout. It returns nil if none can be used.
func (s *server) takeIdle(now time.Time, fresh bool, freshFor time.Duration) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.idle) > 0 {
		last := len(s.idle) - 1
		k := s.idle[last]
		age := now.Sub(s.tracker.AliveAt(k.tracked))
		if fresh && age > freshFor {
			return nil
		}
		s.idle = s.idle[:last]
		if age > idleTimeout || k.unusable() {
			s.drop(k)
			continue
		}
		return k
	}
	return nil
}

// drop closes a connection and removes it from the tracker. It has no effect on
// a connection that was dropped before. The caller holds s.mu.
func (s *server) drop(k *conn) {
	if _, known := s.byConn[k.tracked]; !known {
		return
	}
	delete(s.byConn, k.tracked)
	s.tracker.Closed(k.tracked)
	s.open--
	_ = k.Close()
}

// discard is drop for callers that don't hold s.mu.
func (s *server) discard(k *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(k)
}

// finish records the end of an exchange and ends the exchanges of other
// connections to the same server that the tracker finds silent. With keep, the
// connection becomes idle, else it is closed. Idle connections past the idle
// timeout are closed.
func (s *server) finish(k *conn, now time.Time, keep bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tracker.Finished(k.tracked, now) {
		if q := s.byConn[t]; q != nil {
			q.endSilent()
		}
	}
	if !keep || k.silent.Load() {
		s.drop(k)
		return
	}
	s.idle = append(s.idle, k)
	for len(s.idle) > 0 && now.Sub(s.tracker.AliveAt(s.idle[0].tracked)) > idleTimeout {
		oldest := s.idle[0]
		s.idle = s.idle[1:]
		s.drop(oldest)
	}
}

// CloseIdleExcept closes the idle connections to all addresses that aren't in the list.
func (p *Pool) CloseIdleExcept(addresses []string) {
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

// closeIdle closes the idle connections and returns the number of connections
// that are still in use.
func (s *server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.idle {
		s.drop(k)
	}
	s.idle = nil
	return s.open
}

// Close closes the idle connections and prevents new ones. Running sends are not
// interrupted.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, s := range p.servers {
		s.closeIdle()
	}
}
