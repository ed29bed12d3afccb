package cell

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// drainMargin is kept free before a draining worker leaves, for the stop and for
// the delay of the list of workers.
const drainMargin = 500 * time.Millisecond

// drainWorker stops the runs that don't end before a draining worker leaves, so
// that their tasks start elsewhere. A task with checkpoints goes on until shortly
// before; one that would lose all its work, or is lasting, moves at once.
func (p *Planner) drainWorker(now time.Time, h *hosts.Host) {
	if !h.Draining || len(h.Slots) == 0 {
		return
	}
	left := h.DrainRemaining - now.Sub(h.ListedAt) - p.options.StopLimit - drainMargin
	for _, s := range h.Slots {
		j := p.jobs[s.Task.Job]
		if j == nil || s.Stopping || s.Phase == hosts.Recorded || p.remainingTime(now, j, s) < left {
			continue
		}
		if s.Step.Checkpoints && !s.Step.Lasting && left > 0 {
			continue
		}
		p.options.Log.Info("runEvacuated", zap.Stringer("task", s.Task), zap.Int32("run", int32(s.Run)),
			zap.String("worker", string(h.ID)), zap.Duration("left", left))
		p.stopSlot(now, h, s)
	}
}

// unboundedTime is longer than any task runs.
const unboundedTime = 1000 * time.Hour

// remainingTime returns how much longer a run is expected to take: by its
// measured rate, or else by the expected time of its task.
func (p *Planner) remainingTime(now time.Time, j *job, s *hosts.Slot) time.Duration {
	if s.Step.Lasting {
		return unboundedTime
	}
	expected := p.runTimes.Expect(j.Queue.Name, s.Step)
	if s.Phase != hosts.Started || s.ReportedAt.IsZero() {
		return expected
	}
	if rate := s.Rate(); rate > 0 {
		left := time.Duration(float64(donePercent-s.Percent) / rate * float64(time.Second))
		return max(0, left-now.Sub(s.ReportedAt))
	}
	return expected * time.Duration(donePercent-s.Percent) / donePercent
}

// donePercent is the progress of a task that is done.
const donePercent = 100

const (
	// stragglerMinAge is the age from which on a run may count as a straggler,
	// and stragglerInterval the time between two checks of a worker.
	stragglerMinAge   = 800 * time.Millisecond
	stragglerInterval = 250 * time.Millisecond
	// A run is stalled if its worker has reported the same progress for longer than
	// stallTime and stallPart of its expected time; for fillers, fillerStallPart.
	stallTime       = 900 * time.Millisecond
	stallPart       = 0.15
	fillerStallPart = 0.5
	// moveFactor is how many times as long as elsewhere a run may still take
	// before it is moved; fillerMoveFactor is that of fillers. copyFactor times
	// the expected time of the whole task is the remaining time from which on
	// a speculative copy is started.
	moveFactor       = 2.5
	fillerMoveFactor = 6
	copyFactor       = 1.5
	// moveCost is the time that a move takes besides the work that is repeated.
	moveCost = 600 * time.Millisecond
)

// relieveStragglers checks a worker for runs that are much slower than they
// should be, since the worker is slow or stalled. A speculative copy is started
// where the step allows it; otherwise the run is stopped and its task starts
// again elsewhere if that ends sooner. Lasting tasks, gangs and throttled runs
// are left alone.
func (p *Planner) relieveStragglers(now time.Time, h *hosts.Host) {
	if !h.RunsKnown || h.Failures > 0 || now.Sub(h.StragglerCheckedAt) < stragglerInterval {
		return
	}
	h.StragglerCheckedAt = now
	for _, s := range h.Slots {
		j := p.jobs[s.Task.Job]
		if j == nil || s.Phase != hosts.Started || s.Stopping || s.Step.Lasting || s.Step.Gang || s.ReportedAt.IsZero() ||
			s.Pace != fullPace || now.Sub(s.StartedAt) < stragglerMinAge || j.State.Final() {
			continue
		}
		p.relieveStraggler(now, h, s, j)
	}
}

// lateness is how a run compares with the time that its task is expected to take.
type lateness struct {
	// stalled is set if the run makes no progress, slow if a copy of the task would
	// be worthwhile, and verySlow if moving it would be.
	stalled, slow, verySlow bool
}

// any reports whether the run is a straggler of some kind.
func (l lateness) any() bool { return l.stalled || l.slow || l.verySlow }

// lateness compares a run that takes for the time left with the expected time of its
// whole task. A longer expected time never makes the run later.
func (p *Planner) lateness(s *hosts.Slot, left, expected time.Duration) lateness {
	elsewhere := expected
	if s.Step.Checkpoints && s.Checkpoint != "" {
		elsewhere = expected*time.Duration(donePercent-s.Percent)/donePercent + p.options.Restore
	}
	part, factor := stallPart, moveFactor
	if s.Step.Filler {
		// A filler's speed also changes with what other tasks leave unused.
		part, factor = fillerStallPart, fillerMoveFactor
	}
	return lateness{
		stalled:  s.ReportedAt.Sub(s.ProgressedAt) > stallTime+time.Duration(part*float64(expected)),
		slow:     left > time.Duration(copyFactor*float64(expected)),
		verySlow: left > time.Duration(factor*float64(elsewhere))+moveCost,
	}
}

