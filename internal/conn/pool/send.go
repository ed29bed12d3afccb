package pool

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

var (
	errWrongID = errors.New("answer carries another request id")
	// errNoLength reports an answer that ends with its connection. A complete
	// answer can't be distinguished from one that was cut short.
	errNoLength = errors.New("answer has no length")
	errSilent   = errors.New("connection made no progress while others did")
)

// exchange is one request on one connection.
type exchange struct {
	pool *Pool
	conn *conn
	req  *http.Request
	// release stops the cancellation by the caller's context. It returns false
	// if the context has ended before.
	release func() bool
}

// Send implements sched.Sender.
func (p *Pool) Send(c context.Context, to sched.Member, r sched.Request, attempt int) sched.SendResult {
	req, err := makeRequest(to, r, attempt)
	if err != nil {
		return notRun(err)
	}
	if err := c.Err(); err != nil {
		return notRun(err)
	}
	k, err := p.take(c, to, r.Unrepeatable)
	if err != nil {
		return notRun(fmt.Errorf("connect to %s: %w", to.Address, err))
	}
	e := &exchange{pool: p, conn: k, req: req}
	deadline, _ := c.Deadline()
	// A zero deadline clears the deadline of an earlier request.
	_ = k.SetDeadline(deadline)
	e.release = context.AfterFunc(c, func() { _ = k.SetDeadline(pastDeadline) })
	return e.run(r.ID)
}

// notRun returns the result of a request of which nothing was written.
func notRun(err error) sched.SendResult {
	return sched.SendResult{Outcome: sched.OutcomeRefusedNotRun, FreeSlots: -1, Err: err}
}

// makeRequest builds the HTTP request with the headers of the protocol between
// instances and backend servers.
func makeRequest(to sched.Member, r sched.Request, attempt int) (*http.Request, error) {
	u, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return nil, fmt.Errorf("path of the request: %w", err)
	}
	h := make(http.Header, len(r.Header)+3)
	for name, values := range r.Header {
		h[name] = values
	}
	h[sched.HeaderRequestID] = []string{r.ID}
	h[sched.HeaderAttempt] = []string{strconv.Itoa(attempt)}
	if r.Unrepeatable {
		h[sched.HeaderUnrepeatable] = []string{"true"}
	}
	req := &http.Request{
		Method: r.Method, URL: u, Host: to.Address, Header: h,
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return req, nil
}

// run writes the request and reads the answer. The outcome is OutcomeUnknown for
// any failure after the first byte was written.
func (e *exchange) run(id string) sched.SendResult {
	k, s := e.conn, e.conn.server
	s.mu.Lock()
	s.tracker.Sent(k.tracked, e.pool.Clock.Now())
	s.mu.Unlock()
	before := k.writtenBytes
	err := e.req.Write(k.writer)
	if err == nil {
		err = k.writer.Flush()
	}
	if err != nil {
		if k.writtenBytes == before {
			e.abort()
			return notRun(fmt.Errorf("write request: %w", err))
		}
		return e.uncertain(fmt.Errorf("write request: %w", err))
	}
	a, err := e.readHead()
	if err != nil {
		return e.uncertain(fmt.Errorf("read answer: %w", err))
	}
	if a.Header.Get(sched.HeaderRequestID) != id {
		return e.uncertain(errWrongID)
	}
	return e.readBody(a)
}

// abort ends an exchange and discards the connection.
func (e *exchange) abort() {
	e.release()
	e.conn.server.discard(e.conn)
}

// uncertain ends an exchange after which the request may have run.
func (e *exchange) uncertain(err error) sched.SendResult {
	silent := e.conn.silent.Load()
	if silent {
		err = fmt.Errorf("%w: %w", errSilent, err)
	}
	e.abort()
	return sched.SendResult{Outcome: sched.OutcomeUnknown, FreeSlots: -1, Stalled: silent, Err: err}
}

