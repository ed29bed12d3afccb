package meter_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/store"
	"github.com/parsleybarrow/parsleybarrow/internal/process/busy"
	"github.com/parsleybarrow/parsleybarrow/internal/process/meter"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// clockedStore is the emulated store, which takes its times from one clock.
type clockedStore struct {
	sched.Store
	store *store.Store
	clock sched.Clock
}

func (p *clockedStore) Append(_ context.Context, at sched.Partition, end sched.Offset, r []sched.KeyedRecord) (sched.Offset, error) {
	return p.store.Append(p.clock.Now(), at, end, r)
}

// Guards against calls, terms and planner actions that are missing in the
// metrics, and against failed calls that are counted as successful.
func TestCallsAreCountedByResult(t *testing.T) {
	i := is.New(t)
	k := clock.NewManual(time.Date(2026, 9, 8, 12, 0, 0, 0, time.UTC))
	m := meter.New(k)
	s := m.WrapStore(&clockedStore{store: &store.Store{}, clock: k})
	r := []sched.KeyedRecord{{Key: "a", Value: []byte("1")}}
	_, err := s.Append(context.Background(), sched.Partition{Topic: "t"}, 0, r)
	i.NoErr(err)
	_, err = s.Append(context.Background(), sched.Partition{Topic: "t"}, 0, r)
	i.True(err != nil)
	m.AddPlannerStats(cell.Stats{Starts: 2}, cell.Stats{Starts: 7})
	m.AddPlannerLoad(busy.Report{LongestWait: time.Second, Works: []busy.Work{{Kind: "tick", Count: 3, Time: 1500 * time.Millisecond}}})
	m.TermBegan()
	zero := func() float64 { return 0 }
	m.RegisterGauges(meter.Gauges{Cells: zero, Catalog: zero, Ready: func() float64 { return 1 }, LinesDropped: zero, Evacuations: zero, EvacuatedRuns: zero, UnknownWorkers: zero})
	var b bytes.Buffer
	m.Write(&b)
	for _, want := range []string{
		`parsleybarrow_store_appends_total{result="ok"} 1`, `parsleybarrow_store_appends_total{result="moved"} 1`,
		`parsleybarrow_planner_total{what="starts"} 5`, `parsleybarrow_terms_total 1`, `parsleybarrow_entry_ready 1`,
		`parsleybarrow_store_append_duration_seconds_count 2`, `parsleybarrow_planner_busy_seconds_total{work="tick"} 1.5`,
		`parsleybarrow_planner_works_total{work="tick"} 3`, `parsleybarrow_planner_longest_wait_seconds_count 1`,
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%s is missing", want)
		}
	}
}
