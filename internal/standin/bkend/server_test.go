package bkend

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

type fixture struct {
	clock    *clock.Manual
	server   *Server
	observer *Observer
	client   *http.Client
}

func newFixture(t *testing.T) *fixture {
	r := &fixture{clock: clock.NewManual(time.Unix(1000, 0)), observer: NewObserver()}
	r.server = New("b1", "s", r.clock, r.observer, 1)
	if err := r.server.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{}
	r.client = &http.Client{Transport: transport}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = r.server.Stop()
	})
	return r
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r *fixture) post(c context.Context, id string) response {
	req, err := http.NewRequestWithContext(c, http.MethodPost, "http://"+r.server.Address()+"/x", nil)
	if err != nil {
		return response{err: err}
	}
	req.Header.Set(sched.HeaderRequestID, id)
	req.Header.Set(sched.HeaderUnrepeatable, "true")
	resp, err := r.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(body), err}
}

// Guards against a fault whose effect differs from its description, on which
// tests of the request path rely: whether the request runs, and what the caller
// receives.
func TestFaultsHaveTheirStatedEffect(t *testing.T) {
	tests := []struct {
		fault  Fault
		runs   int
		failed bool
		hangs  bool // until the caller cancels the request
		status int
		id     string
	}{
		{"", 1, false, false, 200, "id"},
		{FaultSilentBefore, 0, true, true, 0, ""},
		{FaultSilentAfter, 1, true, true, 0, ""},
		{FaultTruncated, 1, true, false, 200, "id"},
		{FaultWrongID, 1, false, false, 200, "other-id"},
		{FaultResetBefore, 0, true, false, 0, ""},
		{FaultResetAfter, 1, true, false, 0, ""},
		{FaultError, 1, false, false, 500, "id"},
		{FaultLate, 1, true, true, 0, ""}, // the manual clock doesn't move
	}
	for _, tt := range tests {
		t.Run(string(tt.fault), func(t *testing.T) {
			i := is.New(t)
			r := newFixture(t)
			r.server.SetFaults(Faults{LateBy: time.Hour})
			if tt.fault != "" {
				r.server.Inject(tt.fault, 1)
			}
			c, cancel := context.WithCancel(t.Context())
			defer cancel()
			if tt.hangs {
				go func() {
					defer cancel()
					for r.observer.Counts().Arrived == 0 || r.observer.Runs("id") < tt.runs {
						time.Sleep(time.Millisecond)
					}
				}()
			}
			g := r.post(c, "id")
			i.Equal(g.err != nil, tt.failed)
			i.Equal(g.status, tt.status)
			i.Equal(g.header.Get(sched.HeaderRequestID), tt.id)
			i.Equal(r.observer.Runs("id"), tt.runs)
			g = r.post(t.Context(), "next") // a new connection works
			i.NoErr(g.err)
			i.Equal(g.body, "s answered next\n")
		})
	}
}

// Guards against a server that runs more requests than it has slots, or that
// refuses a request without the header that says that it did not run.
func TestFullServerRefusesWithoutRunning(t *testing.T) {
	i := is.New(t)
	r := newFixture(t)
	r.server.Slots, r.server.MedianServiceTime = 2, time.Second
	var wait sync.WaitGroup
	for _, id := range []string{"a", "b"} {
		wait.Go(func() { i.Equal(r.post(t.Context(), id).status, 200) })
	}
	i.NoErr(r.clock.WaitSleepers(t.Context(), 2))
	g := r.post(t.Context(), "c")
	i.Equal(g.status, 503)
	i.Equal(g.header.Get(sched.HeaderNotRun), "true")
	i.Equal(g.header.Get(sched.HeaderFreeSlots), "0")
	r.clock.Advance(time.Second)
	wait.Wait()
	i.Equal(r.observer.Runs("c"), 0)
	r.server.SetLeaving(true)
	r.clock.Advance(3 * time.Second)
	g = r.post(t.Context(), "d")
	i.Equal(g.header.Get(sched.HeaderNotRun), "true")
	i.Equal(g.header.Get(sched.HeaderLeaving), "true")
	c := r.observer.Counts()
	i.Equal(c.Runs, int64(2))
	i.Equal(c.Refused, int64(2))
	i.Equal(c.LastAfterLeaving, 3*time.Second)
}

// Guards against a surplus connection that gets no answer, and against an
// observer that misses a duplicate run.
func TestSurplusConnectionIsRefusedAndDuplicatesAreCounted(t *testing.T) {
	i := is.New(t)
	r := newFixture(t)
	r.server.Connections, r.server.MedianServiceTime = 1, time.Second
	done := make(chan response, 1)
	go func() { done <- r.post(t.Context(), "a") }()
	i.NoErr(r.clock.WaitSleepers(t.Context(), 1))
	g := r.post(t.Context(), "b")
	i.NoErr(g.err)
	i.Equal(g.header.Get(sched.HeaderNotRun), "true")
	r.clock.Advance(time.Second)
	i.Equal((<-done).status, 200)
	r.server.MedianServiceTime = 0
	i.Equal(r.post(t.Context(), "a").status, 200)
	i.Equal(r.observer.Counts().DuplicateUnrepeatable, int64(1))
}
