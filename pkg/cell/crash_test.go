package cell_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// crashingFleet answers a planner's orders for workers that some tasks crash. A run
// takes runTime and is done; a crashed worker is away for downTime.
type crashingFleet struct {
	*rig
	// ends, if set, returns how long a run takes instead, and how it ends.
	ends func(sched.TaskRef) (time.Duration, sched.RunEnd)
	// crashes reports whether a task crashes its worker, and how long after its start.
	crashes func(sched.TaskRef) (time.Duration, bool)
	// sameID makes workers come back under their ids, else another id has the address.
	sameID bool
	// downtime is how long a crashed worker is away, downTime if it is 0.
	downtime time.Duration
	workers  []*fleetWorker
	added    int
	// started counts the starts of each task, crashed the crashes under it.
	started, crashed map[sched.TaskRef]int
	// beside is the largest number of runs that a crash of a suspect ended besides.
	beside int
	term   sched.Offset
	// history lists crashes and hand-overs, for a test's message.
	history []string
}

type fleetWorker struct {
	sched.Worker
	runs      map[hosts.Key]time.Time
	ends      []sched.EndedRun
	lastEnd   int64
	downUntil time.Time
	left      bool
}

const (
	runTime  = 3 * time.Second
	downTime = 3200 * time.Millisecond
)

func newCrashingFleet(t *testing.T, workers int) *crashingFleet {
	f := &crashingFleet{rig: newRig(t), started: map[sched.TaskRef]int{}, crashed: map[sched.TaskRef]int{}, term: 1}
	for range workers {
		f.add(fmt.Sprintf("10.0.0.%d:1", f.added+1))
	}
	return f
}

func (f *crashingFleet) add(address string) {
	f.added++
	w := worker(f.added)
	w.Address, w.Incarnation = address, f.now.UnixMilli()
	f.workers = append(f.workers, &fleetWorker{Worker: w, runs: map[hosts.Key]time.Time{}})
	f.planner.Listed(f.now, w)
}

// advance passes the time in short steps and answers what is due.
func (f *crashingFleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.pass(25 * time.Millisecond)
		f.commit()
		for _, w := range slices.Clone(f.workers) {
			f.move(w)
		}
		f.answerStarts()
		for _, l := range slices.Clone(f.effects.Leases) {
			f.answerLease(l)
		}
		f.effects.Stops = nil
	}
}

// move ends the runs of a worker that are over, crashes it, or brings it back.
func (f *crashingFleet) move(w *fleetWorker) {
	switch {
	case w.left:
	case !w.downUntil.IsZero() && !f.now.Before(w.downUntil):
		f.comeBack(w)
	case w.downUntil.IsZero():
		for k, at := range w.runs {
			if after, deadly := f.crashes(k.Task); deadly && f.now.Sub(at) >= after {
				f.crash(w, k)
				return
			}
		}
		for k, at := range w.runs {
			after, end := runTime, sched.EndDone
			if f.ends != nil {
				after, end = f.ends(k.Task)
			}
			if f.now.Sub(at) >= after {
				delete(w.runs, k)
				w.lastEnd++
				w.ends = append(w.ends, sched.EndedRun{Number: w.lastEnd, Task: k.Task, Run: k.Run, End: end})
			}
		}
	}
}

func (f *crashingFleet) crash(w *fleetWorker, k hosts.Key) {
	if f.crashed[k.Task] > 0 {
		f.beside = max(f.beside, len(w.runs)-1)
	}
	f.crashed[k.Task]++
	f.history = append(f.history, fmt.Sprintf("%v %v run %d on %s", f.now.Sub(epoch), k.Task, k.Run, w.ID))
	w.runs, w.ends, w.lastEnd = map[hosts.Key]time.Time{}, nil, 0
	w.downUntil = f.now.Add(cmp.Or(f.downtime, downTime))
}

func (f *crashingFleet) comeBack(w *fleetWorker) {
	w.downUntil = time.Time{}
	if f.sameID {
		w.Incarnation = f.now.UnixMilli()
		f.planner.Listed(f.now, w.Worker)
		return
	}
	w.left = true
	f.add(w.Address)
	f.planner.Unlisted(f.now, w.ID)
}

func (f *crashingFleet) find(id sched.InstanceID) *fleetWorker {
	for _, w := range f.workers {
		if w.ID == id {
			return w
		}
	}
	return nil
}

