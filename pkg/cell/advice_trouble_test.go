package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/jobs"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against an advice service that is idle, or answers for nothing, while steps wait for
// it, and against calls that wait there and can't be overtaken.
func TestAnOverloadedAdviceServiceStaysBusy(t *testing.T) {
	for _, fromArrival := range []bool{false, true} {
		t.Run(fmt.Sprintf("fromArrival=%t", fromArrival), func(t *testing.T) {
			i := is.New(t)
			s := &adviceService{settings: checkAdvice, fromArrival: fromArrival}
			l := newAdviceLoad(t, 8, s)
			l.runFor(60*time.Second, func(time.Duration) float64 { return 8 })
			i.True(len(l.firstRun) >= 158) // nine tenths of 60 s / 0.34 s
			i.True(s.most <= 2)
			i.Equal(l.refusedStarts, 0)
		})
	}
}

// Guards against urgent steps that wait behind others that can wait.
func TestUrgentStepsAskFirst(t *testing.T) {
	i := is.New(t)
	s := &adviceService{settings: checkAdvice}
	l := newAdviceLoad(t, 8, s)
	for n := range 20 {
		j := check(n)
		j.Queue.Priority = 1
		l.submitAdvised(j)
	}
	l.runFor(time.Second, nothing)
	urgent := check(20)
	l.submitAdvised(urgent)
	l.runFor(1200*time.Millisecond, nothing) // two calls and the way of the order
	i.True(!l.firstRun[urgent.ID].IsZero())
}

// Guards against work that doesn't go on after the advice service was away, refused calls or
// stood still in a burst.
func TestWorkGoesOnAfterTroubleOfTheAdviceService(t *testing.T) {
	rows := []struct {
		name       string
		begin, end func(s *adviceService, now time.Time)
	}{
		{
			"away", func(s *adviceService, _ time.Time) { s.silent = true },
			func(s *adviceService, _ time.Time) { s.silent = false },
		},
		{
			"refusing", func(s *adviceService, _ time.Time) { s.full = true },
			func(s *adviceService, _ time.Time) { s.full = false },
		},
		{
			"standing still", func(s *adviceService, now time.Time) { s.freeAt = now.Add(5 * time.Second) },
			func(*adviceService, time.Time) {},
		},
		{
			"slow", func(s *adviceService, _ time.Time) { s.slowness = 5 },
			func(s *adviceService, _ time.Time) { s.slowness = 1 },
		},
	}
	for _, row := range rows {
		for _, fromArrival := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/fromArrival=%t", row.name, fromArrival), func(t *testing.T) {
				i := is.New(t)
				s := &adviceService{settings: checkAdvice, fromArrival: fromArrival}
				l := newAdviceLoad(t, 8, s)
				l.runFor(9*time.Second, burst)
				row.begin(s, l.now)
				l.runFor(5*time.Second, func(at time.Duration) float64 { return burst(at + 9*time.Second) })
				row.end(s, l.now)
				l.runFor(7*time.Second, func(time.Duration) float64 { return 2 }) // 4 s to recover, and 3 s in which nothing may wait
				before := len(l.submitted)
				l.runFor(13*time.Second, func(time.Duration) float64 { return 2 })
				l.runFor(14*time.Second, nothing)
				i.Equal(len(l.unfinished()), 0)
				for n := before; n < len(l.submitted); n++ {
					i.True(l.accepted[check(n).ID])
				}
			})
		}
	}
}

// Guards against a step for which the service never answers well, and that keeps all
// others from asking.
func TestAStepWithoutAnAnswerDoesNotHoldUpOthers(t *testing.T) {
	i := is.New(t)
	s := &adviceService{settings: checkAdvice, refuses: check(0).ID}
	l := newAdviceLoad(t, 4, s)
	l.runFor(20*time.Second, func(time.Duration) float64 { return 2 })
	l.runFor(5*time.Second, nothing)
	i.Equal(l.unfinished(), []sched.JobID{check(0).ID})
}

// restoreChecks replaces the planner by one that begins with n checks that wait.
func (l *adviceLoad) restoreChecks(n int) {
	var restored []*jobs.Job
	for k := range n {
		j := check(k)
		j.Queue.Advice = &l.service.settings
		r := jobs.New(j.WithSubmittedAt(l.now))
		r.Begin(l.now, sched.MaxTasks)
		restored = append(restored, r)
		l.accepted[j.ID] = true
	}
	l.succeed(restored, 2)
}

// Guards against a new planner whose steps all ask at once.
func TestANewPlannerAsksStepByStep(t *testing.T) {
	i := is.New(t)
	s := &adviceService{settings: checkAdvice, fromArrival: true}
	l := newAdviceLoad(t, 8, s)
	l.restoreChecks(24)
	for k := range 8 {
		l.planner.Listed(l.now, worker(k+1))
	}
	l.runFor(12*time.Second, nothing)
	i.Equal(len(l.unfinished()), 0)
	i.True(s.most <= 2)
	i.Equal(l.refusedStarts, 0)
}

