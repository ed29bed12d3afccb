package bench

import (
	"testing"

	"github.com/parsleybarrow/parsleybarrow/internal/bench/mixed"
)

const mixedSeed = 1

// benchmarkMixed compares policies that limit the interference of batch tasks
// with services on the same workers.
func benchmarkMixed(b *testing.B) {
	for _, p := range []mixed.Policy{mixed.Baseline(), mixed.Current()} {
		b.Run("interference/"+p.Name, func(b *testing.B) {
			for b.Loop() {
				r, err := mixed.Run(mixed.Interference(), p, mixedSeed)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(r.P99Ratio, "p99Ratio")
				b.ReportMetric(r.BatchShare, "batchShare")
				b.ReportMetric(float64(r.Evictions), "evictions")
				for n, s := range mixed.Interference().Services {
					b.ReportMetric(r.Ratios[n], "p99Ratio-"+s.Name)
				}
			}
		})
	}
}
