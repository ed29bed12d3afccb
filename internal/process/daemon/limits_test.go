package daemon_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/process/daemon"
	"github.com/parsleybarrow/parsleybarrow/pkg/budget"
)

// Guards against a listener whose open connections keep new clients out, or that has no
// bound on them.
func TestConnectionsWithoutRequestsGiveWay(t *testing.T) {
	r := newRig(t)
	r.apply(rigConfig)
	a := r.start("a", 1, func(d *daemon.Daemon) {
		d.Budget = budget.Of(64<<20, 400)
		d.Budget.Callers.Connections, d.Budget.Peers.Connections, d.Budget.Metrics.Connections = 8, 8, 8
	})
	r.ready(a)
	for _, l := range []net.Listener{a.CallerListener, a.PeerListener, a.AdminListener} {
		i := is.New(t)
		var open []net.Conn
		for range 16 {
			c, err := net.Dial("tcp", l.Addr().String())
			i.NoErr(err)
			open = append(open, c)
		}
		r.until("a new client is answered", func() bool {
			status, _ := get("http://" + l.Addr().String() + "/unknown")
			return status != 0 && status != http.StatusServiceUnavailable
		})
		// At most 8 are open; the others have been refused or closed.
		closed := 0
		for _, c := range open {
			_ = c.SetReadDeadline(time.Now().Add(time.Second / 4))
			if _, err := io.ReadAll(c); err == nil || !isTimeout(err) {
				closed++
			}
			_ = c.Close()
		}
		i.True(closed >= 8)
	}
}

func isTimeout(err error) bool {
	var x net.Error
	return errors.As(err, &x) && x.Timeout()
}
