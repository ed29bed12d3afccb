package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
)

// Guards against a start order that leaves long after the planner's decision, when the
// worker's data centre may be evacuated: a paused process or a full stream delays the batch.
func TestQueuedOrdersExpire(t *testing.T) {
	now := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	rows := []struct {
		name string
		wait time.Duration
		sent int
	}{
		{"in time", maxQueueTime, 1},
		{"too late", maxQueueTime + time.Millisecond, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			l := &link{pending: map[uint64]*call{}, filled: make(chan struct{}, 1)}
			k := &call{
				message: &pb.WorkerOrder{Kind: kindStart}, queuedAt: now, deadline: now.Add(time.Second),
				result: make(chan *pb.OrderResult, 1),
			}
			i.True(l.put(k))
			i.Equal(len(l.nextBatch(now.Add(row.wait)).GetOrders()), row.sent)
			i.Equal(len(k.result), 1-row.sent) // the planner learns that it had no effect
		})
	}
}
