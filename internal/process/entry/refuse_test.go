package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/world"
	"github.com/parsleybarrow/parsleybarrow/internal/process/lead"
	"github.com/parsleybarrow/parsleybarrow/internal/process/meter"
	"github.com/parsleybarrow/parsleybarrow/internal/process/peers"
	"github.com/parsleybarrow/parsleybarrow/internal/process/relay"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// fakePlanner is another instance that answers calls for cell 0 with answer.
type fakePlanner struct {
	relay.Local
	calls  atomic.Int64
	hint   peers.Planner // of a planner whose term has ended
	answer func(c context.Context) (sched.Verdict, error)
}

func (p *fakePlanner) Submit(c context.Context, _ int, _ sched.Job) (sched.Verdict, error) {
	p.calls.Add(1)
	return p.answer(c)
}

func (p *fakePlanner) State(c context.Context, _ int, _ sched.JobID) (sched.JobState, sched.Verdict, error) {
	v, err := p.answer(c)
	return sched.JobPending, v, err
}

func (p *fakePlanner) Pending(c context.Context, _ int) (map[sched.QueueName]int, error) {
	_, err := p.answer(c)
	return nil, err
}

func (p *fakePlanner) Hint(int) (peers.Planner, bool) { return p.hint, p.hint.Term > 0 }

// fakeNetwork carries calls to the planners by address. Other addresses refuse connections.
type fakeNetwork map[string]*fakePlanner

func (n fakeNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	p := n[r.URL.Host]
	if p == nil {
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	answer := make(chan *http.Response, 1)
	go func() {
		w := httptest.NewRecorder()
		_, h := relay.Handler(p)
		h.ServeHTTP(w, r)
		answer <- w.Result()
	}()
	select {
	case a := <-answer:
		return a, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func accept(context.Context) (sched.Verdict, error) { return acceptedVerdict, nil }

func hang(c context.Context) (sched.Verdict, error) {
	<-c.Done()
	return sched.Verdict{}, c.Err()
}

func loseAnswer(context.Context) (sched.Verdict, error) { return sched.Verdict{}, lead.ErrTermEnded }

func refuseWith(code sched.Code, after time.Duration) func(context.Context) (sched.Verdict, error) {
	return func(context.Context) (sched.Verdict, error) { return sched.Verdict{Code: code, RetryAfter: after}, nil }
}

// refuseRig is an instance that plans nothing, with a network of planners. The one at
// address "1" has term 1, and so on.
type refuseRig struct {
	*Entry
	network fakeNetwork
}

func newRefuseRig(t *testing.T) *refuseRig {
	t.Helper()
	w := &world.World{Clock: clock.System{}, Seed: 1, Heartbeat: time.Second}
	w.Begin()
	n := fakeNetwork{}
	e := &Entry{Self: peers.Instance{ID: "entry-0"}, Clock: clock.System{}, Log: zap.NewNop()}
	e.Meter = meter.New(e.Clock)
	e.relay = &relay.Client{HTTP: &http.Client{Transport: n}}
	e.directory = &peers.Directory{Self: e.Self, Store: w.NewClient("entry-0", world.Path{}, world.Path{}), Clock: e.Clock, Log: e.Log}
	is.New(t).NoErr(e.directory.Register(t.Context()))
	return &refuseRig{e, n}
}

// begin has the planner begin a term after the time.
func (r *refuseRig) begin(after time.Duration, term sched.Offset, p *fakePlanner) {
	address := string(rune('0' + term))
	if p != nil {
		r.network[address] = p
	}
	time.AfterFunc(after, func() {
		r.directory.UpdatePlanner(peers.Planner{Term: term, ID: "entry-" + sched.InstanceID(address), Address: address})
	})
	if after == 0 {
		time.Sleep(time.Millisecond)
	}
}

// callTime is the time that calls have.
const callTime = 3 * time.Second

// submit submits a job and returns the verdict and how long it took.
func (r *refuseRig) submit() (sched.Verdict, time.Duration) {
	c, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	began := time.Now()
	var v sched.Verdict
	j := sched.Job{ID: "0000000000000001", Steps: []sched.Step{{Tasks: 1}}}
	v = r.callCell(c, 0, request{id: j.ID}, &v, func(x context.Context, cell int, address string) error {
		var err error
		v, err = r.relay.Submit(x, address, cell, j)
		return err
	})
	return v, time.Since(began)
}

// Guards against a call that is held until its caller gives up though no planner can decide
// it, against one that is refused though the next planner would have taken it in time, and
// against a refusal as not run of a job that an earlier attempt may have recorded.
func TestACallGetsTheBestTrueAnswerInTime(t *testing.T) {
	const outcomeTime, takeoverTime = 2700 * time.Millisecond, 2500 * time.Millisecond
	rows := []struct {
		name   string
		first  func(context.Context) (sched.Verdict, error) // nil if it refuses connections
		next   func(context.Context) (sched.Verdict, error) // nil if there is none
		after  time.Duration                                // until next begins
		code   sched.Code
		within time.Duration
	}{
		{"in normal operation", accept, nil, 0, sched.CodeAccepted, time.Millisecond},
		{"planner lost before the call", nil, accept, time.Second, sched.CodeAccepted, 1010 * time.Millisecond},
		{"planner lost for good", nil, nil, 0, sched.CodeLogUnavailable, takeoverTime},
		{"planner lost with the call in flight", hang, accept, time.Second, sched.CodeAccepted, 1010 * time.Millisecond},
		{"planner lost for good with the call in flight", hang, nil, 0, sched.CodeUnknown, outcomeTime},
		{"answer lost", loseAnswer, accept, time.Second, sched.CodeAccepted, 1010 * time.Millisecond},
		{"answer lost, refused by the next", loseAnswer, refuseWith(sched.CodeLogUnavailable, time.Second), time.Second, sched.CodeLogUnavailable, 1010 * time.Millisecond},
		{"answer lost, the next is behind", loseAnswer, refuseWith(sched.CodeDeadlineTooShort, 4*time.Second), time.Second, sched.CodeUnknown, outcomeTime},
		{"append pending", refuseWith(sched.CodeLogUnavailable, time.Second), nil, 0, sched.CodeLogUnavailable, time.Millisecond},
		{"planner behind", refuseWith(sched.CodeDeadlineTooShort, 4*time.Second), nil, 0, sched.CodeDeadlineTooShort, time.Millisecond},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				r := newRefuseRig(t)
				var first *fakePlanner
				if row.first != nil {
					first = &fakePlanner{answer: row.first}
				}
				r.begin(0, 1, first)
				if row.next != nil {
					r.begin(row.after, 2, &fakePlanner{answer: row.next})
				}
				v, took := r.submit()
				i.Equal(v.Code, row.code)
				i.True(took <= row.within)
				i.Equal(v.RetryAfter > 0, v.Code.Outcome() == sched.OutcomeRefusedNotRun)
				time.Sleep(3 * time.Second) // calls to planners end
			})
		})
	}
}