func (f *crashingFleet) answerStarts() {
	for _, s := range f.starts() {
		w := f.find(s.Worker.ID)
		if w.left || !w.downUntil.IsZero() {
			f.start(s, errLost)
			continue
		}
		f.started[s.Order.Task]++
		w.runs[keyOf(s)] = f.now
		f.start(s, nil)
	}
}

func (f *crashingFleet) answerLease(l cell.LeaseCall) {
	w := f.find(l.Worker.ID)
	switch {
	case w.left:
		f.exchange(w.ID, sched.LeaseAnswer{OrderAnswer: sched.OrderAnswer{Refusal: sched.RefusedIdentity}}, nil)
		return
	case !w.downUntil.IsZero():
		f.exchange(w.ID, sched.LeaseAnswer{}, errLost)
		return
	}
	w.ends = slices.DeleteFunc(w.ends, func(e sched.EndedRun) bool { return e.Number <= l.Order.RecordedEnd })
	a := sched.LeaseAnswer{OrderAnswer: sched.OrderAnswer{Incarnation: w.Incarnation}, Ended: w.ends}
	for k := range w.runs {
		a.Running = append(a.Running, sched.RunningRun{Task: k.Task, Run: k.Run, Percent: 50})
	}
	f.exchange(w.ID, a, nil)
}

// handOver replaces the planner by one that begins with what is recorded.
func (f *crashingFleet) handOver() {
	f.commit()
	f.answerStarts()
	f.commit()
	f.history = append(f.history, fmt.Sprintf("%v hand-over", f.now.Sub(epoch)))
	f.term++
	f.succeed(f.restore(), f.term)
	for _, w := range f.workers {
		if !w.left {
			f.planner.Listed(f.now, w.Worker)
		}
	}
}

func (f *crashingFleet) state(id string) sched.JobState {
	s, _ := f.planner.State(f.now, sched.JobID(id))
	return s
}

// Guards against a task that crashes worker after worker, against the jobs beside it
// that are given up with it, and against a count that a hand-over forgets.
func TestATaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	rows := []struct {
		name     string
		tasks    int
		after    time.Duration
		sameID   bool
		handOver bool
		starts   int // at most, of one task
	}{
		{"another id has the address", 1, 0, false, false, 2},
		{"the same id", 1, 0, true, false, 2},
		{"hand-over between the crashes", 1, 0, false, true, 3},
		{"ten tasks of a step", 10, 0, false, false, 2},
		{"two seconds after the start", 1, 2 * time.Second, false, false, 4},
		{"two seconds after the start, the same id", 1, 2 * time.Second, true, false, 4},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			f := newCrashingFleet(t, 12)
			f.sameID = row.sameID
			f.crashes = func(r sched.TaskRef) (time.Duration, bool) { return row.after, r.Job == "bad" }
			f.advance(time.Second)
			good, bad := step(), step()
			good.Tasks, bad.Tasks = 60, row.tasks
			f.submit(job("good", good))
			f.advance(100 * time.Millisecond)
			f.submit(job("bad", bad))
			f.advance(5 * time.Second)
			if row.handOver {
				f.handOver()
			}
			f.advance(40 * time.Second)
			i.Equal(f.state("bad"), sched.JobFailed)
			i.Equal(f.planner.Failure("bad"), sched.FailureCrashes)
			i.Equal(f.state("good"), sched.JobCompleted)
			f.handOver()
			i.Equal(f.planner.Failure("bad"), sched.FailureCrashes)
			total := 0
			for r, n := range f.started {
				if r.Job == "bad" {
					i.True(n <= row.starts)
					total += n
				}
			}
			i.True(total <= row.tasks+row.starts-1) // one task shows what the others of its step do
		})
	}
}

// Guards against a suspect that takes many runs with it: it starts where a crash does
// the least harm, and nothing is placed beside it until it has shown that it is sound.
func TestASuspectStartsWhereACrashDoesTheLeastHarm(t *testing.T) {
	i := is.New(t)
	f := newCrashingFleet(t, 6)
	f.crashes = func(r sched.TaskRef) (time.Duration, bool) { return 0, r.Job == "bad" }
	f.advance(time.Second)
	good := step()
	good.Tasks = 20
	f.submit(job("good", good))
	f.submit(job("bad", step()))
	f.advance(3 * time.Second)
	for k := range 20 {
		f.submit(job(fmt.Sprint("later", k), step()))
		f.advance(500 * time.Millisecond)
	}
	f.advance(10 * time.Second)
	i.Equal(f.state("bad"), sched.JobFailed)
	i.True(f.beside <= 1)
}

