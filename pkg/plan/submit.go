package plan

import (
	"fmt"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/ledger"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// request is a submission or a cancellation that waits for its record.
type request struct {
	ticket uint64
	task   sched.TaskID
	entry  sched.TaskEntry
	since  time.Time // of the failed append
}

func (i Submitted) apply(p *Planner) {
	r := request{ticket: i.Ticket, task: i.Task.ID}
	r.entry = sched.TaskEntry{Kind: sched.EntryAccepted, Task: i.Task}
	if !p.takesRequests(r) {
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
	if ok, largest := p.ledger.FitsEver(i.Task.Needs); !ok {
		p.reply(r, sched.CodeNeverFits, neverFits(i.Task.Needs, largest))
		return
	}
	p.asked = append(p.asked, r)
}

func neverFits(needs, largest sched.Resources) string {
	return fmt.Sprintf("needs %s, the largest fit is %s", amount(needs), amount(largest))
}

func amount(r sched.Resources) string {
	return fmt.Sprintf("%.3f processors, %d bytes of memory and %d accelerators",
		float64(r.Processors)/1000, r.Memory, r.Accelerators)
}

func (i CancelRequested) apply(p *Planner) {
	r := request{ticket: i.Ticket, task: i.Task}
	r.entry = sched.TaskEntry{Kind: sched.EntryCancelled, TaskID: i.Task}
	if !p.takesRequests(r) {
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
		p.asked = append(p.asked, r)
	}
}

// askedLimit bounds the memory of requests that wait for an append.
const askedLimit = 10_000

// takesRequests refuses what can't be recorded now.
func (p *Planner) takesRequests(r request) bool {
	switch {
	case p.leaving:
		p.reply(r, sched.CodeDraining, "")
	case !p.book.LogAnswers():
		p.reply(r, sched.CodeLogUnavailable, "the log can't be reached; nothing was recorded")
	case !p.ledger.Ready():
		p.reply(r, sched.CodeNotReady, "the task stream is not read yet")
	case len(p.asked) >= askedLimit:
		p.reply(r, sched.CodeOverloaded, "too many requests wait for the log")
	default:
		return true
	}
	return false
}

// recorded tells whether the state contains what a request asked for.
func (p *Planner) recorded(r *request) bool {
	t, known := p.ledger.Task(r.task)
	if r.entry.Kind == sched.EntryAccepted {
		return known
	}
	return known && (t.CancelRequested || ledger.Final(t.State))
}

// answer replies to the requests that the last record settled.
func (p *Planner) answer() {
	if f := p.flight; f != nil {
		f.requests = p.answerAll(f.requests)
	}
	p.unsure = p.answerAll(p.unsure)
}

func (p *Planner) answerAll(rs []request) []request {
	kept := rs[:0]
	for k := range rs {
		r := rs[k]
		if !p.recorded(&r) {
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

// settleUnsure answers requests whose append failed before a complete read
// that did not show them. The record may still be added later.
func (p *Planner) settleUnsure(began time.Time) {
	kept := p.unsure[:0]
	for _, r := range p.unsure {
		if began.After(r.since) {
			p.reply(r, sched.CodeUnknown, "the log did not confirm the record; submit the same id again")
			continue
		}
		kept = append(kept, r)
	}
	p.unsure = kept
}

func (i DrainRequested) apply(p *Planner) {
	// Not noted: of several words about a worker the last one counts, also if
	// it equals one that is on its way.
	p.facts = append(p.facts, sched.TaskEntry{Kind: sched.EntryDrained, Worker: i.Worker, Drained: i.Drained})
}

func (i DeadDeclared) apply(p *Planner) {
	p.note(sched.TaskEntry{Kind: sched.EntryDeclaredDead, Instance: i.Instance})
}