// relieveStraggler copies or moves one run if it is a straggler. A move counts as a
// failure on the worker in the judge's evidence, except that of a filler.
func (p *Planner) relieveStraggler(now time.Time, h *hosts.Host, s *hosts.Slot, j *job) {
	left := p.remainingTime(now, j, s)
	expected := p.runTimes.Expect(j.Queue.Name, s.Step)
	if !p.lateness(s, left, expected).any() {
		return // the other runs of the step, which take long to look at, don't change that
	}
	expected = max(expected, p.siblingTime(j, s))
	late := p.lateness(s, left, expected)
	t := j.Task(s.Task)
	if t == nil || t.Done {
		return
	}
	switch {
	case s.Step.Copies && !s.Suspect && len(t.Runs) == 1 && (late.stalled || late.slow):
		p.startCopy(now, h, s, j)
	case len(t.Runs) > 1:
	case late.stalled || late.verySlow:
		if !p.hasRoomElsewhere(now, h, s, j) {
			return
		}
		p.options.Log.Info("runSlow", zap.Stringer("task", s.Task), zap.Int32("run", int32(s.Run)),
			zap.String("worker", string(h.ID)), zap.Bool("still", late.stalled), zap.Int("percent", s.Percent),
			zap.Duration("left", left), zap.Duration("expected", expected), zap.Float64("rate", s.Rate()),
			zap.Int64("figure", s.Figure), zap.Int64("needs", s.Step.Needs.Processors),
			zap.Bool("filler", s.Step.Filler), zap.Float64("spare", h.FillerRoom(p.interference).Idle),
			zap.Float64("wanted", h.FillerRoom(p.interference).Demand))
		if !s.Step.Filler {
			p.judge.AttemptEnded(now, h.ID, sched.TaskID(s.Task.String()), failureKind(j, s.Step), sched.AttemptFailed)
		}
		p.stopSlot(now, h, s)
	}
}

// minSiblings is the number of other runs of a step that must have a measured
// rate for siblingTime.
const minSiblings = 2

// siblingTime returns how long the other tasks of the step take by their median
// rate of progress, 0 if fewer than minSiblings have one. Declared times are often
// wrong by the same factor for all tasks of a step; moving them all would discard
// their work.
func (p *Planner) siblingTime(j *job, s *hosts.Slot) time.Duration {
	o := j.Occurrences[s.Task.Occurrence]
	if o == nil {
		return 0
	}
	var rates []float64
	for k := range o.Steps[s.Task.Step].Tasks {
		for _, r := range o.Steps[s.Task.Step].Tasks[k].Runs {
			t := s.Task
			t.Index = k
			h := p.workers[r.Worker]
			if k == s.Task.Index || h == nil {
				continue
			}
			if x := h.Slots[hosts.Key{Task: t, Run: r.Number}]; x != nil && x.Rate() > 0 {
				rates = append(rates, x.Rate())
			}
		}
	}
	if len(rates) < minSiblings {
		return 0
	}
	slices.Sort(rates)
	return time.Duration(donePercent / rates[len(rates)/2] * float64(time.Second))
}

// hasRoomElsewhere reports whether another worker has room for the run, beside what the
// look-ahead placement holds.
func (p *Planner) hasRoomElsewhere(now time.Time, h *hosts.Host, s *hosts.Slot, j *job) bool {
	w := &waitingStep{job: j, occurrence: j.Occurrences[s.Task.Occurrence], step: s.Task.Step, isCopy: true}
	w.late = p.lateOf(w)
	for _, o := range p.workers {
		if o == h || !p.usable(now, o, j.Queue.Service, s.Step) || !s.Step.Counted().Fits(p.roomAhead(w, o)) {
			continue
		}
		if _, fits := p.score(o, stepRefOf(s.Task), s.Step); fits {
			return true
		}
	}
	return false
}

// startCopy places a speculative copy of a task beside its slow run, if another
// worker has room for it.
func (p *Planner) startCopy(now time.Time, h *hosts.Host, s *hosts.Slot, j *job) {
	if p.startsHeld() {
		return
	}
	w := &waitingStep{job: j, occurrence: j.Occurrences[s.Task.Occurrence], step: s.Task.Step, tasks: []int{s.Task.Index}, isCopy: true}
	w.late = p.lateOf(w)
	to := p.chooseWorker(now, w, s.Task.Index)
	if to == nil || to == h {
		return
	}
	p.options.Log.Info("runCopied", zap.Stringer("task", s.Task), zap.Int32("run", int32(s.Run)),
		zap.String("worker", string(h.ID)), zap.String("to", string(to.ID)), zap.Int("percent", s.Percent))
	p.stats.Copies++
	p.placeTask(now, w, s.Task.Index, to, j.Task(s.Task).LastRun+1)
}
