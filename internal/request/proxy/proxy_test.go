package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/standin/logsvc"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

func newID() string { return uuid.Must(uuid.NewV7()).String() }

// Guards against a repeat of an unrepeatable id that runs again, or that gets
// another answer than the kept one, at the same or at another instance.
func TestRepeatGetsTheKeptAnswer(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2)
	other := r.another(t)
	id := newID()
	for n, e := range []*rig{r, r, other, other} {
		a, body, err := e.call(t, "abc", sched.HeaderUnrepeatable, "true", sched.HeaderRequestID, id)
		is.NoErr(err)
		is.Equal(a.Header.Get(sched.HeaderCode), []string{"100", "102", "102", "102"}[n])
		is.Equal(body, "run abc")
		is.NoErr(r.keeper.Flush(t.Context()))
	}
	is.Equal(r.ran(id), 1)
	is.Equal(r.AnsweredTotals(), []sched.PartnerTotal{{Partner: "tunog", Service: "echo", Answers: 1}})
}

// Guards against two runs of an unrepeatable id that reaches two instances at
// the same time.
func TestSameIDAtTwoInstances(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2)
	other := r.another(t)
	for range 20 {
		id := newID()
		codes := make(chan string, 4)
		for _, e := range []*rig{r, other, r, other} {
			go func() {
				a, _, err := e.call(t, "x", sched.HeaderUnrepeatable, "true", sched.HeaderRequestID, id)
				if err != nil {
					codes <- err.Error()
					return
				}
				codes <- a.Header.Get(sched.HeaderCode)
			}()
		}
		answered := 0
		for range 4 {
			switch c := <-codes; c {
			case "100":
				answered++
			case "102", "301":
			default:
				t.Fatalf("code %s", c)
			}
		}
		is.Equal(answered, 1)
		is.Equal(r.ran(id), 1)
	}
}

// refuse returns a handler that refuses without running the request.
func refuse(headers ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(sched.HeaderNotRun, "true")
		for _, h := range headers {
			w.Header().Set(h, "true")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Guards against wrong outcomes and codes. Each row gives the behavior of both
// backend servers and the code and outcome that the caller must get.
func TestOutcomes(t *testing.T) {
	cut := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	fails := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	once, twice := []string{sched.HeaderUnrepeatable, "true"}, []string(nil)
	for _, c := range []struct {
		name     string
		handlers []http.HandlerFunc
		headers  []string
		logDown  bool
		code     string
		outcome  string
	}{
		{"refused by both", []http.HandlerFunc{refuse(), refuse()}, twice, false, "410", "refusedNotRun"},
		{"refused by both, unrepeatable", []http.HandlerFunc{refuse(), refuse()}, once, false, "410", "refusedNotRun"},
		{"refused by one", []http.HandlerFunc{refuse(), nil}, once, false, "100", "answered"},
		{"leaving", []http.HandlerFunc{refuse(sched.HeaderLeaving), refuse(sched.HeaderLeaving)}, once, false, "413", "refusedNotRun"},
		{"cut, repeatable", []http.HandlerFunc{cut, nil}, twice, false, "100", "answered"},
		{"cut, unrepeatable", []http.HandlerFunc{cut, cut}, once, false, "300", "unknown"},
		{"cut by both", []http.HandlerFunc{cut, cut}, twice, false, "300", "unknown"},
		{"fails", []http.HandlerFunc{fails, fails}, twice, false, "200", "failed"},
		{"log down, unrepeatable", nil, once, true, "416", "refusedNotRun"},
		{"log down, repeatable", nil, twice, true, "100", "answered"},
		{"unknown partner", nil, []string{sched.HeaderPartner, "nobody"}, false, "402", "refusedNotRun"},
		{"id is no UUIDv7", nil, []string{sched.HeaderUnrepeatable, "true", sched.HeaderRequestID, "7"}, false, "403", "refusedNotRun"},
		{"old id", nil, []string{sched.HeaderUnrepeatable, "true", sched.HeaderRequestID, "01890000-0000-7000-8000-000000000000"}, false, "404", "refusedNotRun"},
		{"bad deadline", nil, []string{sched.HeaderDeadline, "-1"}, false, "400", "refusedNotRun"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, 2)
			r.set(c.handlers...)
			r.log.SetFaults(logsvc.Faults{Outage: c.logDown})
			headers := append([]string{sched.HeaderRequestID, newID(), sched.HeaderDeadline, "5000"}, c.headers...)
			a, _, err := r.call(t, "abc", headers...)
			is.NoErr(err)
			is.Equal(a.Header.Get(sched.HeaderCode), c.code)
			is.Equal(a.Header.Get(sched.HeaderOutcome), c.outcome)
			if c.outcome == "refusedNotRun" {
				is.Equal(r.ran(""), 0)
			}
		})
	}
}

