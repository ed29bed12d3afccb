package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/bench/batch"
)

// BenchmarkUrgentStart measures how long urgent tasks wait for their start in
// virtual time, and which share of a core the planner needs in real time.
func BenchmarkUrgentStart(b *testing.B) {
	for _, c := range []batch.Scale{
		{Workers: 390, Running: 9400, StartsPerSecond: 27, Duration: 10 * time.Second},
		{Workers: 3900, Running: 94_000, StartsPerSecond: 270, Duration: 10 * time.Second},
		// The workers are full, so that each urgent task needs an eviction.
		{Workers: 390, Running: 12_480, StartsPerSecond: 27, Duration: 10 * time.Second},
	} {
		name := fmt.Sprintf("workers=%d/running=%d/starts=%d", c.Workers, c.Running, c.StartsPerSecond)
		b.Run(name, func(b *testing.B) {
			s := c.Prepare(batchSeed)
			if n := s.Observer.Starts; n != c.Running {
				b.Fatalf("%d of %d tasks run", n, c.Running)
			}
			b.ResetTimer()
			var r batch.ScaleResult
			for range b.N {
				r = c.Measure(s, batchSeed)
			}
			if len(r.Violations) > 0 {
				b.Fatal(r.Violations)
			}
			b.ReportMetric(float64(r.Median)/float64(r.Tick), "median-ticks")
			b.ReportMetric(float64(r.P99)/float64(r.Tick), "p99-ticks")
			b.ReportMetric(float64(r.Started), "started")
			b.ReportMetric(float64(r.Evictions), "evictions")
			b.ReportMetric(r.CallsPerSecond, "calls/s")
			b.ReportMetric(100*r.CoreShare, "core%")
			b.ReportMetric(r.RecordBytes, "recordBytes/start")
		})
	}
}
