package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against steps that need advice and get far fewer of the places on full workers than
// others with the same claim: by the time they have a ticket, the room is taken.
func TestStepsThatNeedAdviceGetTheirShareOfFullWorkers(t *testing.T) {
	i := is.New(t)
	const plainRate = 60 // of 40 a second that two workers bear
	l := newAdviceLoad(t, 2, &adviceService{settings: checkAdvice})
	plain, due := 0, 0.0
	for at := time.Duration(0); at < 30*time.Second; at += loadStep {
		for due += plainRate * loadStep.Seconds(); due >= 1; due-- {
			j := check(1000 + plain)
			j.Payload = plainPayload
			l.submit(j)
			plain++
		}
		if at%time.Second == 0 {
			l.submitAdvised(check(len(l.submitted)))
		}
		l.step()
	}
	advised := 0
	for id := range l.submitted {
		if !l.firstRun[id].IsZero() {
			advised++
		}
	}
	shareOfAdvised := float64(advised) / float64(len(l.submitted))
	shareOfPlain := float64(len(l.firstRun)-advised) / float64(plain)
	t.Logf("begun: %.2f of those that need advice, %.2f of the others", shareOfAdvised, shareOfPlain)
	i.True(shareOfAdvised >= shareOfPlain/2)
}
