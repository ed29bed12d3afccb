package rank

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// ableProcessors is the processor time, in thousandths of a processor, that
	// suffices to plan a cell: a planner of 490 workers needs about 0.35 of a processor
	// in a burst.
	ableProcessors = 350
	// maxNearTrip is the longest round trip of an instance that counts as near the
	// store. Within a region it is some milliseconds, to another region at least 40 ms.
	maxNearTrip = 15 * time.Millisecond
)

// Candidate is an instance that may plan a cell.
type Candidate struct {
	ID sched.InstanceID
	// Processors is the processor time that it may use, in thousandths of a processor.
	Processors int
	// StoreRTT is its round trip to the store.
	StoreRTT time.Duration
	// Cells is the number of other cells that it plans.
	Cells int
}

// Able reports whether the candidate's processors suffice for a cell.
func (c Candidate) Able() bool { return c.Processors >= ableProcessors }

// Near reports whether the candidate is near the store.
func (c Candidate) Near() bool { return c.StoreRTT <= maxNearTrip }

// Sort sorts the candidates for a cell, the best first: those that are able, among them
// those near the store, then those that plan fewer other cells, then those with more
// processors. Among candidates that aren't able, processors count before the rest. A hash
// of the cell and the id breaks ties: it spreads the cells and gives the same order at
// every instance.
func Sort(cell int, all []Candidate) {
	hash := map[sched.InstanceID]uint64{}
	for _, c := range all {
		hash[c.ID] = xxhash.Sum64String(fmt.Sprintf("%d/%s", cell, c.ID))
	}
	slices.SortFunc(all, func(a, b Candidate) int {
		if o := preferTrue(a.Able(), b.Able()); o != 0 {
			return o
		}
		more := cmp.Compare(b.Processors, a.Processors)
		if !a.Able() && more != 0 {
			return more
		}
		return cmp.Or(preferTrue(a.Near(), b.Near()), cmp.Compare(a.Cells, b.Cells), more, cmp.Compare(hash[a.ID], hash[b.ID]))
	})
}

func preferTrue(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
