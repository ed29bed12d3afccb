package usage

import (
	"cmp"
	"slices"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Totals holds the largest known running total per incarnation, partner and service.
// The zero value is ready for use. Book is not safe for concurrent use.
type Totals struct {
	largestTotals map[totalKey]int64
	// unrecorded holds the totals that are larger than those in the records
	// replayed so far.
	unrecorded map[totalKey]int64
}

// totalKey identifies a running total.
type totalKey struct {
	instance    sched.InstanceID
	incarnation sched.Incarnation
	partner     string
	service     string
}

// RunningTotal is one running total: the answers that an incarnation of an instance has
// given for a partner and service.
type RunningTotal struct {
	Instance    sched.InstanceID
	Incarnation sched.Incarnation
	Partner     string
	Service     string
	Answers     int64
}

// Observe adds the totals of an incarnation from a heartbeat. Totals that are not
// larger than the known ones have no effect.
func (b *Totals) Observe(from sched.InstanceID, n sched.Incarnation, totals []sched.PartnerTotal) {
	b.initMaps()
	for _, t := range totals {
		k := totalKey{from, n, t.Partner, t.Service}
		if t.Answers > b.largestTotals[k] {
			b.largestTotals[k] = t.Answers
			b.unrecorded[k] = t.Answers
		}
	}
}

// Replay adds the totals of a record that was read from the stream.
func (b *Totals) Replay(entries []RunningTotal) {
	b.initMaps()
	for _, e := range entries {
		k := totalKey{e.Instance, e.Incarnation, e.Partner, e.Service}
		b.largestTotals[k] = max(b.largestTotals[k], e.Answers)
		if b.unrecorded[k] <= e.Answers {
			delete(b.unrecorded, k)
		}
	}
}

// Pending returns the totals that are larger than the recorded ones, sorted by
// instance, incarnation, partner and service.
func (b *Totals) Pending() []RunningTotal { return sortedEntries(b.unrecorded) }

// All returns every total, in the same order as Pending.
func (b *Totals) All() []RunningTotal { return sortedEntries(b.largestTotals) }

// Answers returns the number of answers for a partner, over all incarnations and
// services.
func (b *Totals) Answers(partner string) int64 {
	sum := int64(0)
	for k, n := range b.largestTotals {
		if k.partner == partner {
			sum += n
		}
	}
	return sum
}

func (b *Totals) initMaps() {
	if b.largestTotals == nil {
		b.largestTotals, b.unrecorded = map[totalKey]int64{}, map[totalKey]int64{}
	}
}

func sortedEntries(m map[totalKey]int64) []RunningTotal {
	out := make([]RunningTotal, 0, len(m))
	for k, n := range m {
		out = append(out, RunningTotal{k.instance, k.incarnation, k.partner, k.service, n})
	}
	slices.SortFunc(out, func(a, b RunningTotal) int {
		return cmp.Or(
			cmp.Compare(a.Instance, b.Instance),
			cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.Partner, b.Partner),
			cmp.Compare(a.Service, b.Service),
		)
	})
	return out
}
