package daemon

import (
	"context"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// planning is the part of the control state that belongs to tasks.
type planning struct {
	queued int
	placed int
	// from is the offset to read from while the ledger waits for a snapshot.
	from sched.Offset
}

func (c *control) taskNext() sched.Offset { return max(c.tasks.Applied()+1, c.plan.from) }

func (c *control) taskTrimmed(earliest sched.Offset) { c.plan.from = earliest }

func (c *control) taskReadFailed(time.Time) {}

func taskPage(c *control, _, _ time.Time, p sched.Page) {
	for _, r := range p.Records {
		record, err := codec.DecodeTaskRecord(r.Data)
		if err != nil {
			record = sched.TaskRecord{} // a no-op for every reader
		}
		_, _ = c.tasks.Apply(r.Offset, &record)
	}
	c.countTasks()
}

func (c *control) countTasks() {
	c.plan.queued, c.plan.placed = 0, 0
	c.tasks.EachOpen(func(t *sched.TaskStatus) {
		if t.State == sched.TaskQueued {
			c.plan.queued++
			return
		}
		c.plan.placed++
	})
}

func (c *control) step(time.Time)                       {}
func (c *control) planSettings(time.Time)               {}
func (c *control) listRead(time.Time)                   {}
func (c *control) peerHeard(time.Time, sched.Heartbeat) {}

func (d *Daemon) endTerm(context.Context) {}
