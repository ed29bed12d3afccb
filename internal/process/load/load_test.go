package load

import (
	"testing"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a request that counts as refused, and then as lost, because one
// of two concurrent sends of its id was refused while the other was answered.
func TestRefusalOfOneSendDoesNotHideAnotherSend(t *testing.T) {
	i := is.New(t)
	i.Equal(combine(sched.OutcomeRefusedNotRun, sched.OutcomeAnswered, 0), sched.OutcomeAnswered)
	i.Equal(combine(sched.OutcomeRefusedNotRun, sched.OutcomeUnknown), sched.OutcomeUnknown)
	i.Equal(combine(sched.OutcomeRefusedNotRun, 0, 0), sched.OutcomeRefusedNotRun)
}
