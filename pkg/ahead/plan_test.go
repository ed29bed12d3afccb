package ahead

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	usualTime   = time.Second
	longestTime = 10500 * time.Millisecond // seven times one and a half of the usual time
	stepTime    = 20 * time.Millisecond
)

// run is a run on a machine. A lasting one has no end.
type run struct {
	needs      sched.Resources
	began, end time.Time
	lasting    bool
}

// machine is a worker of the simulation, which knows the true ends.
type machine struct {
	Worker
	capacity sched.Resources
	runs     []run
	gone     bool
}

func (m *machine) free() sched.Resources {
	free := m.capacity
	for _, r := range m.runs {
		free = free.Minus(r.needs)
	}
	return free
}

// task is one waiting step of the simulation.
type task struct {
	Want
	submitted, started time.Time
}

// site simulates workers on which small tasks arrive all the time beside a few others.
type site struct {
	now      time.Time
	random   *rand.Rand
	plan     *Plan
	machines []*machine
	workers  []*Worker
	tasks    []*task
	small    int
	slips    int
	// tails is the share of the runs that take seven times as long as the others.
	tails float64
}

func processors(n int64) sched.Resources { return sched.Resources{Processors: n} }

func newSite(seed uint64, machines int) *site {
	s := &site{now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), plan: New(), tails: 0.03}
	for n := range machines {
		m := &machine{capacity: processors(16), Worker: Worker{ID: sched.InstanceID(fmt.Sprint("w", n)), Rack: fmt.Sprint("r", n%2)}}
		s.machines, s.workers = append(s.machines, m), append(s.workers, &m.Worker)
	}
	return s
}

func (s *site) machineOf(w *Worker) *machine { return s.machines[slices.Index(s.workers, w)] }

// add submits tasks that are planned.
func (s *site) add(w Want) *task {
	w.Step = sched.StepRef{Job: sched.JobID(fmt.Sprint("t", len(s.tasks)))}
	w.Usable = func(x *Worker) bool { return !s.machineOf(x).gone }
	t := &task{Want: w, submitted: s.now}
	s.tasks = append(s.tasks, t)
	return t
}

// runTime is off by up to half from the usual time, and seven times as long for tails.
func (s *site) runTime() time.Duration {
	d := time.Duration((0.5 + s.random.Float64()) * float64(usualTime))
	if s.random.Float64() < s.tails {
		d *= 7
	}
	return d
}

// forecast is that of a planner which knows when runs began, and not when they end.
func (s *site) forecast(w *Worker) {
	m := s.machineOf(w)
	var ends []End
	for _, r := range m.runs {
		if !r.lasting {
			ends = append(ends, End{Needs: r.needs, Late: max(3*usualTime/2-s.now.Sub(r.began), s.now.Sub(r.began)/2, stepTime)})
		}
	}
	w.SetForecast(s.now, m.free(), ends)
}

func (s *site) start(m *machine, needs sched.Resources, a Ask) {
	m.runs = append(m.runs, run{needs: needs, began: s.now, end: s.now.Add(s.runTime()), lasting: a.Lasting})
	s.plan.Placed(s.now, &m.Worker, needs, a)
}

// place starts tasks of a planned step where there is room, all or none of a gang.
func (s *site) place(t *task) {
	a := Ask{Step: t.Step, Planned: true, Late: 3 * usualTime / 2, Rank: t.Rank, Lasting: t.Lasting}
	var to []*machine
	for _, m := range s.machines {
		room := s.plan.Room(s.now, &m.Worker, m.free(), a)
		for ; !m.gone && len(to) < t.Tasks && t.Needs.Fits(room); room = room.Minus(t.Needs) {
			to = append(to, m)
		}
	}
	if len(to) == 0 || t.Together && len(to) < t.Tasks {
		return
	}
	for _, m := range to {
		s.start(m, t.Needs, a)
	}
	if t.Tasks -= len(to); t.Tasks == 0 {
		t.started = s.now
	}
}

