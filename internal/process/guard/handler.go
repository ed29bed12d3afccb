package guard

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/budget"
)

// handler limits the requests of a guard.
type handler struct {
	guard *Guard
	next  http.Handler
}

// discardTime bounds the reading of what is left of a body after its request has been
// answered.
const discardTime = time.Second

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	switch {
	case !ok:
		h.next.ServeHTTP(w, r)
	case r.ProtoMajor == 2:
		h.serveStream(w, r, c)
	case r.Body == nil || r.Body == http.NoBody:
		if !c.enter(budget.Deciding) {
			panic(http.ErrAbortHandler)
		}
		h.next.ServeHTTP(w, r)
	default:
		if !c.enter(budget.Deciding) {
			panic(http.ErrAbortHandler)
		}
		b := &body{ReadCloser: r.Body, conn: c, length: r.ContentLength}
		h.next.ServeHTTP(w, withBody(r, b))
		if !b.ended && !c.slow.Load() {
			_ = c.SetReadDeadline(time.Now().Add(discardTime))
		}
	}
}

// withBody returns a shallow copy of a request with another body. net/http needs its own
// request unchanged.
func withBody(r *http.Request, b io.ReadCloser) *http.Request {
	out := *r
	out.Body = b
	return &out
}

// body reserves the memory for a body before it is read.
type body struct {
	io.ReadCloser
	conn *conn
	// length is the declared length, -1 if there is none.
	length, read, held int64
	stream             bool
	// begun is set by the first read: a client can't be blamed while its body isn't
	// read. ended is set at the end of the body.
	begun, ended bool
	err          error
}

// Read implements io.Reader. Its error is a *budget.RefusedError if there is no memory or the
// client is too slow.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if !b.begun && !b.begin() {
		b.err = &budget.RefusedError{RetryAfter: retryAfter()}
		return 0, b.err
	}
	if more := budget.BodyCost(b.length, b.read) - b.held; more > 0 {
		if !b.conn.guard.reserve(b.conn, more) {
			b.err = &budget.RefusedError{RetryAfter: retryAfter()}
			return 0, b.err
		}
		b.held += more
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.ended = true
		if !b.decide() {
			err = &budget.RefusedError{RetryAfter: retryAfter()}
		}
	case errors.Is(err, os.ErrDeadlineExceeded) && (b.stream || b.conn.slow.Load()):
		err = &budget.RefusedError{Slow: true}
	}
	b.err = err
	return n, err
}

// begin tells that the body is being received. It returns false if the connection is
// being closed.
func (b *body) begin() bool {
	b.begun = true
	if b.stream {
		b.conn.reading.Add(1)
		return !b.conn.closing.Load()
	}
	return b.conn.enter(budget.Body)
}

// decide tells that the body has arrived. It returns false if the connection is being
// closed.
func (b *body) decide() bool {
	if b.stream {
		b.conn.reading.Add(-1)
		return !b.conn.closing.Load()
	}
	return b.conn.enter(budget.Deciding)
}

// serveStream handles a request of HTTP/2, which shares its connection with others.
func (h *handler) serveStream(w http.ResponseWriter, r *http.Request, c *conn) {
	if h.guard.Lasting != nil && h.guard.Lasting(r.URL.Path) {
		c.hasLasting.Store(true)
		h.next.ServeHTTP(w, r)
		return
	}
	c.streams.Add(1)
	defer c.streams.Add(-1)
	if c.closing.Load() {
		panic(http.ErrAbortHandler)
	}
	cost := streamCost + budget.HeaderCost(len(r.Header), 0)
	if !h.guard.reserve(c, cost) {
		answerBusy(w)
		return
	}
	b := &body{ReadCloser: r.Body, conn: c, length: r.ContentLength, stream: true}
	defer func() {
		c.request.Add(-cost - b.held)
		h.guard.account.Give(cost + b.held)
	}()
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		h.next.ServeHTTP(w, r)
		return
	}
	defer func() {
		if b.begun && !b.ended {
			c.reading.Add(-1)
		}
	}()
	// A stream has no part of its own in the deadlines of the connection.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.guard.Limits.Stall))
	h.next.ServeHTTP(w, withBody(r, b))
}

// streamCost is the memory of a request of HTTP/2 without its header lines and body: a
// goroutine, buffers and the objects of the handler, in bytes.
const streamCost = 16 << 10
