package peer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/process/peer"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// relay forwards connections. Connections up to the number in hung discard all
// data and stay open; later ones work.
type relay struct {
	net.Listener
	to    string
	conns atomic.Int32
	hung  atomic.Int32 // connections up to this number hang
}

func (r *relay) run() {
	for {
		in, err := r.Accept()
		if err != nil {
			return
		}
		n := r.conns.Add(1)
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		pass := func(to io.WriteCloser, from io.Reader) {
			defer func() { _ = to.Close() }()
			buffer := make([]byte, 64<<10)
			for {
				k, err := from.Read(buffer)
				if err != nil {
					return
				}
				if n > r.hung.Load() {
					_, _ = to.Write(buffer[:k])
				}
			}
		}
		go pass(out, in)
		go pass(in, out)
	}
}

// Guards against heartbeats over HTTP/1.1, which exceed the byte budget, and
// against an instance that a peer no longer reaches because the one HTTP/2
// connection between them hangs.
func TestHungConnectionIsReplaced(t *testing.T) {
	i := is.New(t)
	var major atomic.Int32
	m := http.NewServeMux()
	path, h := peer.Handler(&local{})
	m.Handle(path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		major.Store(int32(r.ProtoMajor))
		h.ServeHTTP(w, r)
	}))
	s := httptest.NewUnstartedServer(m)
	s.Config.Protocols = peer.Protocols()
	s.Start()
	defer s.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	defer func() { _ = l.Close() }()
	r := &relay{Listener: l, to: s.Listener.Addr().String()}
	go r.run()
	web := peer.HTTPClient()
	defer web.CloseIdleConnections()
	c := &peer.Client{HTTP: web, Timeout: 500 * time.Millisecond}
	_, err = c.Exchange(context.Background(), l.Addr().String(), sched.Heartbeat{From: "a"})
	i.NoErr(err)
	i.Equal(major.Load(), int32(2))
	r.hung.Store(r.conns.Load())
	for range 60 { // 30 s, ten times the time after which the ping closes the connection
		if _, err = c.Exchange(context.Background(), l.Addr().String(), sched.Heartbeat{From: "a"}); err == nil {
			break
		}
	}
	i.NoErr(err)
}
