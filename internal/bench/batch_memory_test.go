package bench

import (
	"runtime"
	"testing"

	"github.com/parsleybarrow/parsleybarrow/internal/bench/batch"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
)

// BenchmarkLedgerMemory reports the heap of a replica at the target size.
func BenchmarkLedgerMemory(b *testing.B) {
	s := batch.Scale{Workers: 3900, Running: 94_000}.Prepare(batchSeed)
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / (1 << 20)
	}
	for b.Loop() {
		before := heap()
		l := ledger.New()
		for _, r := range s.Log() {
			record, err := codec.DecodeTaskRecord(r.Data)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := l.Apply(r.Offset, &record); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(heap()-before, "MiB")
		runtime.KeepAlive(l)
	}
}
