package site

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// streamPoll is the interval at which a chunk that is held up by a cut or a freeze
// checks whether it may pass.
const streamPoll = 20 * time.Millisecond

// openStream has the handler of another instance answer a call whose body the caller
// goes on writing. Chunks in both directions are delayed, held up while they are cut
// off or a process is frozen, and lost with a process that is killed.
func (w *peerTransport) openStream(r *http.Request, to *process) *http.Response {
	c, cancel := context.WithCancel(r.Context())
	request, response := w.carry(c, r.Body, w.from, to), &streamWriter{header: http.Header{}, began: make(chan struct{})}
	var out *io.PipeReader
	out, response.body = io.Pipe()
	inner := r.Clone(c)
	inner.ProtoMajor, inner.ProtoMinor, inner.Body = 2, 0, request
	go func() {
		defer cancel()
		to.entry.PeerHandler().ServeHTTP(response, inner)
		response.WriteHeader(http.StatusOK)
		_ = response.body.Close()
	}()
	<-response.began
	return &http.Response{
		Status: http.StatusText(response.status), StatusCode: response.status, Proto: "HTTP/2.0", ProtoMajor: 2,
		Header: response.sent, Trailer: response.header, Body: w.carry(c, out, to, w.from), ContentLength: -1, Request: r,
	}
}

// carry copies chunks from one process to another and returns the receiver's end.
func (w *peerTransport) carry(c context.Context, from io.ReadCloser, sender, receiver *process) io.ReadCloser {
	end, in := io.Pipe()
	stop := context.AfterFunc(c, func() {
		_ = in.CloseWithError(context.Canceled)
		_ = from.Close()
	})
	go func() {
		defer stop()
		chunk := make([]byte, 32<<10)
		for {
			n, err := from.Read(chunk)
			if n > 0 {
				if held := w.hold(c, sender, receiver); held != nil {
					err = held
				} else if _, failed := in.Write(chunk[:n]); failed != nil {
					err = failed
				}
			}
			if err != nil {
				_ = in.CloseWithError(err)
				_ = from.Close()
				return
			}
		}
	}()
	return end
}

// hold waits for the one-way delay, and for as long as a chunk between the processes is
// held up. It returns an error if the chunk is lost.
func (w *peerTransport) hold(c context.Context, sender, receiver *process) error {
	s := w.site
	if err := s.World.Clock.Sleep(c, s.Delay); err != nil {
		return err
	}
	for {
		s.mu.Lock()
		held := sender.dead || receiver.dead || s.cuts[[2]sched.InstanceID{sender.id, receiver.id}]
		s.mu.Unlock()
		if !held && s.World.Frozen(sender.id) == nil && s.World.Frozen(receiver.id) == nil {
			return nil
		}
		if err := s.World.Clock.Sleep(c, streamPoll); err != nil {
			return err
		}
	}
}

// streamWriter is an http.ResponseWriter whose body is read while it is written.
type streamWriter struct {
	header, sent http.Header
	status       int
	body         *io.PipeWriter
	// began is closed once the status and the header are set.
	began chan struct{}
}

// Header implements http.ResponseWriter. After WriteHeader it holds the trailers.
func (s *streamWriter) Header() http.Header { return s.header }

// WriteHeader implements http.ResponseWriter.
func (s *streamWriter) WriteHeader(status int) {
	if s.status != 0 {
		return
	}
	s.status, s.sent = status, s.header.Clone()
	close(s.began)
}

// Write implements http.ResponseWriter.
func (s *streamWriter) Write(data []byte) (int, error) {
	s.WriteHeader(http.StatusOK)
	return s.body.Write(data)
}

// Flush implements http.Flusher. Every write is passed on at once.
func (s *streamWriter) Flush() { s.WriteHeader(http.StatusOK) }
