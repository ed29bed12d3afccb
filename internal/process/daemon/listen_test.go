package daemon

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that occupy a connection forever with a body that
// never ends, and against a read deadline that stays armed after the body has
// arrived and ends long-running requests.
func TestBodyTimeEndsWithTheBody(t *testing.T) {
	i := is.New(t)
	reads := make(chan error, 1)
	const limit = 50 * time.Millisecond
	s := httptest.NewServer(limitBodyTime(limit, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		if err == nil {
			select {
			case <-r.Context().Done():
				err = r.Context().Err()
			case <-time.After(4 * limit):
			}
		}
		reads <- err
	})))
	defer s.Close()
	for _, body := range []struct {
		text string
		cut  bool
	}{{"12345", false}, {"12", true}} {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		i.NoErr(err)
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n"+body.text)
		i.NoErr(err)
		err = <-reads
		i.Equal(errors.Is(err, os.ErrDeadlineExceeded), body.cut)
		i.Equal(err == nil, !body.cut)
		_ = c.Close()
	}
}

// Guards against an error for an address in use that does not name the address
// and its purpose.
func TestAddressInUseNamesUseAndAddress(t *testing.T) {
	i := is.New(t)
	l, err := Listen("peers", "127.0.0.1:0")
	i.NoErr(err)
	defer func() { _ = l.Close() }()
	_, err = Listen("admin", l.Addr().String())
	var e *AddressError
	i.True(errors.As(err, &e))
	i.Equal(e.Purpose+" "+e.Address, "admin "+l.Addr().String())
}
