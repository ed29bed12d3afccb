package guard

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/budget"
)

// Guard limits the clients of one listener. Exported fields are set before Server.
type Guard struct {
	// Name is the use of the listener in log lines and metrics.
	Name string
	// Share is the listener's part of Limits.
	Share  budget.Share
	Limits budget.Limits
	// HeaderBytes bounds the header of a request, in bytes.
	HeaderBytes int
	// Peers is set if clients may use HTTP/2.
	Peers bool
	// Lasting reports whether requests with this path have bodies that last, whose
	// messages are limited by their handler. It may be nil.
	Lasting func(path string) bool
	// ReceiveBuffer is the size of the kernel's receive buffer for a connection, in
	// bytes. With 0 the kernel chooses.
	ReceiveBuffer int
	Log           *zap.Logger

	account *budget.Account
	start   time.Time
	counts  [reasons]atomic.Int64

	mu        sync.Mutex
	conns     map[*conn]struct{}
	addresses map[netip.Addr]int
	evicted   time.Duration // when connections were last searched for headroom
	logged    [reasons]int64
	loggedAt  time.Duration
}

const (
	// closeBatch is the part of a share that is freed at once, so that the connections
	// aren't searched again for each client.
	closeBatch = 32
	// headroomPart is the part of a share that is kept free for new connections, and
	// headroomInterval the least time between two searches for it.
	headroomPart     = 8
	headroomInterval = 20 * time.Millisecond
	// sweepInterval is the time between two checks for slow clients.
	sweepInterval = time.Second
	// logInterval is the least time between two log lines of a guard.
	logInterval = 10 * time.Second
	// peerStreams bounds the concurrent streams of a connection of HTTP/2, and
	// peerWindow the bytes of their bodies that wait to be read. An instance passes
	// its callers' requests on over one connection.
	peerStreams = 250
	peerWindow  = 128 << 10
)

// Server returns a server with the limits for the handler. The caller sets its timeouts,
// and serves on what Listener returns.
func (g *Guard) Server(h http.Handler) *http.Server {
	g.account, g.start = budget.NewAccount(g.Share.Bytes), time.Now()
	g.conns, g.addresses = map[*conn]struct{}{}, map[netip.Addr]int{}
	s := &http.Server{
		Handler:        &handler{g, h},
		MaxHeaderBytes: g.HeaderBytes,
		ConnState:      changeState,
		ConnContext:    func(x context.Context, c net.Conn) context.Context { return context.WithValue(x, connKey{}, c) },
	}
	if g.Peers {
		s.HTTP2 = &http.HTTP2Config{
			MaxConcurrentStreams: peerStreams, MaxReceiveBufferPerConnection: peerWindow, MaxReceiveBufferPerStream: peerWindow,
		}
	}
	return s
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func (g *Guard) now() time.Duration { return time.Since(g.start) }

// Listener returns a listener whose connections are limited. The given one is closed with it.
func (g *Guard) Listener(l net.Listener) net.Listener {
	if t, ok := l.(*net.TCPListener); ok && g.ReceiveBuffer > 0 {
		// Without the limits the kernel's defaults apply.
		_ = limitKernel(t, g.ReceiveBuffer, budget.Backlog)
	}
	return &listener{l, g}
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. Connections beyond the limits are refused and closed:
// if they were left waiting, the kernel would go on receiving for them.
func (l *listener) Accept() (net.Conn, error) {
	for {
		k, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(l.guard, k)
		if l.guard.admit(c) {
			return c, nil
		}
		// The send buffer of a new connection is empty, so this doesn't block.
		_, _ = k.Write(busyAnswer())
		_ = k.Close()
	}
}

// admit adds a connection, for which it closes others if need be.
func (g *Guard) admit(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.Share.Connections {
		g.evict(c, 0, g.Share.Connections/closeBatch+1)
	}
	limit, now := g.account.Limit(), g.now()
	if g.account.Used() > limit-limit/headroomPart && now-g.evicted > headroomInterval {
		g.evicted = now
		g.evict(c, limit/headroomPart/2, 0)
	}
	switch {
	case len(g.conns) >= g.Share.Connections:
		g.counts[noConnection].Add(1)
		return false
	case !g.account.Take(c.base):
		g.counts[noMemory].Add(1)
		return false
	}
	g.conns[c] = struct{}{}
	g.addresses[c.address]++
	return true
}

// remove forgets a connection. The caller holds mu.
func (g *Guard) remove(c *conn) {
	if _, known := g.conns[c]; !known {
		return
	}
	delete(g.conns, c)
	if g.addresses[c.address]--; g.addresses[c.address] == 0 {
		delete(g.addresses, c.address)
	}
}

// evict closes connections other than the given one, until the given numbers of bytes and
// connections are free or none may be closed. The caller holds mu. The memory is released
// by the server's goroutines, which may take a moment.
func (g *Guard) evict(self *conn, bytes int64, connections int) {
	all := make([]*conn, 0, len(g.conns))
	clients := make([]budget.Client, 0, len(g.conns))
	now := g.now()
	for c := range g.conns {
		if c == self {
			continue
		}
		x := c.client(now)
		x.Crowded = g.addresses[c.address]*len(g.addresses) > len(g.conns)
		all, clients = append(all, c), append(clients, x)
	}
	for _, k := range budget.Victims(now, clients, bytes, connections) {
		if all[k].abandon(now) {
			g.remove(all[k])
			g.counts[evicted].Add(1)
		}
	}
}

const (
	// reserveWait is the time between two attempts to reserve memory after connections
	// have been closed, and reserveTries their number.
	reserveWait  = 10 * time.Millisecond
	reserveTries = 20
)

// reserve reserves memory for a request. If there is none left, connections are closed and
// it waits shortly until their memory is released.
func (g *Guard) reserve(c *conn, n int64) bool {
	if g.account.Take(n) {
		c.request.Add(n)
		return true
	}
	if n+c.base <= g.account.Limit() {
		g.mu.Lock()
		g.evict(c, max(n, g.account.Limit()/closeBatch), 0)
		g.mu.Unlock()
		for range reserveTries {
			time.Sleep(reserveWait)
			if c.closing.Load() {
				break
			}
			if g.account.Take(n) {
				c.request.Add(n)
				return true
			}
		}
	}
	g.counts[noMemory].Add(1)
	return false
}

// Run closes connections that are too slow, and logs refusals, until the context ends.
func Run(c context.Context, guards ...*Guard) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-t.C:
			for _, g := range guards {
				g.sweep()
				g.log()
			}
		}
	}
}

func (g *Guard) sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for c := range g.conns {
		x := c.client(now)
		if c.http2.Load() && x.Stage != budget.Writing || !g.Limits.Slow(now, x) {
			continue // streams of HTTP/2 have their own deadlines
		}
		g.counts[slow].Add(1)
		if x.Stage == budget.Writing {
			_ = c.Conn.Close()
			continue
		}
		// The read in progress fails, and the handler answers.
		c.slow.Store(true)
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// Usage returns the bytes and connections in use.
func (g *Guard) Usage() (bytes int64, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.account.Used(), len(g.conns)
}
