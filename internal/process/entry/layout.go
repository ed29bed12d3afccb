package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/process/follow"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// settlePeriod is the time without growth of the list of workers after which
	// the number of cells is derived from it. That number can't change later.
	settlePeriod = 500 * time.Millisecond
	// maxSettlePeriod bounds the wait for that from the first worker on. Workers
	// register over some heartbeats, and the first jobs arrive meanwhile. Cells
	// laid out for most of the workers can take the others too.
	maxSettlePeriod = 1200 * time.Millisecond
)

var errNoWorkers = errors.New("no worker is listed yet")

// layout sets the number of cells at the first start of the system.
type layout struct {
	entry                 *Entry
	maxWorkers            int // largest number of workers listed so far
	firstSeen, lastGrowth time.Time
}

// fixCells writes the number of cells once the list of workers has settled, unless
// it is known. It returns an error until the number is set, and is then retried.
func (l *layout) fixCells(c context.Context) error {
	e := l.entry
	if e.directory.Cells() > 0 {
		return nil
	}
	records, _, err := follow.Newest(c, e.Store, e.Registry.Workers())
	if err != nil {
		return fmt.Errorf("read list of workers: %w", err)
	}
	if err := l.checkSettled(e.Clock.Now(), l.countWorkers(records)); err != nil {
		return err
	}
	return e.directory.WriteLayout(c, (l.maxWorkers+e.WorkersPerCell-1)/e.WorkersPerCell)
}

// countWorkers returns how many of the records are entries of workers.
func (l *layout) countWorkers(records []sched.KeyedRecord) int {
	n := 0
	for _, r := range records {
		if _, err := l.entry.Registry.DecodeWorker(r); err != nil {
			l.entry.Log.Warn("badWorkerRecord", zap.String("key", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
			continue
		}
		n++
	}
	return n
}

// checkSettled takes the current number of listed workers. It returns an error
// while there are none or more are joining.
func (l *layout) checkSettled(now time.Time, workers int) error {
	if l.maxWorkers == 0 {
		l.firstSeen = now
	}
	if workers > l.maxWorkers {
		l.maxWorkers, l.lastGrowth = workers, now
	}
	switch {
	case l.maxWorkers == 0:
		return errNoWorkers
	case now.Sub(l.lastGrowth) < settlePeriod && now.Sub(l.firstSeen) < maxSettlePeriod:
		return errJoining
	}
	return nil
}

var errJoining = errors.New("workers are still joining")
