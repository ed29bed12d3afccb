package guard_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/parsleybarrow/parsleybarrow/internal/process/guard"
	"github.com/parsleybarrow/parsleybarrow/pkg/budget"
)

// BenchmarkRequest compares requests with and without a guard over one connection.
func BenchmarkRequest(b *testing.B) {
	for _, version := range []string{"http1", "http2"} {
		for _, guarded := range []string{"plain", "guarded"} {
			b.Run(version+"/"+guarded, func(b *testing.B) { benchmark(b, version == "http2", guarded == "guarded") })
		}
	}
}

func benchmark(b *testing.B, http2, guarded bool) {
	k, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address := k.Addr().String()
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "ok")
	})
	web := &http.Server{Handler: h}
	if guarded {
		l := budget.Of(0, 0)
		g := &guard.Guard{Share: l.Peers, Limits: l, HeaderBytes: 16 << 10, Peers: http2}
		web = g.Server(h)
		k = g.Listener(k)
	}
	p := &http.Protocols{}
	p.SetHTTP1(!http2)
	p.SetUnencryptedHTTP2(http2)
	web.Protocols = p
	go func() { _ = web.Serve(k) }()
	defer func() { _ = web.Close() }()
	client := &http.Client{Transport: &http.Transport{Protocols: p}}
	defer client.CloseIdleConnections()
	body := strings.Repeat("x", 500)
	b.ReportAllocs()
	for b.Loop() {
		a, err := client.Post("http://"+address+"/", "text/plain", strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
	}
}
