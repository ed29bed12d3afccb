package cell_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// loadStep is the resolution of the virtual time of an adviceLoad.
	loadStep = 10 * time.Millisecond
	// adviceDelay is the one-way delay to the advice service and to the workers.
	adviceDelay = 10 * time.Millisecond
	// maxWaitingAdvice is the number of waiting calls from which on the service refuses more.
	maxWaitingAdvice = 32
	// cutTimeout is when a call fails whose service can't be reached.
	cutTimeout = 3 * time.Second
)

// adviceService is an advice service that handles one call at a time, in the order of
// arrival, and goes on with those that were given up. Its tickets are the times until which they are valid.
type adviceService struct {
	settings sched.AdviceSettings
	// fromArrival makes the validity of a ticket count from the arrival of the call instead
	// of the answer.
	fromArrival bool
	// slowness is how many times as long as its settings say a call takes, if above 1.
	slowness float64
	// silent makes calls fail after cutTimeout, and full at once.
	silent, full bool
	// refuses makes it answer an error for the steps of a job.
	refuses sched.JobID
	// permitted are the workers that get tickets, all of them if it is empty.
	permitted []sched.InstanceID
	// refusedBy is a worker that takes no ticket for valid.
	refusedBy sched.InstanceID

	waiting []*advisedCall
	freeAt  time.Time
	// most is the largest number of calls that waited or were handled at the same time,
	// handled the number of calls handled.
	most, handled int
	// named holds the number of workers in each call.
	named []int
}

// advisedCall is a call on its way to the service, at it, or on its way back.
type advisedCall struct {
	cell.AdviceCall
	sent, arrives, answers time.Time
	tickets                []sched.Ticket
	err                    error
}

var errRefused = errors.New("429")

// call makes a call, which arrives after adviceDelay.
func (s *adviceService) call(now time.Time, c cell.AdviceCall) *advisedCall {
	x := &advisedCall{AdviceCall: c, sent: now, arrives: now.Add(adviceDelay)}
	switch {
	case s.silent:
		x.err, x.answers = errors.New("no answer"), now.Add(cutTimeout)
		return x
	case s.full || len(s.waiting) >= maxWaitingAdvice || c.Step.Job == s.refuses:
		x.err, x.answers = errRefused, now.Add(2*adviceDelay)
		return x
	}
	s.waiting, s.named = append(s.waiting, x), append(s.named, len(c.Workers))
	s.most = max(s.most, len(s.waiting))
	return x
}

// advance handles the calls in turn up to the present time.
func (s *adviceService) advance(now time.Time) {
	for len(s.waiting) > 0 {
		x := s.waiting[0]
		began := x.arrives
		if s.freeAt.After(began) {
			began = s.freeAt
		}
		takes := s.settings.Decision + time.Duration(len(x.Workers))*s.settings.PerWorker
		ends := began.Add(time.Duration(max(1, s.slowness) * float64(takes)))
		if ends.After(now) {
			return
		}
		s.waiting, s.freeAt = s.waiting[1:], ends
		s.handled++
		from := ends
		if s.fromArrival {
			from = x.arrives
		}
		for _, id := range x.Workers {
			if len(s.permitted) > 0 && !slices.Contains(s.permitted, id) {
				continue
			}
			x.tickets = append(x.tickets, sched.Ticket{Worker: id, Text: from.Add(s.settings.Validity).Format(time.RFC3339Nano)})
		}
		x.answers = ends.Add(adviceDelay)
	}
}

// adviceLoad is a rig whose jobs need tickets of an adviceService. Its workers check them.
type adviceLoad struct {
	*rig
	service *adviceService
	calls   []*advisedCall
	runs    []loadRun
	ends    map[sched.InstanceID][]sched.EndedRun
	// lastEnd is the number of the newest end of each worker.
	lastEnd map[sched.InstanceID]int64
	// submitted holds when each job was handed in first, firstRun when its first run began,
	// and ended when its last run ended.
	submitted, firstRun, ended map[sched.JobID]time.Time
	// requests holds the callers' requests that have no answer, and later those that callers
	// make again, by the time. refusals counts the refusals of each job.
	requests map[cell.Ticket]sched.Job
	later    []laterRequest
	refusals map[sched.JobID]int
	accepted map[sched.JobID]bool
	// refusedStarts counts the starts that workers refused.
	refusedStarts int
}

