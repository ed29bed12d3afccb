package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/world"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a number of cells derived from the few workers that register
// first. The number is permanent, so one planner would have to plan all workers.
func TestCellsAreLaidOutOnceAllWorkersHaveRegistered(t *testing.T) {
	i := is.New(t)
	l := &layout{}
	now := time.Date(2026, 9, 8, 12, 0, 0, 0, time.UTC)
	i.Equal(l.checkSettled(now, 0), errNoWorkers)
	for _, n := range []int{1, 40, 300, 490} {
		now = now.Add(settlePeriod / 2)
		i.Equal(l.checkSettled(now, n), errJoining)
	}
	now = now.Add(settlePeriod - maxSettlePeriod/100)
	// Entries that are removed meanwhile don't reduce the number of cells.
	i.NoErr(l.checkSettled(now.Add(maxSettlePeriod/100), 480))
	i.Equal(l.maxWorkers, 490)
}

// Guards against a long wait for the last workers of a small site to register. The
// first jobs, 5 s after the machines, arrived before the cells were laid out, and
// were refused or came all at once later.
func TestCellsAreLaidOutSoonThoughWorkersStillCome(t *testing.T) {
	i := is.New(t)
	l := &layout{}
	now := time.Date(2026, 9, 8, 12, 0, 0, 0, time.UTC)
	n := 1
	for began := now; l.checkSettled(now, n) != nil; n++ {
		i.True(now.Sub(began) < maxSettlePeriod)
		now = now.Add(100 * time.Millisecond)
	}
}

// Guards against entries of other writers that count as workers: the number of cells is
// permanent, and the first such entry would begin the wait for the workers.
func TestOnlyWorkersCountForTheNumberOfCells(t *testing.T) {
	i := is.New(t)
	l := &layout{entry: &Entry{Registry: &world.Client{}, Log: zap.NewNop()}}
	records := []sched.KeyedRecord{
		{Key: "a", Value: []byte(`{"ID":"a"}`)}, {Key: "b", Value: []byte(`[[[[`)}, {Key: "c", Value: []byte(`{"ID":7}`)},
	}
	i.Equal(l.countWorkers(records), 1)
}
