package sched

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a result code whose number contradicts its outcome. Callers
// would then take a request that may have run for one that did not run.
func TestCodesMatchTheirOutcome(t *testing.T) {
	i := is.New(t)
	last := Code(0)
	for _, e := range Codes() {
		i.True(e.Code > last) // the table is in numeric order without duplicates
		i.True(e.Code.Outcome() >= OutcomeAnswered)
		last = e.Code
	}
	i.Equal(CodeUnknownInProgress.Outcome(), OutcomeUnknown)
	i.Equal(CodeDraining.Outcome(), OutcomeRefusedNotRun)
}
