package worker

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a simulated worker that violates the contract of sched.Command under
// some order of commands, faults and crashes, for example by reviving an ended
// attempt. Tests of the scheduler against such a worker would prove nothing.
func TestWorkerKeepsItsContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newFixture(Config{
			Seed: rapid.Uint64().Draw(t, "seed"), CheckTokens: true,
			Truth: func(sched.TaskID, string) Work { return Work{RunTime: 7 * time.Second} },
		}, "a")
		w := b.pool.Worker("a")
		ended := map[attemptKey]sched.AttemptState{}
		boot, term := uint64(1), sched.Offset(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			b.clock.Advance(time.Duration(rapid.IntRange(0, 4).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0:
				w.Crash()
				w.Restart()
				boot, term = boot+1, 0
				clear(ended)
			case 1:
				w.SetFaults(Faults{Duplicated: 0.5, Delayed: 0.3, LostAnswer: 0.3, DelayBy: 3 * time.Second})
			case 2:
				w.SetFaults(Faults{})
			}
			c := newCommand(sched.CommandKind(rapid.IntRange(1, 5).Draw(t, "kind")),
				sched.TaskID(fmt.Sprintf("t%d", rapid.IntRange(0, 5).Draw(t, "task"))),
				sched.Attempt(rapid.IntRange(1, 2).Draw(t, "attempt")))
			c.Share = 0.5
			lease := time.Duration(rapid.IntRange(-1, 8).Draw(t, "lease")) * time.Second
			r, err := b.call("a", sched.Offset(rapid.IntRange(1, 3).Draw(t, "term")), lease, c)
			if err != nil {
				continue
			}
			if r.Boot != boot || r.Term < term {
				t.Fatalf("boot %d, term %d after boot %d, term %d", r.Boot, r.Term, boot, term)
			}
			term = r.Term
			for _, a := range r.Attempts {
				k := attemptKey{a.Task, a.Attempt}
				if before, over := ended[k]; over && a.State != before {
					t.Fatalf("%v went from %d to %d", k, before, a.State)
				}
				if a.State.Ended() {
					ended[k] = a.State
				}
				if !a.State.Ended() && !r.LeaseUntil.After(b.clock.Now()) {
					t.Fatalf("%v is in state %d after the lease", k, a.State)
				}
			}
		}
		o := b.pool.Observer()
		if c := o.Counts(); c.Overcommitted > 0 || c.Starts < c.Finished+c.Lapsed {
			t.Fatalf("%+v", c)
		}
	})
}
