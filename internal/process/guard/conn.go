package guard

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/budget"
)

// conn is a connection that counts what it receives.
type conn struct {
	net.Conn
	guard   *Guard
	address netip.Addr
	base    int64 // reserved for the connection
	// request is what is reserved for the request, in bytes.
	request atomic.Int64
	stage   atomic.Int32
	// began and last are times since the start of the guard: when the stage began and
	// when bytes last arrived. got is the number of bytes in the stage.
	began, last, got atomic.Int64
	// writing is when the write in progress began, 0 if there is none.
	writing atomic.Int64
	http2   atomic.Bool
	// streams counts requests of HTTP/2 in progress, of which reading are those whose
	// bodies are being received. Lasting ones don't count; hasLasting is set if there were any.
	streams, reading atomic.Int32
	hasLasting       atomic.Bool
	slow             atomic.Bool
	// closing is set before the connection is closed for others. A request that is about
	// to be decided checks it after the stage has changed, abandon the stage after
	// closing has changed, so that one of them gives way.
	closing  atomic.Bool
	released atomic.Bool

	// Used by the goroutine that reads; net/http orders them.
	lines, size int
	// tail is the cost of the last chunk as a header. It may contain the start of the
	// next request.
	tail int64
	seen bool // whether bytes have arrived
}

const (
	// chunkSize is the buffer through which net/http reads headers. Larger reads
	// contain only bytes of a body.
	chunkSize = 4 << 10
	// headerSlop is what net/http reads beyond http.Server.MaxHeaderBytes before it refuses
	// a header, with an answer that isn't JSON.
	headerSlop = 4 << 10
	http2Start = "PRI "
	// lastingIdle is the time without bytes after which a connection that has only
	// lasting streams counts as idle. Peers send pings after 2 s.
	lastingIdle = 10 * time.Second
)

func newConn(g *Guard, k net.Conn) *conn {
	c := &conn{Conn: k, guard: g, base: budget.ConnectionCost}
	if a, ok := k.RemoteAddr().(*net.TCPAddr); ok {
		c.address = a.AddrPort().Addr()
	}
	now := int64(g.now())
	c.began.Store(now)
	c.last.Store(now)
	return c
}

// enter begins a stage. It returns false if the connection is being closed.
func (c *conn) enter(s budget.Stage) bool {
	c.began.Store(int64(c.guard.now()))
	c.got.Store(0)
	c.stage.Store(int32(s))
	return !c.closing.Load()
}

// Read implements net.Conn. It ends with io.EOF once the request has been refused, after
// which net/http closes the connection without an answer of its own.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(p[:n]) {
		return 0, io.EOF
	}
	return n, err
}

// received counts bytes. It returns false if they make a header that is refused.
func (c *conn) received(p []byte) bool {
	c.last.Store(int64(c.guard.now()))
	c.got.Add(int64(len(p)))
	if c.http2.Load() {
		return true
	}
	if budget.Stage(c.stage.Load()) == budget.Idle {
		if !c.seen && c.guard.Peers && bytes.HasPrefix(p, []byte(http2Start)) {
			c.http2.Store(true)
			return c.guard.reserve(c, budget.PeerConnectionCost-budget.ConnectionCost)
		}
		c.lines, c.size, c.seen = 0, 0, true
		c.enter(budget.Header)
	}
	if len(p) > chunkSize {
		c.tail = 0
		return true
	}
	lines := bytes.Count(p, []byte("\n"))
	c.tail = budget.HeaderCost(lines, len(p))
	if budget.Stage(c.stage.Load()) != budget.Header {
		return true
	}
	c.lines += lines
	c.size += len(p)
	if c.lines > c.guard.Limits.HeaderLines || c.size >= c.guard.HeaderBytes+headerSlop {
		c.guard.counts[largeHeader].Add(1)
		c.refuse(largeHeaderAnswer)
		return false
	}
	if !c.guard.reserve(c, c.tail) {
		c.refuse(busyAnswer())
		return false
	}
	return true
}

const (
	// lingerTime and lingerBytes bound the reading of a refused request. If a connection
	// is closed before what has arrived is read, the client may lose the answer.
	lingerTime  = 100 * time.Millisecond
	lingerBytes = 64 << 10
)

// refuse answers a request whose header isn't taken.
func (c *conn) refuse(answer []byte) {
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	if _, err := c.Conn.Write(answer); err != nil || c.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Store(int64(c.guard.now()))
	n, err := c.Conn.Write(p)
	c.writing.Store(0)
	return n, err
}

// CloseWrite lets net/http close a connection so that the client gets the last answer.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. Only the server calls it, when it is done with the
// connection.
func (c *conn) Close() error {
	err := c.Conn.Close()
	if c.released.CompareAndSwap(false, true) {
		c.guard.mu.Lock()
		c.guard.remove(c)
		c.guard.mu.Unlock()
		c.guard.account.Give(c.base + c.request.Swap(0))
	}
	return err
}

// abandon closes the connection for others, unless its request is being decided.
func (c *conn) abandon(now time.Duration) bool {
	c.closing.Store(true)
	if c.client(now).Stage == budget.Deciding {
		c.closing.Store(false)
		return false
	}
	_ = c.Conn.Close()
	return true
}

// client returns the connection's state.
func (c *conn) client(now time.Duration) budget.Client {
	x := budget.Client{
		Stage: budget.Stage(c.stage.Load()), Began: time.Duration(c.began.Load()), Last: time.Duration(c.last.Load()),
		Got: c.got.Load(), Held: c.base + c.request.Load(),
	}
	if c.http2.Load() {
		switch streams := c.streams.Load(); {
		case streams > c.reading.Load():
			x.Stage = budget.Deciding
		case streams > 0:
			x.Stage = budget.Body
		case c.hasLasting.Load() && now-x.Last < lastingIdle:
			x.Stage = budget.Deciding
		default:
			x.Stage = budget.Idle
		}
	}
	if w := c.writing.Load(); w != 0 {
		x.Stage, x.Began, x.Got = budget.Writing, time.Duration(w), 0
	}
	return x
}

// changeState releases what a request has reserved once its connection is idle.
func changeState(k net.Conn, s http.ConnState) {
	c, ok := k.(*conn)
	if !ok || s != http.StateIdle || c.http2.Load() {
		return
	}
	held := c.request.Load()
	rest := min(c.tail, held)
	c.request.Add(rest - held)
	c.guard.account.Give(held - rest)
	c.enter(budget.Idle)
}
