package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a start order that goes to another incarnation than that for which the
// run was placed, and that counts as a crash if it is lost.
func TestARunPlacedBeforeARestartIsPlacedAgain(t *testing.T) {
	i := is.New(t)
	r := newRig(t)
	r.list(worker(1))
	r.submit(job("a", step()))
	r.settle() // the record of the run is in flight
	restarted := worker(1)
	restarted.Incarnation = 2
	r.planner.Listed(r.now, restarted)
	r.pass(50 * time.Millisecond)
	r.exchange("w1", sched.LeaseAnswer{}, nil)
	r.commit()
	r.pass(50 * time.Millisecond)
	r.commit()
	s := r.starts()
	i.Equal(len(s), 1)
	i.Equal(s[0].Order.Run, sched.RunNumber(2))
	i.Equal(s[0].Worker.Incarnation, int64(2))
	r.start(s[0], errLost)
	r.pass(50 * time.Millisecond)
	r.exchange("w1", sched.LeaseAnswer{}, nil)
	i.Equal(r.planner.Stats().Crashes, int64(0))
}
