package claims_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/process/claims"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/logsvc"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// newID returns a UUIDv7 of the virtual time. The generator of the library never
// goes back in time, but the virtual time starts anew in each test.
func newID() string {
	u, millis := uuid.New(), time.Now().UnixMilli()
	for n := range 6 {
		u[n] = byte(millis >> (40 - 8*n))
	}
	u[6] = u[6]&0x0f | 0x70
	return u.String()
}

// start runs a keeper with incarnation n until the context ends.
func start(c context.Context, log sched.Log, n sched.Incarnation) *claims.Claimer {
	random := rand.New(rand.NewPCG(1, uint64(n)))
	k := &claims.Claimer{
		Log: log, Clock: clock.System{}, Incarnation: n, NewNonce: random.Uint64,
		Limits: func() claims.Limits {
			return claims.Limits{DedupWindow: time.Hour, ClockBound: time.Second, Instances: 9}
		},
	}
	go func() { _ = k.Run(c) }()
	return k
}

// Guards against three failures with a slow log: a claim granted after its
// caller's deadline, an id that stays claimed although the caller was refused,
// and a kept answer that is lost, truncated or returned for another id.
func TestLateVerdictAndKeptAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		log := logsvc.New(clock.System{}, 1, logsvc.Retention{})
		log.SetFaults(logsvc.Faults{LateEffect: 1, LateBy: 300 * time.Millisecond})
		first, second := start(c, log, 1), start(c, log, 2)
		id := newID()
		short, stop := context.WithTimeout(c, 100*time.Millisecond)
		defer stop()
		v, _ := first.Claim(short, "tunog", id)
		is.Equal(v.Code, sched.CodeLogUnavailable)
		log.SetFaults(logsvc.Faults{})
		time.Sleep(5 * time.Second) // the late intent and its release are in the log
		v, _ = second.Claim(c, "tunog", id)
		is.True(v.Granted)
		open, _ := first.Claim(c, "tunog", id)
		is.Equal(open.Code, sched.CodeUnknownInProgress)
		second.Finish(v.Claim, sched.OutcomeAnswered, sched.Answer{Status: 201, Body: []byte("done")})
		is.NoErr(second.Flush(c))
		kept, a := first.Claim(c, "tunog", id)
		is.Equal(kept.Code, sched.CodeAnsweredBefore)
		is.Equal(a.Status, 201)
		is.Equal(string(a.Body), "done")
		other, _ := first.Claim(c, "bohr", id) // the same id of another partner
		is.True(other.Granted)
		first.Finish(other.Claim, sched.OutcomeAnswered, sched.Answer{Status: 200, Body: make([]byte, claims.MaxAnswerBytes+1)})
		is.NoErr(first.Flush(c))
		large, _ := second.Claim(c, "bohr", id)
		is.Equal(large.Code, sched.CodeAnswerNotKept)
	})
}

// Guards against more appends by all instances than the shared budget allows,
// and against claims that are never decided because they wait for the budget.
// It logs the latencies of claims.
func TestAppendBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		const instances, claimsPerSecond, seconds = 9, 40, 20
		log := logsvc.New(clock.System{}, 1, logsvc.Retention{})
		log.SetFaults(logsvc.Faults{Slow: 1, SlowBy: 2 * time.Millisecond})
		took := make(chan time.Duration, instances*claimsPerSecond*seconds)
		for n := range instances {
			k := start(c, log, sched.Incarnation(n+1))
			go func() {
				for range claimsPerSecond * seconds {
					go func() {
						began := time.Now()
						v, _ := k.Claim(c, "tunog", newID())
						if v.Granted {
							took <- time.Since(began)
							k.Finish(v.Claim, sched.OutcomeAnswered, sched.Answer{Status: 200, Body: make([]byte, 500)})
						}
					}()
					time.Sleep(time.Second / claimsPerSecond)
				}
			}()
		}
		time.Sleep(seconds * time.Second)
		is.True(log.Counts().Appends <= 120*seconds+instances*4) // the budget and one burst of each instance
		time.Sleep(time.Second)
		all := make([]time.Duration, 0, len(took))
		for len(took) > 0 {
			all = append(all, <-took)
		}
		is.Equal(len(all), instances*claimsPerSecond*seconds)
		slices.Sort(all)
		t.Logf("%d appends, claims took %v at the median, %v at the 99th percentile",
			log.Counts().Appends, all[len(all)/2], all[len(all)*99/100])
	})
}