// Guards against a planner that sends a start with a ticket that has ended while the record
// of the placement was written.
func TestAStartIsNotSentOnceItsTicketHasEnded(t *testing.T) {
	i := is.New(t)
	r := newAdvisedRig(t, 1, "w1")
	r.submitAdvised(step())
	r.commit()
	call := r.effects.Advice[0]
	r.effects.Advice = nil
	r.planner.Advised(r.now, cell.AdviceResult{
		Call: call, Sent: r.now, Received: r.now, Tickets: []sched.Ticket{{Worker: "w1", Text: "t"}}, Validity: ticketValidity,
	})
	r.pass(25 * time.Millisecond) // places the task
	i.True(r.flight)
	r.now = r.now.Add(ticketValidity)
	r.commit()
	i.Equal(len(r.starts()), 0)
	starts := r.run(time.Second) // with a new ticket
	i.Equal(len(starts), 1)
}

// Guards against a flood of questions where a worker refuses every ticket, and against a
// worker that is given up for it.
func TestAWorkerThatRefusesItsTicketsIsAskedAboutSeldom(t *testing.T) {
	i := is.New(t)
	s := &adviceService{settings: checkAdvice, refusedBy: "w1"}
	l := newAdviceLoad(t, 1, s)
	l.submitAdvised(check(0))
	l.runFor(20*time.Second, nothing)
	i.True(l.refusedStarts > 0)
	i.True(s.handled <= 14) // one in 0.3 s and the back-off, which is 2 s in the end
	s.refusedBy = ""
	l.runFor(4*time.Second, nothing)
	i.Equal(len(l.unfinished()), 0)
}

// Guards against a newer ticket that is given up since another worker has refused an older
// one of the same step.
func TestARefusedTicketEndsNoNewerOnes(t *testing.T) {
	i := is.New(t)
	r := newAdvisedRig(t, 1, "w1", "w2")
	s := withTasks(step(), 2)
	s.PerWorker = 1
	r.submitAdvised(s)
	first := r.run(200 * time.Millisecond)
	i.Equal(len(first), 1)
	r.planner.Listed(r.now, worker(2))
	second := r.run(time.Second)
	i.Equal(len(second), 1)
	r.refuse(first[0], sched.RefusedTicket)
	r.refuse(second[0], sched.RefusedNoCapacity)
	i.Equal(len(r.run(time.Second)), 2)
	i.Equal(r.askedAbout("w1"), 2)
	i.Equal(r.askedAbout("w2"), 1)
}

// Guards against a queue that never gets a usable ticket, since a call takes longer than its
// tickets are valid. It works where they count from the answer.
func TestTicketsThatAreShorterThanACallAreUsed(t *testing.T) {
	rows := []struct {
		name string
		s    sched.AdviceSettings
	}{
		{"long decision", sched.AdviceSettings{Decision: 4 * time.Second, Validity: 3 * time.Second}},
		{"hardly valid", sched.AdviceSettings{Decision: 100 * time.Millisecond, Validity: 250 * time.Millisecond}},
		{"long for each worker", sched.AdviceSettings{Decision: 300 * time.Millisecond, PerWorker: 400 * time.Millisecond, Validity: 3 * time.Second}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			l := newAdviceLoad(t, 30, &adviceService{settings: row.s})
			l.submitAdvised(check(0))
			l.runFor(14*time.Second, nothing)
			i.Equal(len(l.unfinished()), 0)
		})
	}
}

// Guards against a question about so many workers that its tickets have ended on arrival.
func TestACallLeavesTimeToUseItsTickets(t *testing.T) {
	i := is.New(t)
	s := sched.AdviceSettings{Decision: 300 * time.Millisecond, PerWorker: 200 * time.Millisecond, Validity: 3 * time.Second}
	l := newAdviceLoad(t, 30, &adviceService{settings: s, fromArrival: true})
	l.submitAdvised(check(0))
	l.runFor(5*time.Second, nothing)
	i.Equal(len(l.unfinished()), 0)
	i.Equal(l.refusedStarts, 0)
}

// Guards against a gang whose tickets end one after the other, since the permitted workers
// are found by several questions that together take longer than a ticket is valid.
func TestAGangGetsAllTicketsAtTheSameTime(t *testing.T) {
	i := is.New(t)
	long := sched.AdviceSettings{Decision: 300 * time.Millisecond, PerWorker: 30 * time.Millisecond, Validity: 3 * time.Second}
	l := newAdviceLoad(t, 70, &adviceService{settings: long, fromArrival: true})
	j := check(0)
	j.Steps[0] = gangOf(66)
	l.submitAdvised(j)
	l.runFor(10*time.Second, nothing)
	i.Equal(len(l.unfinished()), 0)
	i.Equal(l.refusedStarts, 0)
}

// Guards against a step that outlives its tickets and asks about all workers again, though
// the permitted ones are known.
func TestAStepAsksAgainOnlyAboutPermittedWorkers(t *testing.T) {
	i := is.New(t)
	short := sched.AdviceSettings{Decision: 100 * time.Millisecond, PerWorker: 5 * time.Millisecond, Validity: 800 * time.Millisecond}
	s := &adviceService{settings: short, permitted: []sched.InstanceID{"w1", "w2"}}
	l := newAdviceLoad(t, 30, s)
	j := check(0)
	j.Steps[0].Tasks = 160 // in five waves of 400 ms on two workers of 16 processors
	l.submitAdvised(j)
	l.runFor(5*time.Second, nothing)
	i.Equal(len(l.unfinished()), 0)
	i.True(len(s.named) > 1)
	i.Equal(s.named[0], 30)
	i.True(slices.Max(s.named[1:]) <= 2)
}
