package usage

import (
	"cmp"
	"slices"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Book holds the largest running total per incarnation. The zero value is
// ready for use. Not safe for concurrent use.
type Book struct {
	totals map[key]int64
	// pending holds what no confirmed record covers yet.
	pending map[key]int64
}

type key struct {
	instance    sched.InstanceID
	incarnation sched.Incarnation
	partner     string
	service     string
}

// Entry is one running total.
type Entry struct {
	Instance    sched.InstanceID
	Incarnation sched.Incarnation
	Partner     string
	Service     string
	Answers     int64
}

// Observe takes the totals of an incarnation from a heartbeat.
func (b *Book) Observe(from sched.InstanceID, n sched.Incarnation, totals []sched.PartnerTotal) {
	b.init()
	for _, t := range totals {
		k := key{from, n, t.Partner, t.Service}
		if t.Answers > b.totals[k] {
			b.totals[k] = t.Answers
			b.pending[k] = t.Answers
		}
	}
}

// Replay takes the totals of a record of the stream.
func (b *Book) Replay(entries []Entry) {
	b.init()
	for _, e := range entries {
		k := key{e.Instance, e.Incarnation, e.Partner, e.Service}
		b.totals[k] = max(b.totals[k], e.Answers)
		if b.pending[k] <= e.Answers {
			delete(b.pending, k)
		}
	}
}

// Pending returns the totals that are larger than the recorded ones, in a
// fixed order.
func (b *Book) Pending() []Entry { return entries(b.pending) }

// All returns every total, in a fixed order.
func (b *Book) All() []Entry { return entries(b.totals) }

// Answers returns the number of answers for a partner, over all incarnations.
func (b *Book) Answers(partner string) int64 {
	sum := int64(0)
	for k, n := range b.totals {
		if k.partner == partner {
			sum += n
		}
	}
	return sum
}

func (b *Book) init() {
	if b.totals == nil {
		b.totals, b.pending = map[key]int64{}, map[key]int64{}
	}
}

func entries(m map[key]int64) []Entry {
	out := make([]Entry, 0, len(m))
	for k, n := range m {
		out = append(out, Entry{k.instance, k.incarnation, k.partner, k.service, n})
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(
			cmp.Compare(a.Instance, b.Instance),
			cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.Partner, b.Partner),
			cmp.Compare(a.Service, b.Service),
		)
	})
	return out
}
