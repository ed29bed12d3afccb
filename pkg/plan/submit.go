package plan

import (
	"fmt"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// request is a submission or a cancellation that waits for its record to be read
// back.
type request struct {
	ticket   uint64
	task     sched.TaskID
	entry    sched.TaskEntry
	failedAt time.Time // time at which its append failed
}

func (i Submitted) apply(p *Planner) {
	r := request{ticket: i.Ticket, task: i.Task.ID}
	r.entry = sched.TaskEntry{Kind: sched.EntryAccepted, Task: i.Task}
	if !p.admitRequest(r) {
		return
	}
	if i.Task.ID == "" || i.Task.Needs == (sched.Resources{}) || !(sched.Resources{}).Fits(i.Task.Needs) {
		p.reply(r, sched.CodeBadRequest, "a task needs an id and resources, none of them negative")
		return
	}
	if _, known := p.ledger.Task(i.Task.ID); known {
		p.reply(r, sched.CodeAccepted, "")
		return
	}
	if ok, largest := p.ledger.FitsAnyWorker(i.Task.Needs); !ok {
		p.reply(r, sched.CodeNeverFits, neverFitsReason(i.Task.Needs, largest))
		return
	}
	p.requestQueue = append(p.requestQueue, r)
}

func neverFitsReason(needs, largest sched.Resources) string {
	return fmt.Sprintf("needs %s, the largest fit is %s", formatResources(needs), formatResources(largest))
}

func formatResources(r sched.Resources) string {
	return fmt.Sprintf("%.3f processors, %d bytes of memory and %d accelerators",
		float64(r.Processors)/1000, r.Memory, r.Accelerators)
}

func (i CancelRequested) apply(p *Planner) {
	r := request{ticket: i.Ticket, task: i.Task}
	r.entry = sched.TaskEntry{Kind: sched.EntryCancelled, TaskID: i.Task}
	if !p.admitRequest(r) {
		return
	}
	t, known := p.ledger.Task(i.Task)
	switch {
	case !known:
		p.reply(r, sched.CodeUnknownTask, "")
	case t.CancelRequested:
		p.reply(r, sched.CodeAccepted, "")
	case ledger.Final(t.State):
		p.reply(r, sched.CodeTaskEnded, "")
	default:
		p.requestQueue = append(p.requestQueue, r)
	}
}

// maxQueuedRequests bounds the memory of requests that wait for an append.
const maxQueuedRequests = 10_000

// admitRequest reports whether a request can be queued now, and otherwise replies
// with a refusal.
func (p *Planner) admitRequest(r request) bool {
	switch {
	case p.leaving:
		p.reply(r, sched.CodeDraining, "")
	case !p.leases.LogAvailable():
		p.reply(r, sched.CodeLogUnavailable, "the log can't be reached; nothing was recorded")
	case !p.ledger.Ready():
		p.reply(r, sched.CodeNotReady, "the task stream is not read yet")
	case len(p.requestQueue) >= maxQueuedRequests:
		p.reply(r, sched.CodeOverloaded, "too many requests wait for the log")
	default:
		return true
	}
	return false
}

// isRecorded reports whether the replayed state contains the effect of a request.
// A cancellation also counts as recorded if its task has ended.
func (p *Planner) isRecorded(r *request) bool {
	t, known := p.ledger.Task(r.task)
	if r.entry.Kind == sched.EntryAccepted {
		return known
	}
	return known && (t.CancelRequested || ledger.Final(t.State))
}

// answerRecorded replies to the requests whose effect is in the replayed state.
func (p *Planner) answerRecorded() {
	if f := p.pendingAppend; f != nil {
		f.requests = p.answerRecordedIn(f.requests)
	}
	p.unconfirmed = p.answerRecordedIn(p.unconfirmed)
}

// answerRecordedIn replies to the recorded ones among the requests and returns the
// others. It reuses the slice.
func (p *Planner) answerRecordedIn(rs []request) []request {
	kept := rs[:0]
	for k := range rs {
		r := rs[k]
		if !p.isRecorded(&r) {
			kept = append(kept, r)
			continue
		}
		p.replyRecorded(r)
	}
	return kept
}

func (p *Planner) replyRecorded(r request) {
	if r.entry.Kind == sched.EntryCancelled {
		if t, _ := p.ledger.Task(r.task); !t.CancelRequested {
			p.reply(r, sched.CodeTaskEnded, "")
			return
		}
	}
	p.reply(r, sched.CodeAccepted, "")
}

// answerUnconfirmed answers the requests whose append failed before the start of
// a complete read that did not show them. Their outcome is unknown, since the log
// may still add the record later.
func (p *Planner) answerUnconfirmed(began time.Time) {
	kept := p.unconfirmed[:0]
	for _, r := range p.unconfirmed {
		if began.After(r.failedAt) {
			p.reply(r, sched.CodeUnknown, "the log did not confirm the record; submit the same id again")
			continue
		}
		kept = append(kept, r)
	}
	p.unconfirmed = kept
}

func (i DrainRequested) apply(p *Planner) {
	// The duplicate check of enqueue is bypassed: of several requests for a
	// worker the last one counts, also if it equals one that is in flight.
	p.entryQueue = append(p.entryQueue, sched.TaskEntry{Kind: sched.EntryDrained, Worker: i.Worker, Drained: i.Drained})
}

func (i DeadDeclared) apply(p *Planner) {
	p.enqueue(sched.TaskEntry{Kind: sched.EntryDeclaredDead, Instance: i.Instance})
}
