package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// echo is a sender that answers every send with the body of the request.
type echo struct{}

func (echo) Send(_ context.Context, _ sched.Member, r sched.Request, _ int) sched.SendResult {
	return sched.SendResult{Outcome: sched.OutcomeAnswered, FreeSlots: 8, Answer: sched.Answer{Status: 200, Body: r.Body}}
}

// Guards against a request that makes the proxy panic or that gets a response
// without an outcome or a code.
func FuzzRequest(f *testing.F) {
	r := newRig(f, 1)
	r.Sender, r.Claimer = echo{}, nil
	f.Add([]byte("POST /services/echo/a?b=c HTTP/1.1\r\nHost: x\r\nParsley-Partner: tunog\r\nParsley-Deadline-Millis: 9\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("GET /services/echo HTTP/1.1\r\nHost: x\r\nParsley-Unrepeatable: true\r\nParsley-Request-Id: 01890000-0000-7000-8000-000000000000\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		q, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		w := httptest.NewRecorder()
		r.ServeHTTP(w, q)
		if w.Header().Get(sched.HeaderOutcome) == "" || w.Header().Get(sched.HeaderCode) == "" {
			t.Fatalf("no outcome, status %d", w.Code)
		}
	})
}
