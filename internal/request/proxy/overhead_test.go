package proxy_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// BenchmarkOverhead measures the latency that an entry instance adds to a request
// on loopback. Each iteration makes a direct call and a call through the proxy.
// The target is under 150 microseconds at the median. The figure includes the
// additional pass over loopback.
func BenchmarkOverhead(b *testing.B) {
	r := newRig(b, 4)
	clients := [2]*http.Client{{Transport: &http.Transport{}}, {Transport: &http.Transport{}}}
	urls := [2]string{"http://" + r.members[0].Address + "/do", r.entry.URL + "/services/echo/do"}
	var took [2][]time.Duration
	b.ReportAllocs()
	for b.Loop() {
		for n, c := range clients {
			start := time.Now()
			q, err := http.NewRequest(http.MethodPost, urls[n], strings.NewReader("question"))
			if err != nil {
				b.Fatal(err)
			}
			q.Header[sched.HeaderPartner] = []string{"tunog"}
			a, err := c.Do(q)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, a.Body)
			_ = a.Body.Close()
			took[n] = append(took[n], time.Since(start))
		}
	}
	for n := range took {
		slices.Sort(took[n])
	}
	median := func(n int) float64 { return float64(took[n][len(took[n])/2]) / float64(time.Microsecond) }
	b.ReportMetric(median(0), "directMicros")
	b.ReportMetric(median(1), "proxyMicros")
	b.ReportMetric(median(1)-median(0), "addedMicros")
}
