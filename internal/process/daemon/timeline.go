package daemon

import (
	"fmt"

	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/event"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// taskEventKinds maps the kinds of task entries to kinds of events. Other entries
// make no event.
var taskEventKinds = map[sched.EntryKind]sched.EventKind{
	sched.EntryAccepted:     event.KindAccepted,
	sched.EntryPlaced:       event.KindPlaced,
	sched.EntryStarted:      event.KindTaskStarted,
	sched.EntryEnded:        event.KindTaskEnded,
	sched.EntryCheckpointed: event.KindCheckpointed,
	sched.EntryExpired:      event.KindExpired,
	sched.EntryCancelled:    event.KindTaskCancelled,
}

// attemptResults holds the name of each result of an attempt in the details of
// events.
var attemptResults = map[sched.AttemptState]string{
	sched.AttemptDone:         "done",
	sched.AttemptFailed:       "failed",
	sched.AttemptStopped:      "stopped",
	sched.AttemptCheckpointed: "checkpointed",
	sched.AttemptLeaseExpired: "lapsed",
}

// addTaskEvents adds the entries of the records that this incarnation wrote to
// the time line. Each record has one writer, so a time line that is merged from
// all instances shows each entry once.
func (d *Daemon) addTaskEvents(records []sched.Record) {
	for _, r := range records {
		record, err := codec.DecodeTaskRecord(r.Data)
		if err != nil || record.Writer != d.ID || record.Incarnation != d.Incarnation {
			continue
		}
		for _, e := range record.Entries {
			kind, ok := taskEventKinds[e.Kind]
			if !ok {
				continue
			}
			id := e.TaskID
			if e.Kind == sched.EntryAccepted {
				id = e.Task.ID
			}
			d.events.Add(sched.Event{Kind: kind, Task: id, Detail: entryDetail(e)})
		}
	}
}

func entryDetail(e sched.TaskEntry) string {
	detail := ""
	if e.Attempt > 0 {
		detail = fmt.Sprintf("attempt %d", e.Attempt)
	}
	if e.Worker != "" {
		detail += " on " + string(e.Worker)
	}
	if name := attemptResults[e.Result]; name != "" {
		detail += " " + name
	}
	if e.Reason != "" {
		detail += ": " + e.Reason
	}
	return detail
}
