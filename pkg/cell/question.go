package cell

import (
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// maxAskedWorkers bounds the workers in a question whose answers aren't known, since
	// the advisor takes longer for each of them. The platform's users expect a step to take
	// one call of this size.
	maxAskedWorkers = 30
	// maxCallWorkers is the number of workers that one call may name.
	maxCallWorkers = 100
	// minValidityRatio is how many times as long as a question about several workers its
	// tickets are valid, at least. What is left of them after the answer is for their use.
	minValidityRatio = 2
)

// adviceTime returns how long the advisor takes for a call about n workers.
func adviceTime(s *sched.AdviceSettings, n int) time.Duration {
	return s.Decision + time.Duration(n)*s.PerWorker
}

// askLimit returns the number of workers to ask about in one call, 1 to maxAskedWorkers:
// as many as leave enough of the validity of their tickets.
func askLimit(s *sched.AdviceSettings) int {
	if s.PerWorker <= 0 || s.Validity <= 0 {
		return maxAskedWorkers
	}
	return min(maxAskedWorkers, max(1, int((s.Validity/minValidityRatio-s.Decision)/s.PerWorker)))
}

// workersToAsk returns the workers for the next question about a step, none if no answer
// would help. ticketed are those with room and a valid ticket. Workers that were permitted
// before will be so again, so that as many of them as the step needs suffice. Otherwise the
// question is about workers that haven't been asked about, those with most free processors
// first.
func (p *Planner) workersToAsk(now time.Time, w *waitingStep, a *stepAdvice, ticketed []*hosts.Host) []*hosts.Host {
	var known, others []*hosts.Host
	for _, h := range p.workers {
		switch {
		case a.valid(now, h) || a.refuses(h) || !p.hasRoomFor(now, w, h):
		case a.permits(h):
			known = append(known, h)
		default:
			others = append(others, h)
		}
	}
	slices.SortFunc(known, compareFree)
	slices.SortFunc(others, compareFree)
	if w.job.Steps[w.step].Gang {
		return p.gangToAsk(now, w, a, ticketed, known, others)
	}
	chosen, enough := p.workersFor(w, known)
	if !enough {
		chosen = slices.Concat(known, others)
	}
	return chosen[:min(len(chosen), askLimit(w.job.Queue.Advice))]
}

// workersFor returns the first of the workers that together have room for all waiting tasks
// of a step, and whether there are enough.
func (p *Planner) workersFor(w *waitingStep, workers []*hosts.Host) ([]*hosts.Host, bool) {
	left := len(w.tasks)
	for n, h := range workers {
		if left -= p.fitting(w, h, left); left <= 0 {
			return workers[:n+1], true
		}
	}
	return workers, false
}

// gangToAsk is workersToAsk for a gang. Its members need tickets at the same time. Once
// workers for all of them are known to be permitted, one question gets the tickets that are
// missing or end before it is answered.
func (p *Planner) gangToAsk(
	now time.Time, w *waitingStep, a *stepAdvice, ticketed, known, others []*hosts.Host,
) []*hosts.Host {
	if members := slices.Compact(p.pack(w, slices.Concat(ticketed, known))); len(members) > 0 {
		answered := now.Add(p.options.AdviceLine.Wait(now) + adviceTime(w.job.Queue.Advice, len(members)) + p.options.AdviceLine.Extra())
		members = slices.DeleteFunc(members, func(h *hosts.Host) bool { return a.valid(answered, h) })
		return members[:min(len(members), maxCallWorkers)]
	}
	all := slices.Concat(others, known)
	// More tickets don't help while all of these workers have too little room for the gang.
	if learned := len(a.tickets)+len(a.refused) > 0; learned && p.pack(w, slices.Concat(ticketed, all)) == nil {
		return nil
	}
	all = all[:min(len(all), askLimit(w.job.Queue.Advice))]
	slices.SortFunc(all, compareFree)
	return all
}
