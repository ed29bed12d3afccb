package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// outcome counts what the callers of checks got, by the time from the first request to the
// end of the job.
type outcome struct{ inTime, late, worthless, open, refused int }

func (l *adviceLoad) outcome() outcome {
	var o outcome
	// As users count it: twice the task and a call about 30 workers, and a second.
	objective := 2*(checkTime+450*time.Millisecond) + time.Second
	for id, at := range l.submitted {
		end := l.ended[id]
		switch took := end.Sub(at); {
		case !l.accepted[id]:
			o.refused++
		case end.IsZero():
			o.open++
		case took <= objective:
			o.inTime++
		case took <= 3*objective:
			o.late++
		default:
			o.worthless++
		}
	}
	return o
}

// Guards against jobs that are accepted and then wait without an end, since more come than
// the advice service bears; and against jobs that are refused though it bears them.
func TestJobsThatTheAdviceServiceCannotBearAreRefused(t *testing.T) {
	const (
		load     = 60 * time.Second
		bearable = 60.0 / 0.34 // calls about eight workers
	)
	for _, rate := range []float64{2.5, 3.5, 5.2, 8, 16} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			i := is.New(t)
			l := newAdviceLoad(t, 8, &adviceService{settings: checkAdvice})
			l.runFor(load, func(time.Duration) float64 { return rate })
			l.runFor(14*time.Second, nothing)
			o := l.outcome()
			t.Logf("%+v", o)
			i.Equal(o.open, 0)
			i.Equal(o.worthless, 0)
			i.True(float64(o.inTime+o.late) >= 0.9*min(rate*load.Seconds(), bearable))
			i.True(rate*load.Seconds() > bearable || o.refused == 0)
		})
	}
}

// Guards against urgent jobs that are refused because of others that can wait.
func TestJobsThatCanWaitKeepNoUrgentOnesOut(t *testing.T) {
	i := is.New(t)
	l := newAdviceLoad(t, 8, &adviceService{settings: checkAdvice})
	for n := range 30 {
		j := check(n)
		j.Queue.Priority = 1
		l.submitAdvised(j)
	}
	l.runFor(100*time.Millisecond, nothing)
	i.True(len(l.refusals) > 0)
	urgent := check(30)
	l.submitAdvised(urgent)
	l.runFor(100*time.Millisecond, nothing)
	i.True(l.accepted[urgent.ID])
}

// Guards against a refused caller that is answered by a planner which another one has
// replaced, and which may have accepted the job.
func TestARefusalBecauseOfAdviceWaitsForAProof(t *testing.T) {
	i := is.New(t)
	l := newAdviceLoad(t, 8, &adviceService{settings: checkAdvice})
	for n := range 30 {
		l.submitAdvised(check(n))
	}
	refused := l.submit(func() sched.Job {
		j := check(30)
		j.Queue.Advice = &l.service.settings
		return j
	}())
	l.now = l.now.Add(time.Millisecond)
	l.settle()
	_, answered := l.replies[refused]
	i.True(!answered)
	l.pass(time.Millisecond)
	v, answered := l.replies[refused]
	i.True(answered)
	i.Equal(v.Code, sched.CodeOverloaded)
	i.True(v.RetryAfter >= time.Second)
}

// Guards against waiting jobs that a new planner doesn't count.
func TestANewPlannerCountsTheJobsThatWaitForAdvice(t *testing.T) {
	i := is.New(t)
	l := newAdviceLoad(t, 8, &adviceService{settings: checkAdvice})
	l.restoreChecks(30)
	j := check(30)
	j.Queue.Advice = &l.service.settings
	x := l.submit(j)
	l.pass(time.Millisecond)
	i.Equal(l.replies[x].Code, sched.CodeOverloaded)
	i.Equal(l.planner.Stats(), cell.Stats{Refused: 1})
}
