package site_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against entries of another writer among those of the workers that end the planner's
// term or its agents, or keep it from following the list.
func TestOddEntriesDoNotStopThePlanner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		x := newSizedTrial(1, 4, 6, 1)
		x.useAgents()
		c, stop, loops := x.begin()
		time.Sleep(6 * time.Second)
		planner := x.site.Planner(0)
		for key, w := range map[string]sched.Worker{
			"odd-port": {ID: "odd-port", Address: "10.0.0.1:99999", Service: service, Capacity: capacity},
			"odd-\xff": {ID: "odd-\xff", Address: "w0:1", Service: service, Capacity: capacity},
			"odd-size": {ID: "odd-size", Address: "10.0.0.2:1", Service: service, Capacity: sched.Resources{
				Processors: 1 << 62, Memory: 1 << 62, Accelerators: 1 << 62,
			}},
		} {
			data, err := json.Marshal(w)
			i.NoErr(err)
			x.world.WriteWorkerRecord(key, data)
		}
		x.world.WriteWorkerRecord("odd-nested", []byte(strings.Repeat("[", 100_000)))
		x.world.WriteWorkerRecord("odd-number", []byte(`{"Incarnation":1e400}`))
		time.Sleep(5 * time.Second)
		for n := range 10 {
			j := x.addJob(fmt.Sprintf("%016x", n+1))
			loops.Go(func() { x.caller.Submit(c, j) })
		}
		time.Sleep(15 * time.Second)
		_, done := x.world.Audit.Counts()
		unfinished, last := x.world.Audit.Unfinished(), x.site.Planner(0)
		stop()
		x.site.End()
		loops.Wait()
		time.Sleep(lateTime)
		i.Equal(done, int64(10))
		i.Equal(len(unfinished), 0)
		i.Equal(last, planner)
		i.Equal(len(x.world.Audit.Findings()), 0)
	})
}