// laterRequest is a request that a caller makes again at a time.
type laterRequest struct {
	at  time.Time
	job sched.Job
}

// maxRetries is how often a caller hands in a job again that was refused.
const maxRetries = 4

// plainPayload is that of jobs that need no advice.
const plainPayload = "plain"

type loadRun struct {
	worker sched.InstanceID
	order  sched.StartOrder
	ends   time.Time
}

func newAdviceLoad(t *testing.T, workers int, s *adviceService) *adviceLoad {
	l := &adviceLoad{
		rig: newRig(t), service: s, ends: map[sched.InstanceID][]sched.EndedRun{}, lastEnd: map[sched.InstanceID]int64{},
		submitted: map[sched.JobID]time.Time{}, firstRun: map[sched.JobID]time.Time{}, ended: map[sched.JobID]time.Time{},
		requests: map[cell.Ticket]sched.Job{}, refusals: map[sched.JobID]int{}, accepted: map[sched.JobID]bool{},
	}
	l.listFirst(workers)
	return l
}

// submitAdvised hands in a job in the queue with the service's settings.
func (l *adviceLoad) submitAdvised(j sched.Job) {
	j.Queue.Advice = &l.service.settings
	l.submitted[j.ID] = l.now
	l.requests[l.submit(j)] = j
	l.commit()
	l.answerCallers()
}

// answerCallers takes the answers to requests. Callers that were refused come again when
// they were told to, a few times.
func (l *adviceLoad) answerCallers() {
	for t, j := range l.requests {
		v, answered := l.replies[t]
		switch {
		case !answered:
			continue
		case v.Code == sched.CodeAccepted:
			l.accepted[j.ID] = true
		default:
			l.refusals[j.ID]++
			if v.RetryAfter <= 0 {
				l.t.Errorf("job %s was refused without a time to come again", j.ID)
			}
			if l.refusals[j.ID] <= maxRetries {
				l.later = append(l.later, laterRequest{l.now.Add(v.RetryAfter), j})
			}
		}
		delete(l.requests, t)
	}
	due := func(x laterRequest) bool { return !l.now.Before(x.at) }
	for _, x := range l.later {
		if due(x) {
			l.requests[l.submit(x.job)] = x.job
		}
	}
	l.later = slices.DeleteFunc(l.later, due)
}

// step advances the time by loadStep: calls are answered, orders carried out, runs end, and
// workers answer their exchanges.
func (l *adviceLoad) step() {
	l.pass(loadStep)
	l.service.advance(l.now)
	rest := l.calls[:0]
	for _, x := range l.calls {
		late := l.now.Sub(x.sent) >= x.Timeout
		switch {
		case !x.answers.IsZero() && !l.now.Before(x.answers):
			l.advised(x, x.tickets, x.err)
		case late:
			l.advised(x, nil, errors.New("timed out"))
		default:
			rest = append(rest, x)
		}
	}
	l.calls = rest
	l.commit()
	for _, c := range l.effects.Advice {
		l.calls = append(l.calls, l.service.call(l.now, c))
	}
	l.effects.Advice = nil
	for _, s := range l.starts() {
		l.carryOut(s)
	}
	l.endRuns()
	l.answerCallers()
	for _, c := range append([]cell.LeaseCall(nil), l.effects.Leases...) {
		l.exchange(c.Worker.ID, l.report(c), nil)
	}
	l.commit()
}

func (l *adviceLoad) advised(x *advisedCall, tickets []sched.Ticket, err error) {
	l.planner.Advised(l.now, cell.AdviceResult{
		Call: x.AdviceCall, Sent: x.sent, Received: l.now, Tickets: tickets, Validity: l.service.settings.Validity, Err: err,
	})
}