// Guards against a job that is refused as not run by the planner that may have taken it in
// an earlier attempt, whose answer was lost: that attempt may still be on its way.
func TestARefusalInTheTermOfALostAnswerIsNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		r := newRefuseRig(t)
		p := &fakePlanner{}
		p.answer = func(c context.Context) (sched.Verdict, error) {
			if p.calls.Load() == 1 {
				return loseAnswer(c)
			}
			return refuseWith(sched.CodeLogUnavailable, time.Second)(c)
		}
		r.begin(0, 1, p)
		v, _ := r.submit()
		i.Equal(v.Code, sched.CodeUnknown)
		time.Sleep(3 * time.Second)
	})
}

// Guards against calls that are sent to a planner which is known not to decide them: those
// that are lost there have an unknown outcome, and all of them cost it time.
func TestCallsAreKeptFromAPlannerThatCannotDecideThem(t *testing.T) {
	rows := []struct {
		name   string
		answer func(context.Context) (sched.Verdict, error)
	}{
		{"append pending", refuseWith(sched.CodeLogUnavailable, 2*time.Second)},
		{"behind", refuseWith(sched.CodeDeadlineTooShort, 4*time.Second)},
		{"silent", hang},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				r := newRefuseRig(t)
				var answers atomic.Bool
				p := &fakePlanner{answer: func(c context.Context) (sched.Verdict, error) {
					if answers.Load() {
						return accept(c)
					}
					return row.answer(c)
				}}
				r.begin(0, 1, p)
				_, _ = r.submit()
				sent := p.calls.Load()
				for range 100 {
					v, took := r.submit()
					i.True(v.Code.Outcome() == sched.OutcomeRefusedNotRun)
					i.True(took < time.Millisecond)
					i.True(v.RetryAfter >= 500*time.Millisecond && v.RetryAfter <= 8*time.Second)
					time.Sleep(10 * time.Millisecond)
				}
				i.True(p.calls.Load()-sent <= 20)
				answers.Store(true)
				time.Sleep(200 * time.Millisecond)
				_, _ = r.submit() // finds out that the planner answers
				time.Sleep(1100 * time.Millisecond)
				v, _ := r.submit()
				i.Equal(v.Code, sched.CodeAccepted)
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// Guards against calls that wait for a read of the directory though the planner that has
// stopped knows the next one, and against a call whose planner doesn't know its deadline.
func TestCallsFollowAHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		r := newRefuseRig(t)
		stopped := func(context.Context) (sched.Verdict, error) { return sched.Verdict{}, lead.ErrNotPlanner }
		r.begin(0, 1, &fakePlanner{answer: stopped, hint: peers.Planner{Term: 2, ID: "entry-2", Address: "2"}})
		r.network["2"] = &fakePlanner{answer: func(c context.Context) (sched.Verdict, error) {
			deadline, set := c.Deadline()
			i.True(set)
			i.True(time.Until(deadline) > callTime-100*time.Millisecond && time.Until(deadline) <= callTime)
			return acceptedVerdict, nil
		}}
		r.gates.of(r.Entry, 0).failed(t.Context(), target{term: 1, address: "1"}, lead.ErrNotPlanner) // the planner counts as lost
		v, took := r.submit()
		i.Equal(v.Code, sched.CodeAccepted)
		i.True(took <= 100*time.Millisecond)
	})
}

// Guards against a state that couldn't be read and is answered as an unknown outcome: the
// call changes nothing.
func TestAStateWithoutAnAnswerIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		r := newRefuseRig(t)
		r.begin(0, 1, &fakePlanner{answer: hang})
		c, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var v sched.Verdict
		v = r.callCell(c, 0, request{id: "0000000000000001", reads: true}, &v, func(x context.Context, cell int, address string) error {
			var err error
			_, v, err = r.relay.State(x, address, cell, "0000000000000001")
			return err
		})
		i.Equal(v.Code, sched.CodeLogUnavailable)
		time.Sleep(3 * time.Second)
	})
}
