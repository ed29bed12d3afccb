package pjson

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// BenchmarkReport reports the size in bytes of a worker's report by the number of
// attempts in it. docs/CAPACITY.md uses the figures.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{0, 8, 24} {
		b.Run(fmt.Sprintf("attempts=%d", n), func(b *testing.B) {
			at := time.Unix(1_800_000_000, 0).UTC()
			r := sched.WorkerReport{Worker: "quezon-a-worker-03", Boot: 2, Term: 123_456, LeaseUntil: at, MeasuredAt: at}
			r.Services = []sched.ServiceReport{{Service: "simdesk", Load: 0.61, P99: 180 * time.Millisecond}}
			for k := range n {
				r.Attempts = append(r.Attempts, sched.AttemptReport{
					Task: sched.TaskID(fmt.Sprintf("0192f0c1-2b3c-7d4e-8f50-%012d", k)), Attempt: 1, TaskKind: "sweep",
					State: sched.AttemptRunning, Progress: 1234 * time.Second,
					Usage: sched.Resources{Processors: 900, Memory: 3 << 30},
				})
			}
			size := 0
			for range b.N {
				data, err := EncodeReport(r)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
