package bench

import "testing"

// BenchmarkPolicy compares the request, batch and interference policies in
// virtual time.
func BenchmarkPolicy(b *testing.B) {
	benchmarkFlood(b)
	benchmarkBatch(b)
	benchmarkMixed(b)
}
