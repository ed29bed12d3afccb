package bench

import (
	"runtime"
	"testing"

	"github.com/parsleybarrow/parsleybarrow/internal/bench/batch"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
)

// heapMiB collects garbage and returns the allocated heap in MiB.
func heapMiB() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // sync.Pool keeps its objects for one more cycle
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// BenchmarkMemory reports the heap of a ledger replica, and of a planner with
// its replica, at 3900 workers and 94,000 running tasks.
func BenchmarkMemory(b *testing.B) {
	prepare := func() *batch.Sim { return batch.Scale{Workers: 3900, Running: 94_000}.Prepare(batchSeed) }
	b.Run("replica", func(b *testing.B) {
		s := prepare()
		for b.Loop() {
			before := heapMiB()
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
			b.ReportMetric(heapMiB()-before, "MiB")
			runtime.KeepAlive(l)
			runtime.KeepAlive(s)
		}
	})
	b.Run("planner", func(b *testing.B) {
		for b.Loop() {
			s := prepare()
			before := heapMiB()
			s.CrashHost(0)
			b.ReportMetric(before-heapMiB(), "MiB")
			runtime.KeepAlive(s)
		}
	})
}
