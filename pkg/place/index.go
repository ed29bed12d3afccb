package place

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// cellSteps is the number of cells per resource: half-octave steps of
// processors (thousandths) and memory (MiB) from 0 up to beyond 500 processors
// and 500 GiB.
const cellSteps = 40

// candidates is the number of workers with room that one decision compares.
// A decision takes about a microsecond with it (BenchmarkFind).
const candidates = 24

// misses is the number of workers without room that one decision looks at
// before it moves to larger cells, which hold only workers with room.
const misses = 48

// Score rates a task kind on a worker: 0 for no interference, 1 for the worst
// that is still allowed, above 1 for pairs to avoid. It may be nil.
type Score func(worker sched.InstanceID, kind string) float64

// slot is one worker in the index.
type slot struct {
	id   sched.InstanceID
	rack string
	free sched.Resources
	cell int
	pos  int
}

// group identifies tasks that are spread over racks.
type group struct {
	team, kind, rack string
}

// Index finds workers with room. It is not safe for concurrent use.
type Index struct {
	random *rand.Rand
	score  Score
	slots  map[sched.InstanceID]*slot
	// cells are indexed by accelerators (none or some), processors, memory.
	cells  [2 * cellSteps * cellSteps][]*slot
	order  []int
	spread map[group]int
	total  map[[2]string]int
}

// NewIndex returns an empty index. Ties are broken by the seeded source.
func NewIndex(random *rand.Rand, score Score) *Index {
	x := &Index{
		random: random, score: score,
		slots:  map[sched.InstanceID]*slot{},
		spread: map[group]int{},
		total:  map[[2]string]int{},
	}
	for c := range x.cells {
		x.order = append(x.order, c)
	}
	// Cells with little free come first, and workers without accelerators
	// before those with, so that large tasks keep their room.
	slices.SortStableFunc(x.order, func(a, b int) int {
		return cmp.Or(cmp.Compare(a/(cellSteps*cellSteps), b/(cellSteps*cellSteps)),
			cmp.Compare(cellSum(a), cellSum(b)))
	})
	return x
}

func cellSum(c int) int {
	r := c % (cellSteps * cellSteps)
	return r/cellSteps + r%cellSteps
}

// step returns the half octave of n: it rises with n.
func step(n int64) int {
	if n <= 0 {
		return 0
	}
	l := bits.Len64(uint64(n))
	s := 2 * l
	if l >= 2 && n&(1<<(l-2)) == 0 {
		s--
	}
	return min(s, cellSteps-1)
}

const mebibyte = 1 << 20

func cellOf(r sched.Resources) int {
	a := 0
	if r.Accelerators > 0 {
		a = 1
	}
	return (a*cellSteps+step(r.Processors))*cellSteps + step(r.Memory/mebibyte)
}

// Set puts a worker into the index or updates what it has free.
func (x *Index) Set(id sched.InstanceID, rack string, free sched.Resources) {
	s := x.slots[id]
	if s == nil {
		s = &slot{id: id}
		x.slots[id] = s
	} else {
		if s.free == free && s.rack == rack {
			return
		}
		x.take(s)
	}
	s.rack, s.free = rack, free
	s.cell = cellOf(free)
	s.pos = len(x.cells[s.cell])
	x.cells[s.cell] = append(x.cells[s.cell], s)
}

// Remove takes a worker out.
func (x *Index) Remove(id sched.InstanceID) {
	if s := x.slots[id]; s != nil {
		x.take(s)
		delete(x.slots, id)
	}
}

func (x *Index) take(s *slot) {
	c := x.cells[s.cell]
	last := c[len(c)-1]
	c[s.pos] = last
	last.pos = s.pos
	c[len(c)-1] = nil
	x.cells[s.cell] = c[:len(c)-1]
}

// Count notes that a task of a team and kind was put into a rack (1) or left
// it (-1).
func (x *Index) Count(rack, team, kind string, change int) {
	add(x.spread, group{team, kind, rack}, change)
	add(x.total, [2]string{team, kind}, change)
}

func add[K comparable](m map[K]int, k K, n int) {
	if m[k] += n; m[k] <= 0 {
		delete(m, k)
	}
}

// Find returns the best worker with room for the task.
func (x *Index) Find(t *sched.Task) (sched.InstanceID, bool) {
	best, bestCost := (*slot)(nil), 0.0
	seen := 0
	accelerated := 0
	if t.Needs.Accelerators > 0 {
		accelerated = 1
	}
	np, nm := step(t.Needs.Processors), step(t.Needs.Memory/mebibyte)
	for _, c := range x.order {
		if len(x.cells[c]) == 0 || c/(cellSteps*cellSteps) < accelerated {
			continue
		}
		r := c % (cellSteps * cellSteps)
		if r/cellSteps < np || r%cellSteps < nm {
			continue
		}
		missed := 0
		from := x.random.IntN(len(x.cells[c]))
		for k := range x.cells[c] {
			s := x.cells[c][(from+k)%len(x.cells[c])]
			score, ok := x.rate(s, t)
			if !ok {
				if missed++; missed >= misses {
					break
				}
				continue
			}
			if cost := x.cost(s, t, score); best == nil || cost < bestCost {
				best, bestCost = s, cost
			}
			if seen++; seen >= candidates {
				return best.id, true
			}
		}
	}
	if best == nil {
		return "", false
	}
	return best.id, true
}

// Weights of the parts of a cost. Interference counts most, as it is paid for
// by services; spread decides between similar fits.
const (
	interferenceWeight = 2.0
	spreadWeight       = 0.5
)

// avoidAbove is the interference score above which a worker has no room for a
// task: a cost alone sends a disturbing task to whichever worker has room
// first, where it is throttled and holds the room for longer.
const avoidAbove = 1.0

// rate returns the interference score of a task on a worker, and whether the
// worker has room for the task.
func (x *Index) rate(s *slot, t *sched.Task) (float64, bool) {
	if !t.Needs.Fits(s.free) {
		return 0, false
	}
	if x.score == nil {
		return 0, true
	}
	score := x.score(s.id, t.Kind)
	return score, score <= avoidAbove
}

// cost is low for a worker that the task fills well and disturbs little.
func (x *Index) cost(s *slot, t *sched.Task, score float64) float64 {
	left := s.free.Minus(t.Needs)
	cost := part(left.Processors, s.free.Processors) + part(left.Memory, s.free.Memory)
	cost += interferenceWeight * score
	if n := x.total[[2]string{t.Team, t.Kind}]; n > 0 {
		cost += spreadWeight * float64(x.spread[group{t.Team, t.Kind, s.rack}]) / float64(n)
	}
	return cost
}

func part(left, of int64) float64 {
	if of == 0 {
		return 0
	}
	return float64(left) / float64(of)
}
