package worker

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

var smallNeeds = sched.Resources{Processors: 1000, Memory: 1}

type fixture struct {
	clock *clock.Manual
	pool  *Pool
}

func newFixture(c Config, workers ...sched.InstanceID) fixture {
	b := fixture{clock: clock.NewManual(time.Unix(1_800_000_000, 0))}
	c.Clock = b.clock
	b.pool = NewPool(c)
	for _, id := range workers {
		b.pool.Add(sched.Member{ID: id, Role: sched.RoleWorker, Capacity: sched.Resources{Processors: 2000, Memory: 2}})
	}
	return b
}

func (b fixture) call(w sched.InstanceID, term sched.Offset, lease time.Duration, commands ...sched.Command) (sched.WorkerReport, error) {
	call := sched.WorkerCall{Term: term, NotAfter: b.clock.Now().Add(lease), Commands: commands}
	return b.pool.Exchange(nil, sched.Member{ID: w}, call) //nolint:staticcheck // the pool ignores the context
}

func newCommand(k sched.CommandKind, task sched.TaskID, a sched.Attempt) sched.Command {
	return sched.Command{Kind: k, Task: task, Attempt: a, TaskKind: "k", Needs: smallNeeds}
}

func stateOf(r sched.WorkerReport, task sched.TaskID) sched.AttemptState {
	for _, a := range r.Attempts {
		if a.Task == task {
			return a.State
		}
	}
	return 0
}

// Guards against a worker that runs on after its lease, which would let the
// next attempt run at the same time.
func TestLeaseEndsByTheWorkersOwnClock(t *testing.T) {
	i := is.New(t)
	b := newFixture(Config{}, "fast", "slow")
	b.pool.Worker("fast").SetClockOffset(4 * time.Second)
	b.pool.Worker("slow").SetClockOffset(-4 * time.Second)
	for _, w := range []sched.InstanceID{"fast", "slow"} {
		_, err := b.call(w, 1, 10*time.Second, newCommand(sched.CommandStart, sched.TaskID(w), 1))
		i.NoErr(err)
	}
	b.clock.Advance(8 * time.Second)
	c := b.pool.Observer().Counts()
	i.Equal(c.Lapsed, 1)  // the fast clock passed the lease after 6 s
	i.Equal(c.Running, 1) // the slow one passes it after 14 s
	b.clock.Advance(7 * time.Second)
	i.Equal(b.pool.Observer().Counts().Lapsed, 2)
	r, err := b.call("fast", 1, 10*time.Second, newCommand(sched.CommandStart, "fast", 1))
	i.NoErr(err)
	i.Equal(stateOf(r, "fast"), sched.AttemptLeaseExpired) // the attempt doesn't come back
}

// Guards against an observer that misses a task that runs on two workers at the
// same time: tests of the scheduler would then pass although invariant I2 is broken.
func TestObserverSeesDoubleRunsAndResumes(t *testing.T) {
	i := is.New(t)
	b := newFixture(Config{}, "a", "b")
	_, err := b.call("a", 1, time.Hour, newCommand(sched.CommandStart, "t", 1))
	i.NoErr(err)
	b.clock.Advance(5 * time.Second)
	r, err := b.call("a", 1, time.Hour, newCommand(sched.CommandCheckpoint, "t", 1))
	i.NoErr(err)
	resume := newCommand(sched.CommandStart, "t", 2)
	resume.Checkpoint = r.Attempts[0].Checkpoint
	_, err = b.call("a", 1, time.Hour, resume)
	i.NoErr(err)
	i.Equal(b.pool.Observer().Counts().DoubleRuns, 0)
	_, err = b.call("b", 1, time.Hour, resume)
	i.NoErr(err)
	c := b.pool.Observer().Counts()
	i.Equal(c.DoubleRuns, 1)
	i.Equal(c.DoubleResumes, 1)
	i.Equal(c.DuplicateStarts, 1)
	b.clock.Advance(time.Minute)
	c = b.pool.Observer().Counts()
	i.Equal(c.Finished, 2)
	i.Equal(c.DoubleFinishes, 1)
	i.Equal(b.pool.Observer().Starts("t", 2), 2)
}

// Guards against overcommitment, and against a bound attempt that starts
// before its turn or not at all.
func TestBoundAttemptsStartInOrderWhenResourcesAreFree(t *testing.T) {
	i := is.New(t)
	b := newFixture(Config{}, "a")
	r, err := b.call("a", 1, time.Hour,
		newCommand(sched.CommandStart, "t1", 1), newCommand(sched.CommandBind, "t2", 1),
		newCommand(sched.CommandBind, "t3", 1), newCommand(sched.CommandBind, "t4", 1),
		newCommand(sched.CommandStart, "t5", 1))
	i.NoErr(err)
	i.Equal(stateOf(r, "t2"), sched.AttemptRunning)
	i.Equal(stateOf(r, "t3"), sched.AttemptWaiting)
	i.Equal(stateOf(r, "t5"), sched.AttemptStopped) // refused: nothing is free
	_, err = b.call("a", 1, time.Hour, newCommand(sched.CommandStop, "t3", 1))
	i.NoErr(err)
	b.clock.Advance(61 * time.Second)
	r, err = b.call("a", 1, time.Hour, newCommand(sched.CommandStart, "t3", 1))
	i.NoErr(err)
	i.Equal(stateOf(r, "t3"), sched.AttemptStopped) // a stop rules out a later start
	i.Equal(stateOf(r, "t4"), sched.AttemptRunning)
	i.Equal(b.pool.Observer().Peak("a").Committed, sched.Resources{Processors: 2000, Memory: 2})
	i.Equal(b.pool.Observer().Counts().Overcommitted, 0)
}

