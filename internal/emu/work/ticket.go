package work

import (
	"fmt"
	"strings"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// ticketSeparator separates what a ticket is for from the end of its validity.
const ticketSeparator = "/until/"

// ticketSubject returns what a ticket is for: a step on one life of a worker.
func ticketSubject(r sched.StepRef, w sched.Worker) string {
	return fmt.Sprintf("%s.%d.%d/%s/%d", r.Job, r.Occurrence, r.Step, w.ID, w.Incarnation)
}

// TicketText returns the text of a ticket for a step on the present life of a worker.
func TicketText(r sched.StepRef, w sched.Worker, until time.Time) string {
	return ticketSubject(r, w) + ticketSeparator + until.Format(time.RFC3339Nano)
}

// permits reports whether a ticket is for the task's step on this life of the worker, and
// hasn't ended.
func (w *Worker) permits(at time.Time, r sched.TaskRef, ticket string) bool {
	subject, end, found := strings.Cut(ticket, ticketSeparator)
	until, err := time.Parse(time.RFC3339Nano, end)
	return found && err == nil && at.Before(until) &&
		subject == ticketSubject(sched.StepRef{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step}, w.Worker)
}
