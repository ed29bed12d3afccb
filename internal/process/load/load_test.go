package load

import (
	"testing"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a request that counts as refused, and then as lost, although
// the other of two racing sends of its id was answered.
func TestRefusalOfOneSendDoesNotHideAnotherSend(t *testing.T) {
	i := is.New(t)
	i.Equal(together(sched.OutcomeRefusedNotRun, sched.OutcomeAnswered, 0), sched.OutcomeAnswered)
	i.Equal(together(sched.OutcomeRefusedNotRun, sched.OutcomeUnknown), sched.OutcomeUnknown)
	i.Equal(together(sched.OutcomeRefusedNotRun, 0, 0), sched.OutcomeRefusedNotRun)
}
