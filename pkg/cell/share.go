package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/hosts"
	"github.com/parsleybarrow/parsleybarrow/pkg/order"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/share"
)

const (
	// minPaceChange is the smallest change of a pace that is worth an order, in
	// percent. Pauses and full pace are ordered however small the change is.
	minPaceChange = 20
	// atWorkPercent is the progress that a lasting task reports while it works.
	atWorkPercent = 100
	// unknownPace is the pace of a run whose worker may not have applied the last
	// pace order. It differs enough from every pace that the next order is sent.
	unknownPace = -1000
)

// updatePaces applies the tail latencies that a worker has just reported to the
// interference model and sets the paces of the fillers on the worker.
func (p *Planner) updatePaces(now time.Time, h *hosts.Host) {
	worked := h.RecentFillerMix(now)
	for _, s := range h.Slots {
		if s.Serving != nil && s.ReportedAt.Equal(now) && s.Percent == atWorkPercent {
			p.interference.Report(now, s.Serving, time.Duration(s.Figure)*time.Millisecond, worked)
		}
	}
	h.Touch()
	p.setPaces(now, h)
}

// setPaces orders a new pace for every filler on the worker whose pace should
// change. Fillers whose claims come first get room first.
func (p *Planner) setPaces(now time.Time, h *hosts.Host) {
	slots := p.runningFillers(now, h)
	if len(slots) == 0 {
		return
	}
	serving := h.Serving()
	fillers := make([]share.Filler, len(slots))
	for k, s := range slots {
		fillers[k] = share.Filler{Image: s.Step.Image, ProcessorShare: h.ProcessorShare(s.Step.Needs.Processors), Pace: s.Pace}
	}
	defer p.movePausedFiller(now, slots)
	for k, want := range p.interference.Paces(now, serving, fillers) {
		s := slots[k]
		change := max(want-s.Pace, s.Pace-want)
		if change == 0 || change < minPaceChange && want != 0 && want != fullPace {
			continue
		}
		p.options.Log.Debug("paced", zap.Stringer("task", s.Task), zap.String("worker", string(h.ID)),
			zap.Int("from", s.Pace), zap.Int("to", want))
		if want == 0 && s.Pace != 0 {
			s.Paused = now
		}
		s.Pace = want
		p.stats.Paces++
		p.effects.Paces = append(p.effects.Paces, PaceCall{h.Worker, sched.PaceOrder{
			Task: s.Task, Run: s.Run, Percent: want, Token: h.Token(p.options.Term),
		}})
	}
}

const (
	// maxFillerPause is how long a filler pauses before it is moved elsewhere.
	maxFillerPause = 700 * time.Millisecond
	// maxPauseDoublings bounds how often the pause of a crowded filler doubles.
	maxPauseDoublings = 5
	// maxDiscardedPercent is the progress, in percent, up to which a filler
	// without a checkpoint is moved.
	maxDiscardedPercent = 20
	// minMoveSlack is the utilization that the serving tasks elsewhere must be
	// able to bear besides the filler.
	minMoveSlack = 0.05
	// roomSearchInterval is the time between two searches of all workers for room for
	// paused fillers of an image, if the first finds none. Each worker reports about once
	// in that time.
	roomSearchInterval = time.Second
)

// movePausedFiller stops one filler that has paused for maxFillerPause if another
// worker has room for it. The load of a service goes up and down over many
// seconds, longer than most fillers run, so waiting rarely pays. A crowded filler
// pauses twice as long with each run, so that it doesn't move over and over.
func (p *Planner) movePausedFiller(now time.Time, slots []*hosts.Slot) {
	for _, s := range slots {
		keepsWork := s.Step.Checkpoints && s.Checkpoint != "" || s.Percent <= maxDiscardedPercent
		pause := maxFillerPause
		if s.Crowded {
			pause <<= min(s.Run-1, maxPauseDoublings)
		}
		if s.Pace != 0 || now.Sub(s.Paused) < pause || !keepsWork {
			continue
		}
		if h := p.fillerRoomElsewhere(now, s); h != nil {
			p.options.Log.Info("fillerMoved", zap.Stringer("task", s.Task), zap.Int32("run", int32(s.Run)),
				zap.Duration("paused", now.Sub(s.Paused)), zap.Int("percent", s.Percent), zap.String("room", string(h.ID)))
			p.stats.Moves++
			p.stopRun(now, s.Task, s.Run, p.workerOf(s))
			return
		}
	}
}

// workerOf returns the worker of a run, empty if the job or the run is gone.
func (p *Planner) workerOf(s *hosts.Slot) sched.InstanceID {
	if j := p.jobs[s.Task.Job]; j != nil {
		if t := j.Task(s.Task); t != nil {
			for _, r := range t.Runs {
				if r.Number == s.Run {
					return r.Worker
				}
			}
		}
	}
	return ""
}

