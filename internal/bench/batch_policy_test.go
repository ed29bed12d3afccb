package bench

import (
	"testing"

	"github.com/parsleybarrow/parsleybarrow/internal/bench/batch"
	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
)

// batchSeed is the seed of the batch scenarios.
const batchSeed = 1

// batchPolicies returns the variants of a scenario.
func batchPolicies(scenario string) []batch.Policy {
	all := []batch.Policy{batch.Baseline(), batch.Current()}
	switch scenario {
	case "storeOutage":
		without, deep := batch.Current(), batch.Current()
		without.Name, without.AheadDepth = "nothingAhead", 0
		deep.Name, deep.AheadDepth = "eightAhead", 8
		all = append(all, without, deep)
	case "wrongEstimates":
		without := batch.Current()
		without.Name = "noHold"
		options := without.Options
		without.Options = func(o *plan.Options) {
			options(o)
			o.DisableRoomHold = true
		}
		all = append(all, without)
	case "badWorkers":
		// Without package suspct the baseline fails most tasks for good, so
		// that little is left to evict.
		all = append(all, batch.BaselineWithSuspects())
	}
	return all
}

// benchmarkBatch runs the scenarios of the batch path.
func benchmarkBatch(b *testing.B) {
	for _, c := range batch.Scenarios() {
		for _, p := range batchPolicies(c.Name) {
			b.Run(c.Name+"/"+p.Name, func(b *testing.B) {
				for b.Loop() {
					r := batch.RunScenario(c, p, batchSeed)
					b.ReportMetric(r.BatchShare, "batchShare")
					b.ReportMetric(float64(r.Evictions), "evictions")
					b.ReportMetric(float64(r.Doubled), "doubled")
					b.ReportMetric(float64(r.Lost), "lost")
					b.ReportMetric(float64(r.LateStarts), "lateStarts")
					b.ReportMetric(r.UrgentWait.Seconds(), "urgentWait-s")
				}
			})
		}
	}
}