// Guards against a loss of workers that is taken for the doing of their tasks.
func TestTheEndOfAWorkerThatIsNoCrashIsHeldAgainstNoTask(t *testing.T) {
	rows := []struct {
		name string
		do   func(*crashingFleet, *fleetWorker)
	}{
		{"silent and back", func(f *crashingFleet, w *fleetWorker) {
			runs := w.runs
			w.downUntil = f.now.Add(time.Hour)
			f.advance(time.Second)
			w.runs, w.downUntil = runs, time.Time{}
		}},
		{"about to leave", func(f *crashingFleet, w *fleetWorker) {
			w.Draining, w.DrainRemaining = true, time.Second
			f.planner.Listed(f.now, w.Worker)
			f.advance(100 * time.Millisecond)
			w.runs, w.downUntil = map[hosts.Key]time.Time{}, f.now.Add(downTime)
		}},
		{"about to leave, and back at once under its id", func(f *crashingFleet, w *fleetWorker) {
			w.Draining, w.DrainRemaining = true, time.Second
			f.planner.Listed(f.now, w.Worker)
			f.advance(100 * time.Millisecond)
			w.Draining, w.DrainRemaining = false, 0
			w.runs, w.ends, w.lastEnd = map[hosts.Key]time.Time{}, nil, 0
			w.Incarnation = f.now.UnixMilli()
			f.planner.Listed(f.now, w.Worker)
		}},
		{"about to leave, and away for longer than its lease", func(f *crashingFleet, w *fleetWorker) {
			w.Draining, w.DrainRemaining = true, time.Second
			f.planner.Listed(f.now, w.Worker)
			f.advance(100 * time.Millisecond)
			w.runs, w.ends, w.lastEnd, w.downUntil = map[hosts.Key]time.Time{}, nil, 0, f.now.Add(time.Hour)
			f.advance(10 * time.Second)
			w.Draining, w.DrainRemaining, w.downUntil = false, 0, time.Time{}
			w.Incarnation = f.now.UnixMilli()
			f.planner.Listed(f.now, w.Worker)
		}},
		{"silent until its lease has ended, and back", func(f *crashingFleet, w *fleetWorker) {
			w.downUntil = f.now.Add(time.Hour)
			f.advance(20 * time.Second)
			w.runs, w.downUntil = map[hosts.Key]time.Time{}, time.Time{}
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			f := newCrashingFleet(t, 1)
			f.crashes = func(sched.TaskRef) (time.Duration, bool) { return 0, false }
			f.advance(time.Second)
			for range 5 {
				j := job(fmt.Sprint("job", f.now.Sub(epoch)), step())
				f.submit(j)
				f.advance(100 * time.Millisecond)
				row.do(f, f.workers[len(f.workers)-1])
				f.advance(30 * time.Second)
				i.Equal(f.state(string(j.ID)), sched.JobCompleted)
			}
			i.Equal(f.planner.Stats().Crashes, int64(0))
		})
	}
}

// Guards against a crash that isn't counted, since the worker was or is about to leave in
// another incarnation, or no longer was when it crashed.
func TestAWorkerThatStaysHasCrashedWhateverItDidBefore(t *testing.T) {
	rows := []struct {
		name          string
		before, after bool // it drains before the run is placed, or as soon as it is back
	}{
		{"it was to leave before, and stayed", true, false},
		{"it is to leave as soon as it is back", false, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			f := newCrashingFleet(t, 1)
			f.crashes = func(sched.TaskRef) (time.Duration, bool) { return 0, false }
			f.advance(time.Second)
			w := f.workers[0]
			w.Draining, w.DrainRemaining = row.before, time.Minute
			f.planner.Listed(f.now, w.Worker)
			f.advance(time.Second)
			w.Draining = false
			f.planner.Listed(f.now, w.Worker)
			f.submit(job("a", step()))
			f.advance(100 * time.Millisecond)
			i.Equal(len(w.runs), 1)
			w.runs, w.Incarnation, w.Draining = map[hosts.Key]time.Time{}, f.now.UnixMilli(), row.after
			f.planner.Listed(f.now, w.Worker)
			f.advance(time.Second)
			i.Equal(f.planner.Stats().Crashes, int64(1))
		})
	}
}

