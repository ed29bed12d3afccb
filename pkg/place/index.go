package place

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// sizeClasses is the number of size classes of a resource. A class is half an
// octave of processors (in thousandths) or memory (in MiB); the classes go from 0
// to beyond 500 processors and 500 GiB.
const sizeClasses = 40

// maxCandidates is the number of workers with room that one decision compares. A
// decision takes about a microsecond with it (BenchmarkFind).
const maxCandidates = 24

// maxMisses is the number of workers without room that one decision checks in a
// bucket before it goes on to the next. In buckets of larger classes every worker
// has room, apart from accelerators and interference.
const maxMisses = 48

// Score returns the interference of a task kind on a worker: 0 for none, 1 for the
// worst that is still allowed, above 1 for pairs to avoid. A nil Score stands for
// no interference anywhere.
type Score func(worker sched.InstanceID, kind string) float64

// indexEntry is one worker in the index.
type indexEntry struct {
	id   sched.InstanceID
	rack string
	free sched.Resources
	// bucket is the number of the worker's bucket, and position the worker's
	// index in it.
	bucket   int
	position int
}

// rackGroup identifies the tasks of a team and kind in one rack.
type rackGroup struct {
	team, kind, rack string
}

// Index finds workers with room. It is not safe for concurrent use.
type Index struct {
	random       *rand.Rand
	interference Score
	entries      map[sched.InstanceID]*indexEntry
	// buckets are numbered by accelerators (none or some) and the classes of the
	// free processors and memory, in this order of significance.
	buckets [2 * sizeClasses * sizeClasses][]*indexEntry
	// bucketOrder holds the numbers of the buckets in the order in which Find
	// searches them.
	bucketOrder []int
	// tasksByRack counts the tasks of a team and kind in each rack, tasksByKind
	// those in all racks, by team and kind.
	tasksByRack map[rackGroup]int
	tasksByKind map[[2]string]int
}

// NewIndex returns an empty index. Random chooses where the search of a bucket
// begins, so that ties don't always go to the same worker.
func NewIndex(random *rand.Rand, score Score) *Index {
	x := &Index{
		random: random, interference: score,
		entries:     map[sched.InstanceID]*indexEntry{},
		tasksByRack: map[rackGroup]int{},
		tasksByKind: map[[2]string]int{},
	}
	for c := range x.buckets {
		x.bucketOrder = append(x.bucketOrder, c)
	}
	// Buckets with little free come first, and workers without accelerators
	// before those with them, so that large tasks keep their room.
	slices.SortStableFunc(x.bucketOrder, func(a, b int) int {
		return cmp.Or(cmp.Compare(a/(sizeClasses*sizeClasses), b/(sizeClasses*sizeClasses)),
			cmp.Compare(bucketSize(a), bucketSize(b)))
	})
	return x
}

// bucketSize returns the sum of the size classes of a bucket.
func bucketSize(c int) int {
	r := c % (sizeClasses * sizeClasses)
	return r/sizeClasses + r%sizeClasses
}

// sizeClass returns the size class of n, which rises with n by half octaves.
func sizeClass(n int64) int {
	if n <= 0 {
		return 0
	}
	l := bits.Len64(uint64(n))
	s := 2 * l
	if l >= 2 && n&(1<<(l-2)) == 0 {
		s--
	}
	return min(s, sizeClasses-1)
}

const mebibyte = 1 << 20

// bucketOf returns the number of the bucket for workers with the given free
// resources.
func bucketOf(r sched.Resources) int {
	a := 0
	if r.Accelerators > 0 {
		a = 1
	}
	return (a*sizeClasses+sizeClass(r.Processors))*sizeClasses + sizeClass(r.Memory/mebibyte)
}

// Set adds a worker to the index or updates its rack and free resources.
func (x *Index) Set(id sched.InstanceID, rack string, free sched.Resources) {
	s := x.entries[id]
	if s == nil {
		s = &indexEntry{id: id}
		x.entries[id] = s
	} else {
		if s.free == free && s.rack == rack {
			return
		}
		x.unlink(s)
	}
	s.rack, s.free = rack, free
	s.bucket = bucketOf(free)
	s.position = len(x.buckets[s.bucket])
	x.buckets[s.bucket] = append(x.buckets[s.bucket], s)
}

