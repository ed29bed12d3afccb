package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/bench/flood"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

var floodScenarios = []flood.Scenario{
	{Name: "floodBatch", Flood: sched.UrgencyBackground},
	{Name: "floodUrgent", Flood: sched.UrgencyUrgent},
	{Name: "floodAll", Load: 5},
	{Name: "silentConnections", HungShare: 0.2},
	{Name: "instanceLoss", LostInstances: 1},
	{Name: "slowWorker", SlowWorkers: 6},
}

var floodWorkerCounts = []int{66, 48}

func measureFlood(b *testing.B, s flood.Scenario, v flood.Variant) {
	for _, workers := range floodWorkerCounts {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var sum, calm flood.Report
			unloaded := flood.Scenario{Measure: sched.UrgencyUrgent}
			if s.Flood == sched.UrgencyUrgent {
				unloaded.Measure = sched.UrgencyStandard
			}
			for n := range b.N {
				r := flood.Run(s, v, workers, uint64(n+1))
				quiet := flood.Run(unloaded, v, workers, uint64(n+1))
				sum.P99 += r.P99
				sum.MinAnsweredShare += r.MinAnsweredShare
				sum.SlotUtilization += r.SlotUtilization
				sum.Unknown += r.Unknown
				sum.Amplification += r.Amplification
				calm.P99 += quiet.P99
			}
			n := float64(b.N)
			b.ReportMetric(float64(sum.P99)/float64(time.Millisecond)/n, "p99Millis")
			b.ReportMetric(float64(sum.P99)/float64(max(calm.P99, 1)), "p99OverCalm")
			b.ReportMetric(sum.MinAnsweredShare/n, "keptShare")
			b.ReportMetric(sum.SlotUtilization/n, "slotsUsed")
			b.ReportMetric(float64(sum.Unknown)/n, "unknown")
			b.ReportMetric(sum.Amplification/n, "amplification")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// benchmarkFlood compares the request path with a baseline of random worker
// choice, no admission control and immediate retries.
func benchmarkFlood(b *testing.B) {
	for _, s := range floodScenarios {
		for _, v := range []flood.Variant{{Name: "baseline", Baseline: true}, {Name: "current"}} {
			b.Run(s.Name+"/"+v.Name, func(b *testing.B) { measureFlood(b, s, v) })
		}
	}
}

// BenchmarkSharing compares the ways of sharing slots between instances.
func BenchmarkSharing(b *testing.B) {
	for _, s := range []flood.Scenario{
		{Name: "even", Load: 1.2},
		{Name: "skewed", Skew: 0.3, Load: 1.1},
		{Name: "flood", Flood: sched.UrgencyBackground},
		{Name: "skewedFlood", Flood: sched.UrgencyBackground, Skew: 0.3},
		{Name: "instanceLoss", LostInstances: 3, Load: 1.1},
	} {
		for _, v := range []flood.Variant{
			{Name: "fixed", Sharing: flood.SharingFixed},
			{Name: "demand", Sharing: flood.SharingDemand},
			{Name: "optimistic", Sharing: flood.SharingOptimistic},
		} {
			b.Run(s.Name+"/"+v.Name, func(b *testing.B) { measureFlood(b, s, v) })
		}
	}
}
