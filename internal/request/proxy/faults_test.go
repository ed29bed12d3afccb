package proxy_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/standin/bkend"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/logsvc"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/route"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// faultyRigs starts two entry instances with the same log and with two backend
// servers that have faults of eight kinds.
func faultyRigs(t *testing.T, seed uint64) (*bkend.Observer, []*rig) {
	first := newRig(t, 0)
	o := bkend.NewObserver()
	shares := map[bkend.Fault]float64{}
	for _, f := range []bkend.Fault{
		bkend.FaultSilentBefore, bkend.FaultSilentAfter, bkend.FaultTruncated, bkend.FaultLate,
		bkend.FaultWrongID, bkend.FaultResetBefore, bkend.FaultResetAfter, bkend.FaultError,
	} {
		shares[f] = 0.01
	}
	for n := range 2 {
		s := bkend.New(sched.InstanceID(rune('a'+n)), "echo", clock.System{}, o, seed+uint64(n))
		s.MedianServiceTime, s.ServiceTimeSigma = time.Millisecond, 1
		s.SetFaults(bkend.Faults{Shares: shares, LateBy: 20 * time.Millisecond})
		if err := s.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Stop() })
		first.members = append(first.members, sched.Member{
			ID: s.ID, Role: sched.RoleBackend, State: sched.StateLive, Service: "echo", Region: "r", DataCentre: "d",
			Address: s.Address(), Slots: s.Slots, Connections: s.Connections,
		})
	}
	return o, []*rig{first.another(t), first.another(t)}
}

// Guards against a second run of an unrepeatable id, an answer of another
// request, "not run" for an id that ran, and a request without an outcome. Each
// id reaches two instances at once while backend servers have faults and the log
// loses answers, delays effects and has outages.
func TestInvariantsUnderFaults(t *testing.T) {
	is := is.New(t)
	const ids, workers, seed = 800, 24, 1
	o, rigs := faultyRigs(t, seed)
	faults := logsvc.Faults{LostAnswer: 0.05, LateEffect: 0.05, LateBy: 30 * time.Millisecond}
	rigs[0].log.SetFaults(faults)
	work := make(chan int)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for n := range work {
				sendTwice(t, o, rigs, n%4 != 0)
			}
		})
	}
	for n := range ids {
		work <- n
		// Outages are short, because an id that is refused at once tests little.
		if at := n % 200; at == 180 || at == 199 {
			faults.Outage = at == 180
			rigs[0].log.SetFaults(faults)
			if !faults.Outage {
				time.Sleep(outagePause)
			}
		}
	}
	close(work)
	group.Wait()
	t.Log(rigs[0].CountsByCode(), rigs[1].CountsByCode(), o.Counts())
	is.Equal(o.Counts().DuplicateUnrepeatable, int64(0))
	lost := uint64(0)
	for _, r := range rigs {
		counts, sum := r.CountsByCode(), uint64(0)
		for _, n := range counts {
			sum += n
		}
		is.Equal(sum, uint64(ids))
		lost += counts[sched.CodeAnsweredBefore] + counts[sched.CodeUnknownInProgress]
	}
	is.True(lost > 0) // else no id met another claim, and the test would check nothing
}

// outagePause is longer than the time for which claims are refused at once after
// an outage.
const outagePause = 400 * time.Millisecond

// sendTwice sends an id to both instances at once and checks both outcomes.
func sendTwice(t *testing.T, o *bkend.Observer, rigs []*rig, once bool) {
	id := newID()
	type result struct{ outcome, code, body string }
	results := make([]result, len(rigs))
	var group sync.WaitGroup
	for n, r := range rigs {
		group.Go(func() {
			headers := []string{sched.HeaderRequestID, id, sched.HeaderDeadline, "1000"}
			if once {
				headers = append(headers, sched.HeaderUnrepeatable, "true")
			}
			a, body, err := r.call(t, "x", headers...)
			if err != nil {
				t.Errorf("no response: %v", err)
				return
			}
			results[n] = result{a.Header.Get(sched.HeaderOutcome), a.Header.Get(sched.HeaderCode), body}
		})
	}
	group.Wait()
	refused := 0
	for _, r := range results {
		switch r.outcome {
		case "answered":
			if !strings.HasPrefix(r.body, "echo answered "+id+"\n") {
				t.Errorf("%s got %q", id, r.body)
			}
		case "refusedNotRun":
			refused++
		case "failed", "unknown":
		default:
			t.Errorf("%s ended with outcome %q", id, r.outcome)
		}
	}
	if refused == len(results) && o.Runs(id) != 0 {
		t.Errorf("%s ran %d times, but was refused as not run: %v", id, o.Runs(id), results)
	}
	if answered := results[0].code == "100" && results[1].code == "100"; once && answered {
		t.Errorf("%s was answered twice", id)
	}
}

// Guards against a request that is routed to a backend server more than 3 s after
// it began to leave, while the list of instances still shows it as live. Its
// answers say that it leaves.
func TestLeavingIsLearntFromAnswers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := &route.Router{Region: "r", DataCentre: "d", Seed: 1}
	members := []sched.Member{}
	for n := range 4 {
		members = append(members, sched.Member{
			ID: sched.InstanceID(rune('a' + n)), Incarnation: 1, Role: sched.RoleBackend, State: sched.StateLive,
			Service: "echo", Region: "r", DataCentre: "d", Slots: 8, Connections: 64,
		})
	}
	left := now.Add(time.Second)
	for step := range 10_000 {
		now = now.Add(time.Millisecond)
		if step%100 == 0 {
			r.Update(members, 1, 0)
		}
		p, code := r.Pick(route.Query{Service: "echo"}, now)
		is.Equal(code, sched.Code(0))
		leaving := p.Member.ID == "a" && now.After(left)
		is.True(!leaving || now.Before(left.Add(3*time.Second)))
		r.Done(p, sched.SendResult{Outcome: sched.OutcomeAnswered, FreeSlots: 4, Leaving: leaving}, 0, now)
	}
	members[0].Incarnation = 2 // a new server with the same id gets requests again
	r.Update(members, 1, 0)
	seen := false
	for range 100 {
		p, _ := r.Pick(route.Query{Service: "echo"}, now)
		seen = seen || p.Member.ID == "a"
		r.Done(p, sched.SendResult{Outcome: sched.OutcomeAnswered, FreeSlots: 4}, 0, now)
	}
	is.True(seen)
}
