package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// headerTime bounds the reading of a request's header.
	headerTime = 5 * time.Second
	// idleTime bounds how long an idle connection of a caller is kept.
	idleTime = 2 * time.Minute
	// maxHeader bounds a request's header in bytes.
	maxHeader = 64 << 10
	// bodyTime bounds the time in which a caller sends a body.
	bodyTime = 30 * time.Second
	// adminTime bounds one request of the admin surface and of peers.
	adminTime = 10 * time.Second
	// maxAdminBody bounds the body of an admin request in bytes.
	maxAdminBody = 64 << 10
	// maxPeerBody bounds the body of a peer's call in bytes.
	maxPeerBody = 4 << 20
)

// AddressError reports an address that can't be listened on.
type AddressError struct {
	// Use is what the address is for: callers, peers or admin.
	Use     string
	Address string
	Err     error
}

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("can't listen for %s on %s: %v", e.Use, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error { return e.Err }

// Listen opens a listener, or returns an *AddressError.
func Listen(use, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err == nil {
		return l, nil
	}
	var op *net.OpError
	if errors.As(err, &op) {
		// The rest of an OpError repeats the address.
		err = op.Err
	}
	return nil, &AddressError{Use: use, Address: address, Err: err}
}

// httpServer returns a server with the time limits that all listeners share.
// Callers' requests have no write limit here: the deadline of the request
// bounds them.
func httpServer(h http.Handler, whole time.Duration) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTime,
		ReadTimeout:       whole,
		WriteTimeout:      whole,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    maxHeader,
	}
}

// limitBody bounds the body of every request.
func limitBody(limit int64, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		h.ServeHTTP(w, r)
	})
}

// shutdown stops a server within the limit and cuts what is left.
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
// own read limit would go on after the body and end requests that run for
// long.
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

// timedBody lifts the deadline once the whole body has arrived.
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
