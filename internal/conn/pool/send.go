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
	// errNoLength reports an answer that ends with its connection, so that a
	// cut can't be told from the end.
	errNoLength = errors.New("answer has no length")
	errSilent   = errors.New("connection made no progress while others did")
)

// exchange is one request on one connection.
type exchange struct {
	pool *Pool
	k    *conn
	req  *http.Request
	// release ends the watch over the caller's context.
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
	e := &exchange{pool: p, k: k, req: req}
	deadline, _ := c.Deadline()
	// A zero deadline clears that of an earlier request.
	_ = k.SetDeadline(deadline)
	e.release = context.AfterFunc(c, func() { _ = k.SetDeadline(past) })
	return e.run(r.ID)
}

func notRun(err error) sched.SendResult {
	return sched.SendResult{Outcome: sched.OutcomeRefusedNotRun, FreeSlots: -1, Err: err}
}

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

// run writes the request and reads the answer.
func (e *exchange) run(id string) sched.SendResult {
	k, s := e.k, e.k.server
	s.mu.Lock()
	s.tracker.Sent(k.track, e.pool.Clock.Now())
	s.mu.Unlock()
	before := k.wrote
	err := e.req.Write(k.writer)
	if err == nil {
		err = k.writer.Flush()
	}
	if err != nil {
		if k.wrote == before {
			e.abort()
			return notRun(fmt.Errorf("write request: %w", err))
		}
		return e.lost(fmt.Errorf("write request: %w", err))
	}
	a, err := e.readHead()
	if err != nil {
		return e.lost(fmt.Errorf("read answer: %w", err))
	}
	if a.Header.Get(sched.HeaderRequestID) != id {
		return e.lost(errWrongID)
	}
	return e.readBody(a)
}

// abort discards the connection.
func (e *exchange) abort() {
	e.release()
	e.k.server.discard(e.k)
}

// lost ends an exchange after which the request may have run.
func (e *exchange) lost(err error) sched.SendResult {
	silent := e.k.silent.Load()
	if silent {
		err = fmt.Errorf("%w: %w", errSilent, err)
	}
	e.abort()
	return sched.SendResult{Outcome: sched.OutcomeUnknown, FreeSlots: -1, Stalled: silent, Err: err}
}

// readHead skips interim answers.
func (e *exchange) readHead() (*http.Response, error) {
	for {
		a, err := http.ReadResponse(e.k.reader, e.req)
		if err != nil {
			return nil, err
		}
		if a.StatusCode >= http.StatusOK {
			return a, nil
		}
		if a.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("status %d", a.StatusCode)
		}
	}
}

// readBody reads the answer up to the buffer and hands on the rest of a larger
// one as a stream.
func (e *exchange) readBody(a *http.Response) sched.SendResult {
	if a.ContentLength < 0 && len(a.TransferEncoding) == 0 {
		return e.lost(errNoLength)
	}
	limit := e.pool.answerBuffer()
	result := classify(a)
	body, whole, err := readUpTo(a.Body, a.ContentLength, limit)
	if err != nil {
		return e.lost(fmt.Errorf("read answer: %w", err))
	}
	result.Answer = sched.Answer{Status: a.StatusCode, Header: a.Header, Body: body}
	keep := !a.Close && a.ProtoAtLeast(1, 1)
	if whole {
		e.done(keep)
		return result
	}
	s := e.k.server
	s.mu.Lock()
	s.tracker.StopDetection(e.k.track)
	s.mu.Unlock()
	result.Answer.Rest = &stream{e: e, body: a.Body, keep: keep}
	return result
}

// done returns the connection unless the context has ended meanwhile, in which
// case its deadline may have been touched.
func (e *exchange) done(keep bool) {
	keep = e.release() && keep && e.k.reader.Buffered() == 0
	e.k.server.finish(e.k, e.pool.Clock.Now(), keep)
}

// readUpTo reads the body up to the limit and tells whether that is all.
func readUpTo(body io.Reader, length, limit int64) ([]byte, bool, error) {
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

// classify reads the outcome from the head of an answer.
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

// stream is the rest of a large answer.
type stream struct {
	e     *exchange
	body  io.Reader
	keep  bool
	ended bool
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF if the answer is
// cut short.
func (s *stream) Read(b []byte) (int, error) {
	n, err := s.body.Read(b)
	if errors.Is(err, io.EOF) && !s.ended {
		s.ended = true
		s.e.done(s.keep)
	}
	return n, err
}

// Close implements io.Closer. A connection with unread bytes is discarded.
func (s *stream) Close() error {
	if !s.ended {
		s.ended = true
		s.e.abort()
	}
	return nil
}
