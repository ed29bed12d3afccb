package bench

import "testing"

// BenchmarkPolicy compares policies in virtual time. Each group of scenarios
// has its own file.
func BenchmarkPolicy(b *testing.B) {
	benchmarkFlood(b)
	benchmarkBatch(b)
	benchmarkMixed(b)
}
