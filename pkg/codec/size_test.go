package codec_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/dedup"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// BenchmarkIntentSize reports the bytes that an unrepeatable request adds to the
// intent stream, as an intent and an outcome. docs/CAPACITY.md uses the figure.
func BenchmarkIntentSize(b *testing.B) {
	for _, n := range []int{1, 16} {
		b.Run(fmt.Sprintf("batch=%d", n), func(b *testing.B) {
			at := time.Unix(1_800_000_000, 0)
			batch := dedup.Batch{WrittenAt: at}
			for k := range n {
				i := dedup.MakeID("tunog", uuid.UUID{byte(k), 1, 2, 3})
				nonce := uint64(k) * 0x9e3779b97f4a7c15
				batch.Entries = append(batch.Entries,
					dedup.Entry{Kind: dedup.KindIntent, ID: i, Nonce: nonce, Holder: 1_800_000_000, IDTime: at},
					dedup.Entry{
						Kind: dedup.KindOutcome, ID: i, Nonce: nonce, IDTime: at, Outcome: sched.OutcomeAnswered,
						Answer: dedup.AnswerRef{Offset: 100_000, Index: k},
					})
			}
			size := 0
			for range b.N {
				data, err := codec.EncodeIntents(batch)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/request")
		})
	}
}