// Guards against a large answer that is cut short but looks complete to the
// caller.
func TestLargeAnswer(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1)
	part := strings.Repeat("x", 100<<10)
	for _, whole := range []bool{true, false} {
		r.set(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(2*len(part)))
			_, _ = w.Write([]byte(part))
			if !whole {
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write([]byte(part))
		})
		_, body, err := r.call(t, "abc")
		is.Equal(err == nil, whole)
		is.Equal(body == part+part, whole)
	}
	is.Equal(r.InFlight(), 0)
}

// Guards against a drain that cuts a running request or accepts a new one.
func TestDrain(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2)
	finish := make(chan struct{})
	slow := func(w http.ResponseWriter, _ *http.Request) { <-finish; _, _ = w.Write([]byte("done")) }
	r.set(slow, slow)
	const requests = 8
	var group sync.WaitGroup
	for n := range requests {
		group.Go(func() {
			_, body, err := r.call(t, "x", sched.HeaderUnrepeatable, fmt.Sprint(n%2 == 0), sched.HeaderRequestID, newID())
			if err != nil || body != "done" {
				t.Errorf("running request got %q, %v", body, err)
			}
		})
	}
	for r.SendCount() < requests {
		time.Sleep(time.Millisecond)
	}
	short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	is.True(r.Drain(short) != nil) // requests still run
	a, _, err := r.call(t, "x")
	is.NoErr(err)
	is.Equal(a.Header.Get(sched.HeaderCode), "414")
	close(finish)
	is.NoErr(r.Drain(t.Context()))
	group.Wait()
	is.NoErr(r.keeper.Flush(t.Context()))
}

// Guards against requests that are missing in the counts under overload, and
// against runs of requests that were refused.
func TestCountsUnderOverload(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1)
	const requests = 400
	var group sync.WaitGroup
	for range requests {
		group.Go(func() {
			_, _, _ = r.call(t, "x", sched.HeaderDeadline, "500", sched.HeaderUnrepeatable, "true", sched.HeaderRequestID, newID())
		})
	}
	group.Wait()
	counts, sum := r.CountsByCode(), uint64(0)
	for _, n := range counts {
		sum += n
	}
	is.Equal(sum, uint64(requests))
	ran := uint64(r.ran(""))
	is.True(counts[sched.CodeAnswered] <= ran)
	is.True(ran <= counts[sched.CodeAnswered]+counts[sched.CodeUnknown])
}

// Guards against the outcome "not run" for an id that an earlier send did run: an
// instance that refuses a repeat before it has read the log doesn't know about
// the earlier send.
func TestRefusalOfARepeatIsNotCalledNotRun(t *testing.T) {
	is := is.New(t)
	first := newRig(t, 1)
	second := first.another(t)
	id := newID()
	_, _, err := first.call(t, "x", sched.HeaderUnrepeatable, "true", sched.HeaderRequestID, id)
	is.NoErr(err)
	is.NoErr(second.Drain(t.Context()))
	for _, row := range []struct {
		id, repeat, outcome string
	}{
		{id, "true", "unknown"},
		{newID(), "true", "unknown"},
		{newID(), "false", "refusedNotRun"},
	} {
		a, _, err := second.call(t, "x", sched.HeaderUnrepeatable, "true", sched.HeaderRequestID, row.id, sched.HeaderRepeat, row.repeat)
		is.NoErr(err)
		is.Equal(a.Header.Get(sched.HeaderOutcome), row.outcome)
	}
	is.Equal(first.ran(id), 1)
}