// Guards against a task that crashes worker after worker, since each is back only after
// the task has been given up with its lease.
func TestACrashOfAWorkerThatIsAwayForLongerThanItsLeaseCounts(t *testing.T) {
	for _, sameID := range []bool{false, true} {
		for down := 3 * time.Second; down <= 12*time.Second; down += time.Second {
			t.Run(fmt.Sprintf("sameID=%v %v", sameID, down), func(t *testing.T) {
				i := is.New(t)
				f := newCrashingFleet(t, 12)
				f.sameID, f.downtime = sameID, down
				f.crashes = func(r sched.TaskRef) (time.Duration, bool) { return 10 * time.Millisecond, r.Job == "bad" }
				f.advance(time.Second)
				f.submit(job("good", step()))
				f.submit(job("bad", step()))
				f.advance(90 * time.Second)
				i.Equal(f.state("bad"), sched.JobFailed)
				i.Equal(f.state("good"), sched.JobCompleted)
				i.True(f.crashed[sched.TaskRef{Job: "bad"}] <= 4)
			})
		}
	}
}

// Guards against a crash that isn't counted, or a silence that is, when the worker is
// back after the lease of its runs.
func TestAWorkerThatIsBackAfterItsLeaseHasCrashedIfItHasRestarted(t *testing.T) {
	rows := []struct {
		name    string
		back    func(*crashingFleet, *fleetWorker)
		crashes int64
	}{
		{"in the same incarnation", func(*crashingFleet, *fleetWorker) {}, 0},
		{"in a new incarnation", func(f *crashingFleet, w *fleetWorker) {
			w.Incarnation = f.now.UnixMilli()
			f.planner.Listed(f.now, w.Worker)
		}, 1},
		{"in a new incarnation that the list doesn't have yet", func(f *crashingFleet, w *fleetWorker) {
			w.Incarnation = f.now.UnixMilli()
		}, 1},
		{"in a new incarnation, unlisted meanwhile", func(f *crashingFleet, w *fleetWorker) {
			f.planner.Unlisted(f.now, w.ID)
			f.advance(10 * time.Second)
			w.Incarnation = f.now.UnixMilli()
			f.planner.Listed(f.now, w.Worker)
		}, 1},
		{"in the same incarnation, and restarted later", func(f *crashingFleet, w *fleetWorker) {
			w.downUntil = time.Time{}
			f.advance(time.Second)
			w.Incarnation = f.now.UnixMilli()
			f.planner.Listed(f.now, w.Worker)
		}, 0},
		{"under another id", func(f *crashingFleet, w *fleetWorker) { f.comeBack(w) }, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			f := newCrashingFleet(t, 2)
			f.crashes = func(sched.TaskRef) (time.Duration, bool) { return 0, false }
			f.advance(time.Second)
			f.submit(job("a", step()))
			f.advance(100 * time.Millisecond)
			w := f.workers[slices.IndexFunc(f.workers, func(w *fleetWorker) bool { return len(w.runs) > 0 })]
			w.runs, w.downUntil = map[hosts.Key]time.Time{}, f.now.Add(time.Hour)
			f.advance(10 * time.Second)
			row.back(f, w)
			w.downUntil = time.Time{}
			f.advance(10 * time.Second)
			i.Equal(f.planner.Stats().Crashes, row.crashes)
			i.Equal(f.state("a"), sched.JobCompleted)
		})
	}
}

