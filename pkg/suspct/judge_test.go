package suspct

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

var start = time.Unix(1_800_000_000, 0)

// fleet simulates workers. It places each task on a worker that the judge
// doesn't avoid, searching from a random one, and reports the results to the
// judge.
type fleet struct {
	judge            *Detector
	now              time.Time
	random           *rand.Rand
	broken           map[int]bool
	workers          int
	tasks            int
	attemptsOnBroken int
	// countedFailures is the number of failures that count against a task.
	countedFailures map[sched.TaskID]int
}

func newFleet(seed uint64, workers int, broken ...int) *fleet {
	f := &fleet{
		judge: New(), now: start, random: rand.New(rand.NewPCG(seed, 1)),
		broken: map[int]bool{}, workers: workers, countedFailures: map[sched.TaskID]int{},
	}
	for _, b := range broken {
		f.broken[b] = true
	}
	return f
}

func id(n int) sched.InstanceID { return sched.InstanceID(fmt.Sprintf("w%d", n)) }

// runTask places one task until it is done, has three counted failures or has
// had 12 attempts. A bad task fails on every worker.
func (f *fleet) runTask(kind string, bad bool) (done bool) {
	f.tasks++
	t := sched.TaskID(fmt.Sprintf("t%d", f.tasks))
	for range 12 {
		w := f.random.IntN(f.workers)
		for n := 0; n < f.workers && f.judge.Avoid(f.now, id(w)); n++ {
			w = (w + 1) % f.workers
		}
		f.judge.Placed(f.now, id(w))
		f.now = f.now.Add(time.Second)
		if !bad && !f.broken[w] {
			f.judge.AttemptEnded(f.now, id(w), t, kind, sched.AttemptDone)
			return true
		}
		if f.broken[w] {
			f.attemptsOnBroken++
		}
		result := sched.AttemptLeaseExpired
		if f.judge.CountsAgainstTask(f.now, id(w), t) {
			result = sched.AttemptFailed
			f.countedFailures[t]++
		}
		f.judge.AttemptEnded(f.now, id(w), t, kind, result)
		if f.countedFailures[t] == 3 {
			return false
		}
	}
	return false
}

func (f *fleet) suspected() (list []int) {
	for w := range f.workers {
		if f.judge.Suspected(id(w)) {
			list = append(list, w)
		}
	}
	return list
}

// Guards against tasks that fail for good because of a broken worker, and
// against a broken worker that keeps getting tasks.
func TestBrokenWorkersAreDrainedAndTasksSurvive(t *testing.T) {
	i := is.New(t)
	for seed := range uint64(50) {
		f := newFleet(seed, 20, 3, 11)
		for range 400 {
			i.True(f.runTask("k", false))
		}
		i.Equal(f.suspected(), []int{3, 11})
	}
}

// Guards against working workers that are suspected because a task kind or
// single tasks fail everywhere. That would take the whole fleet out of service.
func TestFailingTasksDoNotDrainWorkers(t *testing.T) {
	i := is.New(t)
	for seed := range uint64(50) {
		f := newFleet(seed, 20)
		for n := range 400 {
			i.True(f.runTask("good", false))
			if n%4 == 0 {
				i.True(!f.runTask("good", true)) // one task in five can never run
			}
			i.True(!f.runTask("broken", true))
			i.True(len(f.suspected()) <= 1)
		}
	}
}

// Guards against a repaired worker that stays suspected, and against a broken
// worker that gets many tasks as probes.
func TestProbesGrowApartAndEndAfterRepair(t *testing.T) {
	i := is.New(t)
	f := newFleet(1, 5, 2)
	for range 4 * 3600 { // four hours
		f.runTask("k", false)
	}
	i.Equal(f.suspected(), []int{2})
	i.True(f.attemptsOnBroken < 20) // pauses of 1, 2, 4 .. 60 minutes
	f.broken[2] = false
	for range 2 * 3600 {
		i.True(f.runTask("k", false))
	}
	i.Equal(len(f.suspected()), 0)
}

// Guards against a failing task none of whose failures count, and against a
// task whose failures on one worker count more than once.
func TestFailuresCountOnDifferentWorkersOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := New()
		now := start
		counted := map[sched.InstanceID]bool{}
		n := rapid.IntRange(1, 30).Draw(t, "attempts")
		for range n {
			w := id(rapid.IntRange(0, 4).Draw(t, "worker"))
			now = now.Add(time.Second)
			result := sched.AttemptLeaseExpired
			if j.CountsAgainstTask(now, w, "t") {
				if counted[w] {
					t.Fatalf("two failures on worker %s counted", w)
				}
				counted[w] = true
				result = sched.AttemptFailed
			}
			j.AttemptEnded(now, w, "t", "k", result)
		}
		if len(counted) == 0 {
			t.Fatalf("none of %d failures counted", n)
		}
	})
}

// Guards against memory that grows with the total number of tasks instead of
// the number of recent ones.
func TestOldEvidenceIsForgotten(t *testing.T) {
	i := is.New(t)
	f := newFleet(1, 5)
	for range 3 * 3600 {
		f.runTask("k", false)
	}
	i.True(len(f.judge.tasks) <= int((defaultPauses.Retention+defaultPauses.Retention/sweepsPerRetention)/time.Second)+1)
}

// Guards against a task that is kept off a worker because of its own failures only.
func TestTheFailuresOfOthersDecideForATaskThatHasFailed(t *testing.T) {
	i := is.New(t)
	j, now := New(), start
	own := func(t sched.TaskID) bool { return t[0] == 'a' }
	for n := range 6 {
		j.AttemptEnded(now, id(0), sched.TaskID(fmt.Sprint("a", n)), "k", sched.AttemptFailed)
	}
	i.True(j.Suspected(id(0)))
	i.True(!j.SuspectedByOthers(now, id(0), own))
	for n := range 6 {
		j.AttemptEnded(now, id(0), sched.TaskID(fmt.Sprint("b", n)), "k", sched.AttemptFailed)
	}
	i.True(j.SuspectedByOthers(now, id(0), own))
	i.True(!j.SuspectedByOthers(now, id(1), own)) // not suspected at all
}

// Guards against early probes that let a failing worker have task after task, and against
// some whose results don't count.
func TestAnEarlyProbeEndsOrProlongsThePause(t *testing.T) {
	i := is.New(t)
	j, now := New(), start
	end := func(n int, result sched.AttemptState) {
		j.AttemptEnded(now, id(0), sched.TaskID(fmt.Sprint("t", n)), "k", result)
	}
	may := func() bool { _, may := j.EarlyProbe(now, id(0)); return may }
	for n := range 6 {
		end(n, sched.AttemptFailed)
	}
	i.True(j.Avoid(now, id(0)))
	i.True(!may()) // the pause has just begun
	now = now.Add(defaultPauses.EarlyProbe)
	i.True(may())
	j.PlacedEarly(now, id(0))
	i.True(!may() && j.Avoid(now, id(0))) // one at a time
	end(6, sched.AttemptFailed)
	now = now.Add(defaultPauses.EarlyProbe)
	i.True(may())
	now = now.Add(defaultPauses.InitialPause)
	i.True(j.Avoid(now, id(0))) // the second pause is twice as long
	j.PlacedEarly(now, id(0))
	end(7, sched.AttemptDone)
	i.True(!j.Avoid(now, id(0)))
	end(8, sched.AttemptDone)
	i.True(!j.Suspected(id(0)))
}