// Guards against commands of a deposed planner, of an earlier lease and of a
// delayed call taking effect.
func TestFencing(t *testing.T) {
	tests := []struct {
		name   string
		tokens bool
		delay  time.Duration
		want   sched.AttemptState
	}{
		{"lower term with token check", true, 0, 0},
		{"lower term without token check", false, 0, sched.AttemptRunning},
		{"delayed past notAfter", false, 20 * time.Second, 0},
		{"delayed within notAfter", false, 5 * time.Second, sched.AttemptRunning},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			i := is.New(t)
			b := newFixture(Config{CheckTokens: tt.tokens}, "a")
			_, err := b.call("a", 7, time.Minute)
			i.NoErr(err)
			if tt.delay > 0 {
				b.pool.Worker("a").SetFaults(Faults{Delayed: 1, DelayBy: tt.delay})
			}
			_, err = b.call("a", 5, 10*time.Second, newCommand(sched.CommandStart, "t", 1))
			i.Equal(errors.Is(err, sched.ErrUncertain), tt.delay > 0)
			b.clock.Advance(tt.delay)
			b.pool.Worker("a").SetFaults(Faults{})
			r, err := b.call("a", 7, time.Minute)
			i.NoErr(err)
			i.Equal(stateOf(r, "t"), tt.want)
		})
	}
}

// Guards against a worker that keeps its attempts or its boot number over a crash.
func TestCrashAndRestart(t *testing.T) {
	i := is.New(t)
	b := newFixture(Config{}, "a")
	_, err := b.call("a", 1, time.Hour, newCommand(sched.CommandStart, "t", 1))
	i.NoErr(err)
	w := b.pool.Worker("a")
	w.Crash()
	_, err = b.call("a", 1, time.Hour)
	i.True(errors.Is(err, sched.ErrUnavailable))
	w.Restart()
	r, err := b.call("a", 1, time.Hour)
	i.NoErr(err)
	i.Equal(r.Boot, uint64(2))
	i.Equal(len(r.Attempts), 0)
	i.Equal(b.pool.Observer().Counts().LostInCrash, 1)
}

// Guards against a start that a delay carries past a restart: the attempt ran
// before, so it would run a second time.
func TestDelayedStartDoesNotReachTheNextBoot(t *testing.T) {
	i := is.New(t)
	b := newFixture(Config{CheckTokens: true}, "a")
	w := b.pool.Worker("a")
	start := sched.WorkerCall{
		Term: 1, Boot: 1, NotAfter: b.clock.Now().Add(time.Hour),
		Commands: []sched.Command{newCommand(sched.CommandStart, "t", 1)},
	}
	w.SetFaults(Faults{Duplicated: 1, DelayBy: time.Second})
	_, err := b.pool.Exchange(t.Context(), sched.Member{ID: "a"}, start)
	i.NoErr(err)
	w.SetFaults(Faults{})
	w.Crash()
	w.Restart()
	b.clock.Advance(2 * time.Second)
	r, err := b.call("a", 1, time.Hour)
	i.NoErr(err)
	i.Equal(r.Boot, uint64(2))
	i.Equal(stateOf(r, "t"), sched.AttemptState(0))
	i.Equal(b.pool.Observer().Counts().DuplicateStarts, 0)
}

// Guards against measurements that arrive without the lag, or that don't show
// the interference of the task next to the service.
func TestReportsLagAndShowInterference(t *testing.T) {
	i := is.New(t)
	b := newFixture(Config{ReportLag: 3 * time.Second, Impacts: []Impact{{"s", "k", 2}}}, "a")
	w := b.pool.Worker("a")
	w.SetLoads([]Load{{"s", 0.5, 10 * time.Millisecond}})
	b.clock.Advance(10 * time.Second)
	_, err := b.call("a", 1, time.Hour, newCommand(sched.CommandStart, "t", 1))
	i.NoErr(err)
	i.Equal(w.Slowdown("s"), 2.0)
	b.clock.Advance(2 * time.Second)
	r, err := b.call("a", 1, time.Hour)
	i.NoErr(err)
	i.Equal(r.Services[0].P99, 10*time.Millisecond)
	b.clock.Advance(2 * time.Second)
	throttle := newCommand(sched.CommandThrottle, "t", 1)
	throttle.Share = 0.25
	r, err = b.call("a", 1, time.Hour, throttle)
	i.NoErr(err)
	i.Equal(r.Services[0].P99, 20*time.Millisecond)
	i.Equal(b.clock.Now().Sub(r.MeasuredAt), 3*time.Second)
	i.Equal(w.Slowdown("s"), 1.25)
	b.clock.Advance(8 * time.Second)
	r, err = b.call("a", 1, time.Hour)
	i.NoErr(err)
	i.Equal(r.Attempts[0].Progress, 6*time.Second) // 4 s at full share, 8 s at a quarter
}

// Guards against a truth that depends on where or how often a task runs.
func TestTruthDependsOnTheTaskOnly(t *testing.T) {
	i := is.New(t)
	f := TruthOf(5, []RunTimeModel{{Kind: "k", Median: time.Minute, Sigma: 1, Failing: 0.5}})
	failing := 0
	for n := range 100 {
		task := sched.TaskID(rune('a' + n))
		i.Equal(f(task, "k"), f(task, "k"))
		if f(task, "k").Fails {
			failing++
		}
	}
	i.True(failing > 20 && failing < 80)
}