// Remove takes a worker out of the index.
func (x *Index) Remove(id sched.InstanceID) {
	if s := x.entries[id]; s != nil {
		x.unlink(s)
		delete(x.entries, id)
	}
}

// unlink takes an entry out of its bucket.
func (x *Index) unlink(s *indexEntry) {
	c := x.buckets[s.bucket]
	last := c[len(c)-1]
	c[s.position] = last
	last.position = s.position
	c[len(c)-1] = nil
	x.buckets[s.bucket] = c[:len(c)-1]
}

// Count changes the number of tasks of a team and kind in a rack: by 1 for a task
// that was placed there, by -1 for one that has left.
func (x *Index) Count(rack, team, kind string, change int) {
	addCount(x.tasksByRack, rackGroup{team, kind, rack}, change)
	addCount(x.tasksByKind, [2]string{team, kind}, change)
}

// addCount adds n to a count, and drops the count at 0.
func addCount[K comparable](m map[K]int, k K, n int) {
	if m[k] += n; m[k] <= 0 {
		delete(m, k)
	}
}

// Find returns the best worker of up to maxCandidates with room for the task. It
// returns false if it finds none.
func (x *Index) Find(t *sched.Task) (sched.InstanceID, bool) {
	best, bestCost := (*indexEntry)(nil), 0.0
	seen := 0
	accelerated := 0
	if t.Needs.Accelerators > 0 {
		accelerated = 1
	}
	processorClass, memoryClass := sizeClass(t.Needs.Processors), sizeClass(t.Needs.Memory/mebibyte)
	for _, c := range x.bucketOrder {
		if len(x.buckets[c]) == 0 || c/(sizeClasses*sizeClasses) < accelerated {
			continue
		}
		r := c % (sizeClasses * sizeClasses)
		if r/sizeClasses < processorClass || r%sizeClasses < memoryClass {
			continue
		}
		missed := 0
		from := x.random.IntN(len(x.buckets[c]))
		for k := range x.buckets[c] {
			s := x.buckets[c][(from+k)%len(x.buckets[c])]
			score, ok := x.fits(s, t)
			if !ok {
				if missed++; missed >= maxMisses {
					break
				}
				continue
			}
			if cost := x.cost(s, t, score); best == nil || cost < bestCost {
				best, bestCost = s, cost
			}
			if seen++; seen >= maxCandidates {
				return best.id, true
			}
		}
	}
	if best == nil {
		return "", false
	}
	return best.id, true
}

// Weights of the parts of a cost. Interference counts most, since it slows
// services down; the spread over racks decides between similar fits.
const (
	interferenceWeight = 2.0
	spreadWeight       = 0.5
)

// maxInterference is the interference score above which a worker counts as having
// no room for a task. With a cost alone, a disturbing task goes to whichever worker
// has room first, where it is throttled and holds the room for longer.
const maxInterference = 1.0

// fits returns the interference score of a task on a worker, and whether the worker
// has room for the task.
func (x *Index) fits(s *indexEntry, t *sched.Task) (float64, bool) {
	if !t.Needs.Fits(s.free) {
		return 0, false
	}
	if x.interference == nil {
		return 0, true
	}
	score := x.interference(s.id, t.Kind)
	return score, score <= maxInterference
}

// cost returns the cost of a task on a worker: it is low if little is left free and
// the interference is low, and if few of the tasks of the same team and kind are in
// the worker's rack.
func (x *Index) cost(s *indexEntry, t *sched.Task, score float64) float64 {
	left := s.free.Minus(t.Needs)
	cost := unusedShare(left.Processors, s.free.Processors) + unusedShare(left.Memory, s.free.Memory)
	cost += interferenceWeight * score
	if n := x.tasksByKind[[2]string{t.Team, t.Kind}]; n > 0 {
		cost += spreadWeight * float64(x.tasksByRack[rackGroup{t.Team, t.Kind, s.rack}]) / float64(n)
	}
	return cost
}

// unusedShare returns unused as a share of total, 0 if total is 0.
func unusedShare(unused, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(unused) / float64(total)
}
