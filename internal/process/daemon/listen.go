package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/process/guard"
	"github.com/parsleybarrow/parsleybarrow/pkg/budget"
)

const (
	// headerTimeout bounds the time for reading a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the largest request header, in bytes.
	maxHeaderBytes = 64 << 10
	// bodyTimeout bounds the time in which a caller sends a request body.
	bodyTimeout = 30 * time.Second
	// adminTimeout bounds the reading and the answering of one request of a peer
	// or of the admin interface.
	adminTimeout = 10 * time.Second
	// maxAdminBody is the largest body of an admin request, in bytes.
	maxAdminBody = 64 << 10
	// maxPeerBody is the largest body of a peer's call, in bytes.
	maxPeerBody = 4 << 20
)

// AddressError reports that listening on an address, or accepting connections
// on it, failed.
type AddressError struct {
	// Purpose is the purpose of the address, such as callers, peers or admin.
	Purpose string
	Address string
	Err     error
}

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("can't listen for %s on %s: %v", e.Purpose, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error { return e.Err }

// Listen opens a TCP listener. Its error is an *AddressError.
func Listen(use, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err == nil {
		return l, nil
	}
	var op *net.OpError
	if errors.As(err, &op) {
		// The other fields of an OpError repeat the address.
		err = op.Err
	}
	return nil, &AddressError{Purpose: use, Address: address, Err: err}
}

// newHTTPServer returns a server with the time limits that all listeners share, and the
// guard's. Reading a whole request and writing its answer are each bounded by whole; 0
// means no limit. Callers' requests use 0, as the deadline of each request
// bounds them.
func newHTTPServer(g *guard.Guard, h http.Handler, whole time.Duration) *http.Server {
	s := g.Server(h)
	s.ReadHeaderTimeout, s.ReadTimeout, s.WriteTimeout, s.IdleTimeout = headerTimeout, whole, whole, idleTimeout
	return s
}

// newGuard returns the guard of a listener.
func (d *Daemon) newGuard(use string, share budget.Share, receiveBuffer int) *guard.Guard {
	return &guard.Guard{
		Name: use, Share: share, Limits: d.Budget, HeaderBytes: maxHeaderBytes, Peers: use == "peers",
		ReceiveBuffer: receiveBuffer, Log: d.Logger,
	}
}

// limitBody bounds the body of every request to limit bytes.
func limitBody(limit int64, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		h.ServeHTTP(w, r)
	})
}

// shutdown lets the running requests of a server finish within the limit. It
// then closes the remaining connections and returns an error.
func shutdown(s *http.Server, limit time.Duration) error {
	c, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := s.Shutdown(c)
	if err != nil {
		_ = s.Close()
	}
	return err
}

// limitBodyTime bounds the time in which a caller sends the body. The server's
// ReadTimeout can't be used: it stays armed after the body has arrived and would
// end requests that run for longer.
func limitBodyTime(limit time.Duration, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			c := http.NewResponseController(w)
			if c.SetReadDeadline(time.Now().Add(limit)) == nil {
				r.Body = &timedBody{r.Body, c}
			}
		}
		h.ServeHTTP(w, r)
	})
}

// timedBody clears the connection's read deadline once the whole body has been
// read.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
