package follow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/process/follow"
	"github.com/parsleybarrow/parsleybarrow/pkg/stall"
)

// transfer is a read whose data arrives in pieces at equal distances.
type transfer struct {
	pieces   int
	distance time.Duration
}

// run returns once all pieces have arrived, or with the error of the context.
func (t transfer) run(c context.Context) (int, error) {
	for range t.pieces {
		select {
		case <-time.After(t.distance):
			stall.Progressed(c)
		case <-c.Done():
			return 0, c.Err()
		}
	}
	return t.pieces, nil
}

// TestATransferOverAFullLinkIsNotRepeated guards against reads that are aborted while their data arrives: after a restart of
// all instances the repeated transfers of a large configuration kept the link between two regions full for 35 s.
func TestATransferOverAFullLinkIsNotRepeated(t *testing.T) {
	cases := []struct {
		name     string
		transfer transfer
		reads    int
		fails    bool
	}{
		{"at once", transfer{1, 20 * time.Millisecond}, 1, false},
		{"slow link", transfer{20, 200 * time.Millisecond}, 1, false},
		{"first data after a second", transfer{2, time.Second}, 3, true},
		{"no end", transfer{1000, 250 * time.Millisecond}, 3, true},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i, reads := is.New(t), 0
				_, err := follow.ReadWithRetry(t.Context(), func(x context.Context) (int, error) {
					reads++
					return k.transfer.run(x)
				})
				i.Equal(err != nil, k.fails)
				i.Equal(reads, k.reads)
			})
		})
	}
}
