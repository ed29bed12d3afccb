package entry_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/world"
	"github.com/parsleybarrow/parsleybarrow/internal/process/entry"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// pipeListener takes connections in memory, so that tests run on virtual time.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func (l *pipeListener) dial(c context.Context, _, _ string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	select {
	case l.connections <- theirs:
		return ours, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-c.Done():
		return nil, c.Err()
	}
}

// Guards against a call that a stopping instance has taken and never answers: it was
// cut off at the end of the drain, also when the caller had sent it seconds after
// SIGTERM on a connection that was open before.
func TestCallsTakenWhileStoppingAreAnsweredBeforeTheEnd(t *testing.T) {
	rows := []struct {
		name string
		sent time.Duration // after SIGTERM
	}{
		{"before SIGTERM", -100 * time.Millisecond},
		{"long after SIGTERM", 3 * time.Second},
		{"just before the end", 4900 * time.Millisecond},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			noReload := func(*entry.Entry) {}
			synctest.Test(t, func(t *testing.T) { is.New(t).True(stopDuringCall(t, row.sent, noReload) < stopGrace) })
		})
	}
}

// Guards against a drain that goes on until SIGKILL, which the platform sends when the grace
// period of the time of SIGTERM is over, because the settings name a longer one since.
func TestAReloadDuringTheDrainDoesNotExtendIt(t *testing.T) {
	rows := []struct {
		name    string
		grace   time.Duration // read a second after SIGTERM
		longest time.Duration // from SIGTERM to the end
	}{
		{"longer", time.Minute, stopGrace},
		{"shorter", 3 * time.Second, 3 * time.Second},
		{"over already", 500 * time.Millisecond, 1500 * time.Millisecond},
		{"none", 0, 1500 * time.Millisecond},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reload := func(e *entry.Entry) {
					time.Sleep(time.Second)
					e.Reload(cell.Options{}, row.grace)
				}
				is.New(t).True(stopDuringCall(t, -100*time.Millisecond, reload) < row.longest)
			})
		})
	}
}

// stopGrace is the grace period of the instances that stopDuringCall stops.
const stopGrace = 6 * time.Second

// stopDuringCall stops an instance whose calls take until their contexts end, and
// checks that one that is sent at the given time after SIGTERM is answered. It calls
// afterStop right after SIGTERM and returns the time from there to the end.
func stopDuringCall(t *testing.T, sent time.Duration, afterStop func(*entry.Entry)) time.Duration {
	i := is.New(t)
	w := &world.World{Clock: clock.System{}, Heartbeat: time.Second}
	w.Begin()
	side := w.NewClient("entry", world.Path{}, world.Path{})
	l := &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
	e := &entry.Entry{
		Self:  peers.Instance{ID: "entry", Incarnation: 1, Address: "entry:1"},
		Store: side, Registry: side, Runner: side, Clock: w.Clock, Log: zap.NewNop(), WorkersPerCell: 1,
		CallerListener: l,
		CallerHandler: func(sched.JobService) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, "not run")
			})
		},
	}
	e.Reload(cell.Options{}, stopGrace)
	c, stop := context.WithCancel(t.Context())
	ended := make(chan time.Time, 1)
	go func() {
		_ = e.Run(c)
		ended <- time.Now()
	}()
	web := &http.Client{Transport: &http.Transport{DialContext: l.dial, DisableKeepAlives: true}}
	call := func() error {
		r, err := web.Get("http://127.0.0.1:1/")
		if err != nil {
			return err
		}
		defer func() { _ = r.Body.Close() }()
		_, err = io.ReadAll(r.Body)
		return err
	}
	time.Sleep(time.Second)
	failed := make(chan error, 2)
	if sent > 0 { // another call keeps the instance from ending early
		go func() { failed <- call() }()
	}
	time.AfterFunc(200*time.Millisecond+sent, func() { failed <- call() })
	time.Sleep(200 * time.Millisecond)
	stopped := time.Now()
	stop()
	afterStop(e)
	i.NoErr(<-failed)
	if sent > 0 {
		i.NoErr(<-failed)
	}
	return (<-ended).Sub(stopped)
}
