package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a backlog of fillers that costs a comparison with every worker in each pass,
// so that an overloaded planner gets no time to work it off.
func TestWorkersWithoutRoomAreNotRatedAgainUntilTheyReport(t *testing.T) {
	i := is.New(t)
	const workers = 8
	r := newRig(t)
	i.NoErr(r.planner.Learn(heavyFillers(4)))
	serving := r.serveEverywhere(workers)
	r.pass(500 * time.Millisecond)
	r.report(serving, nil, 15*time.Millisecond)
	for _, id := range []string{"a", "b", "c"} {
		f := fillerStep()
		f.Needs.Processors += int64(len(id))
		r.submit(job(id, f))
	}
	r.commit()
	i.Equal(len(r.starts()), 0) // the serving tasks can't bear any
	before := r.planner.Stats().Ratings
	for range 10 {
		r.pass(50 * time.Millisecond)
	}
	i.Equal(r.planner.Stats().Ratings, before) // no worker has reported
	r.exchange("w1", sched.LeaseAnswer{Running: []sched.RunningRun{running(serving["w1"], 100)}}, nil)
	r.pass(50 * time.Millisecond)
	i.Equal(r.planner.Stats().Ratings, before+1) // one has
}