// readHead reads the head of the final answer. It skips interim answers and
// rejects a switch of protocols.
func (e *exchange) readHead() (*http.Response, error) {
	for {
		a, err := http.ReadResponse(e.conn.reader, e.req)
		if err != nil {
			return nil, err
		}
		if a.StatusCode >= http.StatusOK {
			return a, nil
		}
		if a.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("unexpected status %d", a.StatusCode)
		}
	}
}

// readBody reads the body up to the size of the answer buffer and returns the
// rest of a larger one as a stream.
func (e *exchange) readBody(a *http.Response) sched.SendResult {
	if a.ContentLength < 0 && len(a.TransferEncoding) == 0 {
		return e.uncertain(errNoLength)
	}
	limit := e.pool.answerBuffer()
	result := classify(a)
	body, complete, err := readUpTo(a.Body, a.ContentLength, limit)
	if err != nil {
		return e.uncertain(fmt.Errorf("read answer: %w", err))
	}
	result.Answer = sched.Answer{Status: a.StatusCode, Header: a.Header, Body: body}
	keep := !a.Close && a.ProtoAtLeast(1, 1)
	if complete {
		e.done(keep)
		return result
	}
	s := e.conn.server
	s.mu.Lock()
	s.tracker.StopDetection(e.conn.tracked)
	s.mu.Unlock()
	result.Answer.Rest = &stream{exchange: e, body: a.Body, keep: keep}
	return result
}

// done ends an exchange whose answer was read completely. The connection is kept
// unless the context has ended, which may change its deadline, or unless it has
// received bytes after the answer.
func (e *exchange) done(keep bool) {
	keep = e.release() && keep && e.conn.reader.Buffered() == 0
	e.conn.server.finish(e.conn, e.pool.Clock.Now(), keep)
}

// readUpTo reads the body and reports whether it read all of it. If the length
// is known, it reads at most limit bytes, else at most limit+1.
func readUpTo(body io.Reader, length, limit int64) (data []byte, complete bool, err error) {
	if length > limit {
		b := make([]byte, limit)
		_, err := io.ReadFull(body, b)
		return b, false, err
	}
	if length >= 0 {
		b := make([]byte, length)
		if _, err := io.ReadFull(body, b); err != nil {
			return nil, false, err
		}
		return b, true, nil
	}
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	return b, int64(len(b)) <= limit, err
}

// classify returns the outcome, the free slots and the leaving state that the
// head of an answer gives. FreeSlots is -1 if it names none.
func classify(a *http.Response) sched.SendResult {
	r := sched.SendResult{Outcome: sched.OutcomeAnswered, FreeSlots: -1}
	if n, err := strconv.Atoi(a.Header.Get(sched.HeaderFreeSlots)); err == nil && n >= 0 {
		r.FreeSlots = n
	}
	r.Leaving = a.Header.Get(sched.HeaderLeaving) == "true"
	switch {
	case a.Header.Get(sched.HeaderNotRun) == "true":
		r.Outcome = sched.OutcomeRefusedNotRun
	case a.StatusCode >= http.StatusInternalServerError:
		r.Outcome = sched.OutcomeFailed
	}
	return r
}

// stream is the rest of a large answer. The connection stays in use until the
// stream is read to its end or closed.
type stream struct {
	exchange *exchange
	body     io.Reader
	// keep is set if the connection may be used again.
	keep bool
	// ended is set once the exchange has ended.
	ended bool
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF if the answer is
// cut short.
func (s *stream) Read(b []byte) (int, error) {
	n, err := s.body.Read(b)
	if errors.Is(err, io.EOF) && !s.ended {
		s.ended = true
		s.exchange.done(s.keep)
	}
	return n, err
}

// Close implements io.Closer. A connection with unread bytes is discarded.
func (s *stream) Close() error {
	if !s.ended {
		s.ended = true
		s.exchange.abort()
	}
	return nil
}