// step lets stepTime pass: runs end, waiting tasks start, and up to as many small tasks as
// arrive.
func (s *site) step(arrivals int) {
	s.now = s.now.Add(stepTime)
	for _, m := range s.machines {
		m.runs = slices.DeleteFunc(m.runs, func(r run) bool { return !r.lasting && !r.end.After(s.now) })
	}
	var wants []Want
	for _, t := range s.tasks {
		if t.Tasks > 0 {
			wants = append(wants, t.Want)
		}
	}
	if s.now.UnixNano()%int64(5*stepTime) == 0 {
		for _, e := range s.plan.Update(s.now, wants, s.workers, s.forecast) {
			if e.Kind != Planned {
				s.slips++
			}
		}
	}
	for _, t := range s.tasks {
		if t.Tasks > 0 {
			s.place(t)
		}
	}
	a := Ask{Late: 3 * usualTime / 2}
	for range arrivals {
		for _, m := range s.machines {
			if !m.gone && processors(1).Fits(s.plan.Room(s.now, &m.Worker, m.free(), a)) {
				s.start(m, processors(1), a)
				s.small++
				break
			}
		}
	}
}

// overcommitted returns a worker on which the holds and the lasting runs together don't fit.
func (s *site) overcommitted() string {
	for _, m := range s.machines {
		used := m.held
		for _, r := range m.runs {
			if r.lasting {
				used = used.Plus(r.needs)
			}
		}
		if !used.Fits(m.capacity) && !m.gone {
			return fmt.Sprintf("%s: %v of %v", m.ID, used, m.capacity)
		}
	}
	return ""
}

// Guards against holds that no worker can keep, and against a task that waits for as long
// as small ones come. The bound of the wait depends on the tasks ahead in line, on the
// longest run, and on the workers that leave, not on the number of small tasks.
func TestEachTaskStartsWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 8).Draw(t, "machines"))
		arrivals := rapid.IntRange(1, 40).Draw(t, "arrivals")
		for range 200 {
			s.step(arrivals)
		}
		for range rapid.IntRange(1, 6).Draw(t, "tasks") {
			w := Want{Needs: processors(rapid.Int64Range(2, 16).Draw(t, "needs")), Tasks: 1}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				w.Needs, w.Lasting = processors(rapid.Int64Range(1, 4).Draw(t, "lasting")), true
			case 1:
				w.Tasks, w.Together, w.SameRack, w.FarCost = 2, true, rapid.Bool().Draw(t, "sameRack"), usualTime
				w.Needs = processors(rapid.Int64Range(2, 8).Draw(t, "member"))
			}
			s.add(w)
		}
		leaves := rapid.IntRange(0, 400).Draw(t, "leaves") // after this step, if before 200
		for n := 0; slices.ContainsFunc(s.tasks, func(x *task) bool { return x.Tasks > 0 }); n++ {
			s.machines[0].gone = s.machines[0].gone || n == leaves && n < 200
			s.step(arrivals)
			if o := s.overcommitted(); o != "" {
				t.Fatalf("too much is held: %s", o)
			}
			for k, x := range s.tasks {
				if x.Tasks > 0 && s.now.Sub(x.submitted) > time.Duration(k+2)*2*longestTime && s.fits(x) {
					t.Fatalf("task %d %+v waits for %v, holds %v", k, x.Needs, s.now.Sub(x.submitted), s.plan.Holds(x.Step))
				}
			}
			if n > 20000 {
				return // some task fits no worker beside the lasting ones
			}
		}
	})
}

// fits reports whether the tasks have room beside the lasting runs and nothing else.
func (s *site) fits(t *task) bool {
	n := 0
	for _, m := range s.machines {
		room := m.capacity
		for _, r := range m.runs {
			if r.lasting {
				room = room.Minus(r.needs)
			}
		}
		for ; !m.gone && t.Needs.Fits(room); room = room.Minus(t.Needs) {
			n++
		}
	}
	return n >= t.Tasks
}

