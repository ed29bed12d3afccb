package lead_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/process/lead"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

func oneTask(id sched.JobID) sched.Job { return sched.Job{ID: id, Steps: []sched.Step{{Tasks: 1}}} }

// submitWithin submits a job with a deadline.
func submitWithin(c context.Context, l *lead.Leader, id sched.JobID, d time.Duration) (sched.Verdict, error) {
	x, cancel := context.WithTimeout(c, d)
	defer cancel()
	return l.Submit(x, oneTask(id))
}

// Guards against a caller that gets no answer, or a false one, while an append is pending:
// only a job that is part of it may be recorded later.
func TestAJobThatWaitsForAnAppendIsWithdrawnInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		c, stop := context.WithCancel(t.Context())
		defer stop()
		l := newLeader(newWorld(), "entry-0")
		store := &silentStore{Store: l.Store}
		l.Store = store
		ended := begin(c, l)
		_, err := submitWithin(c, l, "before", time.Second)
		i.NoErr(err)
		time.Sleep(100 * time.Millisecond)
		store.silent.Store(true)
		var calls sync.WaitGroup
		calls.Go(func() {
			_, err := submitWithin(c, l, "inFlight", 300*time.Millisecond)
			i.Equal(err, context.DeadlineExceeded)
		})
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		v, err := submitWithin(c, l, "waiting", 300*time.Millisecond)
		i.NoErr(err)
		i.Equal(v.Code, sched.CodeDeadlineTooShort)
		i.True(time.Since(began) < 300*time.Millisecond)
		calls.Wait()
		time.Sleep(100 * time.Millisecond)
		store.silent.Store(false)
		time.Sleep(3 * time.Second) // until the attempts without an answer have ended
		v, err = l.Submit(c, oneTask("after"))
		i.NoErr(err)
		i.Equal(v.Code, sched.CodeAccepted)
		for id, want := range map[sched.JobID]sched.JobState{"inFlight": sched.JobPending, "waiting": 0} {
			s, _, err := l.State(c, id)
			i.NoErr(err)
			i.Equal(s, want)
		}
		stop()
		<-ended
		time.Sleep(2 * time.Second)
	})
}

// Guards against calls that wait for a planner until their deadline though it is known that
// it won't come to them, and against a cancel that is refused with them.
func TestACallIsRefusedOnArrivalIfThePlannerIsTooFarBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		c, stop := context.WithCancel(t.Context())
		defer stop()
		l := newLeader(newWorld(), "entry-0")
		ended := begin(c, l)
		_, err := l.Submit(c, oneTask("before"))
		i.NoErr(err)
		const messages, each = 300, 10 * time.Millisecond
		for range messages {
			l.Post(func(*cell.Planner) { time.Sleep(each) })
		}
		time.Sleep(messages / 2 * each)
		began := time.Now()
		v, err := submitWithin(c, l, "hopeless", 500*time.Millisecond)
		i.NoErr(err)
		i.Equal(v.Code, sched.CodeDeadlineTooShort)
		i.True(v.RetryAfter >= time.Second)
		i.Equal(time.Since(began), time.Duration(0))
		x, cancel := context.WithTimeout(c, 500*time.Millisecond)
		defer cancel()
		_, err = l.Cancel(x, "before")
		i.Equal(err, context.DeadlineExceeded)
		v, err = submitWithin(c, l, "late", 3*time.Second) // there is time enough for this one
		i.NoErr(err)
		i.Equal(v.Code, sched.CodeAccepted)
		s, _, err := l.State(c, "before")
		i.NoErr(err)
		i.Equal(s, sched.JobCancelled)
		stop()
		<-ended
		time.Sleep(time.Second)
	})
}

// Guards against a call of low priority, or with much time left, that is handled before an
// urgent one which came later.
func TestWaitingCallsAreHandledByDeadlineAndPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		c, stop := context.WithCancel(t.Context())
		defer stop()
		l := newLeader(newWorld(), "entry-0")
		l.Spend = func(cell.Stats, cell.Stats) { time.Sleep(time.Millisecond) } // replies come one at a time
		ended := begin(c, l)
		l.Post(func(*cell.Planner) { time.Sleep(200 * time.Millisecond) })
		rows := []struct {
			id       sched.JobID
			deadline time.Duration
			priority int
		}{{"third", 3 * time.Second, 1}, {"fourth", 3 * time.Second, 2}, {"second", 3 * time.Second, 0}, {"first", time.Second, 0}}
		var mu sync.Mutex
		var got []sched.JobID
		var calls sync.WaitGroup
		for _, row := range rows {
			calls.Go(func() {
				x, cancel := context.WithTimeout(c, row.deadline)
				defer cancel()
				j := oneTask(row.id)
				j.Queue.Priority = row.priority
				// A job that is too large is refused at once, in the order of handling.
				j.Steps[0].Tasks = sched.MaxTasks + 1
				_, err := l.Submit(x, j)
				i.NoErr(err)
				mu.Lock()
				defer mu.Unlock()
				got = append(got, row.id)
			})
			time.Sleep(time.Millisecond)
		}
		calls.Wait()
		i.Equal(got, []sched.JobID{"first", "second", "third", "fourth"})
		stop()
		<-ended
		time.Sleep(time.Second)
	})
}