// carryOut starts a run if its ticket is still valid on arrival.
func (l *adviceLoad) carryOut(s cell.StartCall) {
	until, err := time.Parse(time.RFC3339Nano, s.Order.Ticket)
	refused := err != nil || s.Worker.ID == l.service.refusedBy || !l.now.Add(adviceDelay).Before(until)
	if refused && s.Order.Payload != plainPayload {
		l.refusedStarts++
		l.refuse(s, sched.RefusedTicket)
		return
	}
	l.start(s, nil)
	if id := s.Order.Task.Job; l.firstRun[id].IsZero() {
		l.firstRun[id] = l.now
	}
	l.runs = append(l.runs, loadRun{s.Worker.ID, s.Order, l.now.Add(checkTime)})
}

func (l *adviceLoad) endRuns() {
	rest := l.runs[:0]
	for _, r := range l.runs {
		if l.now.Before(r.ends) {
			rest = append(rest, r)
			continue
		}
		l.lastEnd[r.worker]++
		l.ended[r.order.Task.Job] = l.now
		l.ends[r.worker] = append(l.ends[r.worker], sched.EndedRun{
			Number: l.lastEnd[r.worker], Task: r.order.Task, Run: r.order.Run, End: sched.EndDone,
		})
	}
	l.runs = rest
}

// report returns a worker's answer to a lease order.
func (l *adviceLoad) report(c cell.LeaseCall) sched.LeaseAnswer {
	var a sched.LeaseAnswer
	for _, r := range l.runs {
		if r.worker == c.Worker.ID {
			a.Running = append(a.Running, sched.RunningRun{Task: r.order.Task, Run: r.order.Run})
		}
	}
	for _, e := range l.ends[c.Worker.ID] {
		if e.Number > c.Order.RecordedEnd {
			a.Ended = append(a.Ended, e)
		}
	}
	l.ends[c.Worker.ID] = a.Ended
	return a
}

// checkTime is how long a task of check takes.
const checkTime = 400 * time.Millisecond

// check returns a job of one step with two short tasks.
func check(n int) sched.Job {
	s := step()
	s.Tasks, s.Estimate = 2, checkTime
	return job(fmt.Sprintf("%016x", n), s)
}

// runFor advances the time, handing in checks at the rate of the present time, per second.
func (l *adviceLoad) runFor(d time.Duration, rate func(at time.Duration) float64) {
	began, due := l.now, 0.0
	for at := time.Duration(0); at < d; at = l.now.Sub(began) {
		for due += rate(at) * loadStep.Seconds(); due >= 1; due-- {
			l.submitAdvised(check(len(l.submitted)))
		}
		l.step()
	}
}

func nothing(time.Duration) float64 { return 0 }

// unfinished returns the accepted jobs that haven't completed.
func (l *adviceLoad) unfinished() []sched.JobID {
	var out []sched.JobID
	for id := range l.accepted {
		if s, _ := l.planner.State(l.now, id); s != sched.JobCompleted {
			out = append(out, id)
		}
	}
	return out
}

// checkAdvice is the advice of the queue of checks: on eight workers the service bears
// three of them a second.
var checkAdvice = sched.AdviceSettings{Decision: 300 * time.Millisecond, PerWorker: 5 * time.Millisecond, Validity: 3 * time.Second}

// burst is two checks a second, and 5.2 from 8 s on for 4 s.
func burst(at time.Duration) float64 {
	if at >= 8*time.Second && at < 12*time.Second {
		return 5.2
	}
	return 2
}

// Guards against a queue that stops for good after a burst: all steps ask at once, and the
// tickets have ended when the service, which handles one call at a time, answers.
func TestABurstDoesNotStopAQueueThatNeedsAdvice(t *testing.T) {
	rows := []struct {
		name string
		s    adviceService
	}{
		{"tickets count from the answer", adviceService{settings: checkAdvice}},
		{"tickets count from the arrival", adviceService{settings: checkAdvice, fromArrival: true}},
		{"slow service", adviceService{settings: checkAdvice, fromArrival: true, slowness: 1.3}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			i := is.New(t)
			l := newAdviceLoad(t, 8, &row.s)
			l.runFor(30*time.Second, burst)
			l.runFor(14*time.Second, nothing)
			i.True(10*len(l.accepted) >= 9*72) // of 72 handed in
			i.Equal(len(l.unfinished()), 0)
			i.Equal(l.refusedStarts, 0)
		})
	}
}
