package plan_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/plan"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// records returns a page of a stream of the given length, with empty records from an offset on.
func records(t *testing.T, from, length sched.Offset) sched.Page {
	t.Helper()
	data, err := codec.EncodeTaskRecord(sched.TaskRecord{Writer: "other"})
	if err != nil {
		t.Fatal(err)
	}
	p := sched.Page{Earliest: 1, Next: length + 1}
	for k := from; k <= length; k++ {
		p.Records = append(p.Records, sched.Record{Offset: k, Data: data})
	}
	return p
}

// Guards against a replay that begins in the middle of the stream with the answer to an earlier read, and is never complete.
func TestAPageThatBeginsTooLateIsNotReplayed(t *testing.T) {
	i := is.New(t)
	now := time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	p := plan.New(plan.Options{Instance: "entry-0", Incarnation: 1, Settings: settings()})
	o := p.Step(now, plan.Ticked{})
	i.True(o.Read)
	p.Step(now, plan.RecordsRead{Began: now, Page: records(t, 4, 6)})
	i.Equal(p.NextOffset(), sched.Offset(1))
	now = now.Add(time.Second)
	o = p.Step(now, plan.Ticked{})
	i.True(o.Read)
	p.Step(now, plan.RecordsRead{Began: now, Page: records(t, 1, 6)})
	i.True(p.Ledger().Ready())
	i.Equal(p.Ledger().Applied(), sched.Offset(6))
}

// Guards against tasks that wait for good since the responsible planner's replay began in the middle of the stream.
func TestTasksRunAfterAReadAcrossARestart(t *testing.T) { runFaults(t, 301, 115) }
