package plat

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/standin/logsvc"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/roster"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/worker"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

func serve(t *testing.T, h http.Handler) *Client {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	c := New(s.URL)
	t.Cleanup(c.Close)
	return c
}

// Guards against a client and a handler of the stand-ins that encode a field
// differently or drop it.
func TestCallsCarryEverything(t *testing.T) {
	i := is.New(t)
	m := clock.NewManual(time.Unix(1_800_000_000, 5).UTC())
	log := logsvc.New(m, 1, logsvc.Retention{Records: 2})
	list := roster.New(m, 0)
	pool := worker.NewPool(worker.Config{Clock: m})
	w := sched.Member{
		ID: "w/1", Incarnation: 3, Role: sched.RoleWorker, State: sched.StateLive, Region: "r", DataCentre: "d",
		Rack: "k", Service: "s", Slots: 8, Connections: 64, Host: "h",
		Capacity: sched.Resources{Processors: 3000, Memory: 2, Accelerators: 1},
	}
	list.PutNow(w)
	pool.Add(w)
	mux := http.NewServeMux()
	mux.Handle("/log/", logsvc.Handler(log))
	mux.Handle("/roster/", roster.Handler(list))
	mux.Handle("/workers/", worker.Handler(pool))
	c := serve(t, mux)

	for n, data := range []string{"a", "", "\x00\xff"} {
		o, err := c.Append(t.Context(), "tasks/d&x=1", []byte(data))
		i.NoErr(err)
		i.Equal(o, sched.Offset(n+1))
	}
	p, err := c.Read(t.Context(), "tasks/d&x=1", 2, 10)
	i.NoErr(err)
	i.Equal(p, sched.Page{Earliest: 2, Next: 4, Records: []sched.Record{{Offset: 2, Data: []byte{}}, {Offset: 3, Data: []byte("\x00\xff")}}})
	_, err = c.Read(t.Context(), "tasks/d&x=1", 1, 10)
	var trimmed *sched.TrimmedError
	i.True(errors.As(err, &trimmed))
	i.Equal(*trimmed, sched.TrimmedError{Stream: "tasks/d&x=1", From: 1, Earliest: 2})

	members, err := c.Members(t.Context())
	i.NoErr(err)
	i.Equal(members, []sched.Member{w})

	call := sched.WorkerCall{Term: 4, NotAfter: m.Now().Add(time.Minute), Commands: []sched.Command{{
		Kind: sched.CommandStart, Task: "t", Attempt: 2, TaskKind: "k", Needs: sched.Resources{Processors: 5},
	}}}
	got, err := c.Exchange(t.Context(), w, call)
	i.NoErr(err)
	want, err := pool.Exchange(t.Context(), w, sched.WorkerCall{Term: 4, NotAfter: call.NotAfter})
	i.NoErr(err)
	i.Equal(got, want)
	i.Equal(got.Attempts[0].State, sched.AttemptRunning)
}

// Guards against a call that may have had an effect and is reported as
// unavailable, so that an intent or a task runs twice, and against a call
// without effect that is reported as uncertain, so that work is refused
// needlessly.
func TestErrorsAreMappedExactly(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := "http://" + closed.Addr().String()
	_ = closed.Close()
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    error
	}{
		{"connection refused", nil, sched.ErrUnavailable},
		{"explicit refusal", answer(503, `{"code":"unavailable"}`), sched.ErrUnavailable},
		{"refusal by somebody else", answer(503, `busy`), sched.ErrUncertain},
		{"unknown refusal", answer(503, `{"code":"later"}`), sched.ErrUncertain},
		{"closed without an answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, sched.ErrUncertain},
		{"no answer in time", silent, sched.ErrUncertain},
		{"garbage", answer(200, `{"offset":"x"}`), sched.ErrUncertain},
		{"offset below 1", answer(200, `{"offset":0}`), sched.ErrUncertain},
		{"too long", answer(200, strings.Repeat(" ", 2000)+`{"offset":1}`), sched.ErrUncertain},
		{"redirect", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/x", http.StatusTemporaryRedirect) }, sched.ErrUncertain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			i := is.New(t)
			c := New(refusing)
			if tt.handler != nil {
				c = serve(t, tt.handler)
			}
			c.Timeout, c.BodyLimit = 300*time.Millisecond, 1000
			_, err := c.Append(t.Context(), "x", []byte("a"))
			other := map[error]error{sched.ErrUnavailable: sched.ErrUncertain, sched.ErrUncertain: sched.ErrUnavailable}[tt.want]
			i.True(errors.Is(err, tt.want))
			i.True(!errors.Is(err, other))
			_, err = c.Exchange(t.Context(), sched.Member{ID: "w"}, sched.WorkerCall{})
			i.True(errors.Is(err, tt.want))
			_, err = c.Read(t.Context(), "x", 1, 1)
			i.True(errors.Is(err, sched.ErrUnavailable)) // a read has no effect
		})
	}
}

// silent never answers. It reads the body first, because the server watches for
// the end of the connection only after that.
func silent(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// Guards against a client that takes the page of another offset for the answer
// to its read.
func TestPageOfAnotherOffsetIsRefused(t *testing.T) {
	i := is.New(t)
	c := serve(t, answer(200, `{"earliest":1,"next":9,"first":3,"records":["YQ=="]}`))
	_, err := c.Read(t.Context(), "x", 2, 5)
	i.True(errors.Is(err, sched.ErrUnavailable))
}

// Guards against a list that is transferred at every read although it is
// unchanged, and against a change that is hidden by an old entity tag.
func TestUnchangedListCostsNoBytes(t *testing.T) {
	i := is.New(t)
	list := roster.New(clock.System{}, 0)
	for n := range 200 {
		list.PutNow(sched.Member{ID: sched.InstanceID(fmt.Sprintf("w%03d", n)), Role: sched.RoleWorker, State: sched.StateLive})
	}
	c := serve(t, roster.Handler(list))
	first, err := c.Members(t.Context())
	i.NoErr(err)
	_, whole := c.BodyBytes()
	for range 10 {
		again, err := c.Members(t.Context())
		i.NoErr(err)
		i.Equal(again, first)
	}
	_, after := c.BodyBytes()
	i.Equal(after, whole)
	list.PutNow(first[7].WithState(sched.StateLeaving))
	changed, err := c.Members(t.Context())
	i.NoErr(err)
	i.Equal(changed[7].State, sched.StateLeaving)
}
