package daemon

import (
	"context"

	"github.com/parsleybarrow/parsleybarrow/pkg/dedup"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// uncheckedClaims grants every claim without a check for duplicate requests.
type uncheckedClaims struct{}

// Claim implements proxy.Claimer.
func (uncheckedClaims) Claim(context.Context, string, string) (dedup.Verdict, sched.Answer) {
	return dedup.Verdict{Granted: true}, sched.Answer{}
}

// Finish implements proxy.Claimer.
func (uncheckedClaims) Finish(dedup.Claim, sched.Outcome, sched.Answer) {}

// Abandon implements proxy.Claimer.
func (uncheckedClaims) Abandon(context.Context, dedup.Claim) {}