// Guards against holds that leave workers idle though small tasks would end in time or fit
// beside: at least nine tenths of the small tasks still start.
func TestSmallTasksFillWhatThePlanLeaves(t *testing.T) {
	i := is.New(t)
	count := func(large bool) int {
		s := newSite(1, 8)
		for n := range 2000 {
			if large && n%250 == 0 {
				s.add(Want{Needs: processors(4), Tasks: 1})
			}
			s.step(4)
		}
		for _, x := range s.tasks {
			i.True(!x.started.IsZero())
		}
		return s.small
	}
	i.True(count(true)*10 >= count(false)*9)
}

// Guards against plans that change all the time when the estimates are wrong: a hold moves
// at most maxMoves times, and a broken promise counts once.
func TestWrongEstimatesDoNotMakeThePlanThrash(t *testing.T) {
	i := is.New(t)
	for seed := range uint64(20) {
		s := newSite(seed, 4)
		s.tails = 0.5
		for range 500 {
			s.step(10)
		}
		x := s.add(Want{Needs: processors(12), Tasks: 1})
		seen := map[*Worker]bool{}
		for n := 0; x.Tasks > 0 && n < 3000; n++ {
			s.step(10)
			for _, h := range s.plan.Holds(x.Step) {
				seen[h.Worker] = true
			}
		}
		i.Equal(x.Tasks, 0)
		i.True(len(seen) <= 1+maxMoves)
		i.True(s.slips <= 25) // one for each broken promise, of 0.3 s and more
	}
}

// Guards against a task that takes held room, though it is worth no more, ends late, or the
// hold is due; and against holds that keep out one that is worth more.
func TestWhoMayUseHeldRoom(t *testing.T) {
	i := is.New(t)
	s := newSite(1, 1)
	m := s.machines[0]
	m.runs = []run{{needs: processors(14), began: s.now, end: s.now.Add(time.Second)}}
	s.add(Want{Needs: processors(15), Tasks: 1, Rank: 4})
	s.plan.Update(s.now, []Want{s.tasks[0].Want}, s.workers, s.forecast)
	ready := s.plan.Holds(s.tasks[0].Step)[0].Ready.Sub(s.now)
	i.True(ready >= 3*usualTime/2)
	room := func(after time.Duration, a Ask) int64 {
		return s.plan.Room(s.now.Add(after), &m.Worker, m.free(), a).Processors
	}
	i.Equal(room(0, Ask{Late: ready, Rank: 4}), int64(2))                 // ends in time
	i.Equal(room(0, Ask{Late: ready + 1, Rank: 4}), int64(1))             // fits beside
	i.Equal(room(0, Ask{Rank: 4}), int64(1))                              // nobody knows when it ends
	i.Equal(room(0, Ask{Late: ready + 1, Rank: 3}), int64(2))             // is worth more
	i.Equal(room(0, Ask{Late: ready, Rank: 3, Lasting: true}), int64(1))  // would keep the room
	i.Equal(room(ready, Ask{Late: time.Millisecond, Rank: 3}), int64(1))  // the hold is due
	i.Equal(room(0, Ask{Step: s.tasks[0].Step, Planned: true}), int64(2)) // its own
	i.Equal(room(0, Ask{Step: s.tasks[0].Step, Rank: 4}), int64(1))       // a copy
}

// Guards against tasks and gangs that wait for a worker with long runs though another one
// has come back and is idle.
func TestAHoldMovesToAWorkerThatComesBack(t *testing.T) {
	for _, together := range []bool{false, true} {
		i := is.New(t)
		s := newSite(1, 2)
		s.machines[0].gone = true
		for range 16 {
			s.machines[1].runs = append(s.machines[1].runs, run{needs: processors(1), began: s.now.Add(-time.Minute), end: s.now.Add(time.Hour)})
		}
		x := s.add(Want{Needs: processors(3), Tasks: 2, Together: together})
		for range 5 {
			s.step(0)
		}
		i.Equal(len(s.plan.Holds(x.Step)), map[bool]int{false: 1, true: 2}[together])
		s.machines[0].gone = false
		s.machines[0].runs = []run{{needs: processors(13), began: s.now, end: s.now.Add(usualTime)}}
		for range 300 {
			s.step(5)
		}
		i.Equal(x.Tasks, 0)
	}
}