// fillerRoomElsewhere returns a worker whose serving tasks can bear the filler
// with minMoveSlack to spare, nil if there is none or none was found a moment ago.
func (p *Planner) fillerRoomElsewhere(now time.Time, s *hosts.Slot) *hosts.Host {
	if now.Sub(p.noRoomElsewhere[s.Step.Image]) < roomSearchInterval {
		return nil
	}
	service := p.jobs[s.Task.Job].Queue.Service
	for _, h := range p.workers {
		p.stats.Ratings++
		if !p.usable(now, h, service, s.Step) || !s.Step.Counted().Fits(p.freeOn(h)) {
			continue
		}
		part := h.ProcessorShare(s.Step.Needs.Processors)
		if v := h.FillerRoom(p.interference); v.SlackWith(s.Step.Image, part) >= minMoveSlack && v.Idle >= v.Demand+part {
			return h
		}
	}
	maps.DeleteFunc(p.noRoomElsewhere, func(_ string, at time.Time) bool { return now.Sub(at) >= roomSearchInterval })
	p.noRoomElsewhere[s.Step.Image] = now
	return nil
}

// runningFillers returns the started fillers on a worker, in the order of their
// claims. Crowded ones come last: they get what the others leave.
func (p *Planner) runningFillers(now time.Time, h *hosts.Host) []*hosts.Slot {
	var out []*hosts.Slot
	claims := map[*hosts.Slot]order.Claim{}
	for _, s := range h.Slots {
		j := p.jobs[s.Task.Job]
		if j == nil || !s.Step.Filler || s.Phase != hosts.Started || s.Stopping {
			continue
		}
		out = append(out, s)
		claims[s] = p.claimOf(now, j, s.Task.Occurrence, s.Task.Step)
	}
	slices.SortFunc(out, func(a, b *hosts.Slot) int {
		return cmp.Or(compareTrueFirst(b.Crowded, a.Crowded), order.Compare(claims[a], claims[b]), cmp.Compare(a.Task.String(), b.Task.String()))
	})
	return out
}

// Paced handles the result of a pace order. An order that wasn't carried out is
// replaced by a new one after the next exchange.
func (p *Planner) Paced(_ time.Time, r OrderResult) {
	h := p.workers[r.Worker]
	if h == nil {
		return
	}
	if s := h.Slots[r.Key]; s != nil && (r.Err != nil || r.Answer.Refusal != sched.NotRefused) {
		s.Pace = unknownPace
	}
}

const (
	// minFillerSpeed is the share of its full speed below which a filler isn't
	// placed.
	minFillerSpeed = 0.5
	// speedWeight is the weight of the speed of a filler, compared with the
	// utilization that the serving tasks can still bear beside it.
	speedWeight = 0.5
)

// fillerScore returns the score of a worker for a filler task, and whether the
// serving tasks there can bear it. The score rises with the speed that the filler
// would have, and with the utilization that the serving tasks could still bear
// beside it. At most 0.3 of that utilization counts, so that in a flood of fillers
// those that disturb little don't take the workers that can bear the others.
func (p *Planner) fillerScore(h *hosts.Host, step sched.Step) (float64, bool) {
	part := h.ProcessorShare(step.Needs.Processors)
	v := h.FillerRoom(p.interference)
	slack, speed := v.SlackWith(step.Image, part), v.Speed(part)
	if slack < 0 || speed < minFillerSpeed {
		return 0, false
	}
	return speedWeight*speed + min(0.3, slack), true
}

const (
	// minCrowdedScore is the least score of a worker without throttled fillers.
	minCrowdedScore = -0.5
	// throttledPenalty is taken off the score of a worker for each throttled filler there.
	// It outweighs everything else, so that such fillers spread over the workers.
	throttledPenalty = 2.0
)

// crowdedScore returns the score of a worker for a filler task of an overdue step, which
// the serving tasks there can't bear at full pace, or which leaves too few processors
// for full speed. The filler gets what those before it leave, if need be nothing for a
// while.
func (p *Planner) crowdedScore(h *hosts.Host, step *sched.Step) float64 {
	throttled := 0
	for _, s := range h.Slots {
		if s.Step.Filler && (s.Crowded || s.Pace != fullPace) {
			throttled++
		}
	}
	part := h.ProcessorShare(step.Needs.Processors)
	v := h.FillerRoom(p.interference)
	score := min(0.3, v.SlackWith(step.Image, part)) + speedWeight*v.Speed(part)
	return max(minCrowdedScore, score) - throttledPenalty*float64(throttled)
}

const (
	// sameImageWeight is added to the score of a worker with serving tasks of the
	// same image.
	sameImageWeight = 0.5
	// sameStepWeight is added to the score of a worker with tasks of the same
	// step. Their load goes up and down together, so there are times when none
	// of them is at its peak and the worker bears more fillers.
	sameStepWeight = 1.0
	// distanceWeight is taken off the score for each unit of the distance
	// between the serving images.
	distanceWeight = 4.0
)

// servingScore returns the score of a worker for a serving task. Tasks that are
// disturbed by the same fillers are packed together, so that there are workers
// that can bear each kind of filler, and some workers without serving tasks are
// left to the fillers that disturb most.
func (p *Planner) servingScore(h *hosts.Host, ref sched.StepRef, step sched.Step) float64 {
	capacity := float64(max(1, h.Capacity.Processors))
	score := 1 - float64(h.Free().Processors)/capacity
	distance, same, own := 0.0, false, false
	for _, s := range h.Slots {
		if s.Serving == nil {
			continue
		}
		same = same || s.Serving.Image == step.Image
		own = own || stepRefOf(s.Task) == ref
		distance = max(distance, p.interference.Distance(step.Image, s.Serving.Image))
	}
	if same {
		score += sameImageWeight
	}
	if own {
		score += sameStepWeight
	}
	return score - distanceWeight*distance
}