// Guards against a task that crashes more workers than the platform allows, and against
// an innocent job that is shown as failed, with several of them in any mix and with
// hand-overs.
func TestCrashesGiveUpOnlyTheTasksThatCauseThem(t *testing.T) {
	rapid.Check(t, func(d *rapid.T) {
		f := newCrashingFleet(t, rapid.IntRange(6, 12).Draw(d, "workers"))
		f.sameID = rapid.Bool().Draw(d, "sameID")
		f.crashes = func(r sched.TaskRef) (time.Duration, bool) { return 10 * time.Millisecond, r.Job[0] == 'b' }
		f.advance(time.Second)
		var ids []string
		for k := range rapid.IntRange(2, 8).Draw(d, "jobs") {
			s := step()
			s.Tasks = rapid.IntRange(1, 12).Draw(d, "tasks")
			ids = append(ids, fmt.Sprint(rapid.SampledFrom([]string{"good", "good", "bad"}).Draw(d, "kind"), k))
			f.submit(job(ids[k], s))
			f.advance(time.Duration(rapid.IntRange(1, 4000).Draw(d, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 4).Draw(d, "handOver") == 0 {
				f.handOver()
			}
		}
		f.advance(90 * time.Second)
		for _, id := range ids {
			want := sched.JobCompleted
			if id[0] == 'b' {
				want = sched.JobFailed
			}
			if s := f.state(id); s != want {
				d.Errorf("job %s ends as %d, not as %d", id, s, want)
			}
		}
		for r, n := range f.crashed {
			if n > 5 {
				d.Errorf("%v has crashed %d workers: %s", r, n, strings.Join(f.history, "; "))
			}
		}
	})
}

// Guards against a task that crashes worker after worker because each planner that has seen its run start is replaced before the crash is known.
func TestACrashThatOnlyASuccessorLearnsOfCounts(t *testing.T) {
	const maxStarts = 5 // the third start after three crashes breaks the platform's rule
	rows := []struct {
		name   string
		sameID bool
		delay  time.Duration // from the crash to the hand-over
	}{
		{"another id has the address", false, 500 * time.Millisecond},
		{"the same id", true, 500 * time.Millisecond},
		{"the same id, just after the crash", true, 25 * time.Millisecond},
		{"the same id, just before its return", true, 3 * time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			f := newCrashingFleet(t, 6)
			f.sameID = row.sameID
			f.crashes = func(r sched.TaskRef) (time.Duration, bool) { return 10 * time.Millisecond, r.Job == "bad" }
			f.advance(time.Second)
			good := step()
			good.Tasks = 4
			seen := 0
			bad := sched.TaskRef{Job: "bad"}
			for k := range 600 {
				if k%4 == 0 && k < 300 {
					f.submit(job(fmt.Sprint("good", k), good))
				}
				if k == 30 {
					f.submit(job("bad", step()))
				}
				f.advance(100 * time.Millisecond)
				if n := f.crashed[bad]; n > seen {
					seen = n
					f.advance(row.delay)
					f.handOver()
				}
			}
			i.Equal(f.state("bad"), sched.JobFailed)
			i.True(f.started[bad] <= maxStarts)
			for k := 0; k < 300; k += 4 {
				i.Equal(f.state(fmt.Sprint("good", k)), sched.JobCompleted)
			}
		})
	}
}

// Guards against a task that goes on crashing workers because other tasks crash others at the same time, and against tasks that are suspected for an outage of several workers.
func TestCrashesAtTheSameTimeHaveACauseOutsideUnlessTasksExplainThem(t *testing.T) {
	rows := []struct {
		name    string
		crashes int // of other workers at the same time
		outage  time.Duration
		suspect bool
	}{
		{"three other tasks that have just started", 3, 0, true},
		{"outage of three other workers", 3, downTime, false},
		{"outage of one other worker", 1, downTime, true},
		{"three other workers that are cut off for a moment", 3, 500 * time.Millisecond, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			f := newCrashingFleet(t, 4)
			f.sameID = true
			f.crashes = func(r sched.TaskRef) (time.Duration, bool) {
				if r.Job == "slow" {
					return 2 * time.Second, true
				}
				return 10 * time.Millisecond, r.Job[0] == 'q'
			}
			f.advance(time.Second)
			whole := step() // has a worker to itself
			whole.Needs.Processors = 16000
			f.submit(job("slow", whole))
			for k := range row.crashes {
				if row.outage > 0 {
					f.submit(job(fmt.Sprint("good", k), whole))
				}
			}
			f.advance(1900 * time.Millisecond)
			for k := range row.crashes {
				if row.outage == 0 {
					f.submit(job(fmt.Sprint("quick", k), whole))
				}
			}
			f.advance(100 * time.Millisecond)
			var cut []*fleetWorker
			runs := map[*fleetWorker]map[hosts.Key]time.Time{}
			for _, w := range f.workers {
				for r := range w.runs {
					if strings.HasPrefix(string(r.Task.Job), "good") {
						cut, runs[w] = append(cut, w), w.runs
						w.runs, w.downUntil = map[hosts.Key]time.Time{}, f.now.Add(downTime)
					}
				}
			}
			f.advance(min(row.outage, downTime/2))
			for _, w := range cut {
				if row.outage < downTime {
					w.runs, w.downUntil = runs[w], time.Time{}
				}
			}
			f.advance(4200*time.Millisecond - min(row.outage, downTime/2))
			i.Equal(f.crashed[sched.TaskRef{Job: "slow"}], 1)
			i.Equal(f.recorded("slow").Suspect, row.suspect)
		})
	}
}
