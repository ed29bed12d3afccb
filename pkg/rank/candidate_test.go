package rank_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/rank"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	near = 4 * time.Millisecond
	far  = 44 * time.Millisecond
)

// Guards against a planner on an instance that is too small for it although larger ones
// are available, for example farther from the store or with another cell.
func TestCandidatesAreSortedByCapacityFirst(t *testing.T) {
	cases := []struct {
		name string
		all  []rank.Candidate // in the expected order
	}{
		{"a large one that is far before a small one that is near", []rank.Candidate{
			{ID: "large", Processors: 800, StoreRTT: far}, {ID: "small", Processors: 192, StoreRTT: near},
		}},
		{"a large one with cells before a small one", []rank.Candidate{
			{ID: "large", Processors: 800, StoreRTT: near, Cells: 3}, {ID: "small", Processors: 192, StoreRTT: near},
		}},
		{"the nearer of two that suffice", []rank.Candidate{
			{ID: "near", Processors: 400, StoreRTT: near, Cells: 1}, {ID: "far", Processors: 800, StoreRTT: far},
		}},
		{"fewer cells, then more processors", []rank.Candidate{
			{ID: "b", Processors: 800}, {ID: "a", Processors: 400}, {ID: "c", Processors: 800, Cells: 1},
		}},
		{"the largest of those that don't suffice", []rank.Candidate{
			{ID: "larger", Processors: 300, StoreRTT: far, Cells: 1}, {ID: "smaller", Processors: 192, StoreRTT: near},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			all := slices.Clone(c.all)
			slices.Reverse(all)
			rank.Sort(0, all)
			i.Equal(all, c.all)
		})
	}
}

// Guards against instances that disagree on the order, and against one instance that is
// the first for every cell.
func TestTheOrderDependsOnTheCellOnly(t *testing.T) {
	i := is.New(t)
	first := map[sched.InstanceID]bool{}
	for cell := range 20 {
		a := []rank.Candidate{{ID: "a", Processors: 800}, {ID: "b", Processors: 800}, {ID: "c", Processors: 800}}
		b := slices.Clone(a)
		slices.Reverse(b)
		rank.Sort(cell, a)
		rank.Sort(cell, b)
		i.Equal(a, b)
		first[a[0].ID] = true
	}
	i.Equal(len(first), 3)
}

// Guards against instances that are gone and are waited for, and against one that is never
// counted again after a lost answer or a late start.
func TestSilentInstancesDoNotCountUntilTheyAreHeard(t *testing.T) {
	i := is.New(t)
	var l rank.Living
	at := time.Unix(1e9, 0)
	all := []sched.InstanceID{"a", "b"}
	i.Equal(len(l.Silent(at, all)), 0) // both may have just started
	l.Heard(at.Add(5*time.Second), "b")
	i.Equal(l.Silent(at.Add(7*time.Second), all), []sched.InstanceID{"a"})
	i.True(l.Alive(at, "a"))
	l.Missed(at, "a")
	i.True(!l.Alive(at.Add(5*time.Second), "a"))
	i.True(l.Alive(at.Add(time.Minute), "a")) // an old miss says nothing
	l.Missed(at, "a")
	l.Heard(at.Add(time.Second), "a")
	i.True(l.Alive(at.Add(2*time.Second), "a"))
}
