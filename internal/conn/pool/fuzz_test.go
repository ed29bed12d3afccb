package pool_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/conn/pool"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a panic on malformed bytes from a backend server, and against
// an outcome other than unknown for an answer that doesn't carry the request id.
func FuzzAnswer(f *testing.F) {
	const id = "id-4711"
	for _, a := range []string{
		reply(id, "200 OK", ""), reply(id, "503 Busy", "Parsley-Not-Run: true\r\nParsley-Free-Slots: 0\r\n"),
		"HTTP/1.1 200 OK\r\nParsley-Request-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		f.Add([]byte(a))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p := &pool.Pool{Clock: realClock{}, AnswerBuffer: func() int64 { return 64 }}
		p.Dial = func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				_, _ = far.Read(make([]byte, 4096))
				go func() { _, _ = io.Copy(io.Discard, far) }()
				_, _ = far.Write(data)
				_ = far.Close()
			}()
			return near, nil
		}
		c, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		r := p.Send(c, sched.Member{Connections: 1}, request(id, false), 1)
		if r.Outcome != sched.OutcomeUnknown && !bytes.Contains(data, []byte(id)) {
			t.Fatalf("outcome %d without the id", r.Outcome)
		}
		if r.Answer.Rest != nil {
			_, _ = io.Copy(io.Discard, r.Answer.Rest)
			_ = r.Answer.Rest.Close()
		}
		p.Close()
	})
}
