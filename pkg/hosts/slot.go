package hosts

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/share"
)

// Phase is the state of a run on a worker, as far as the planner knows it.
type Phase int

// Phases of runs.
const (
	// Recorded runs are placed, and no start order was sent.
	Recorded Phase = iota
	// Ordered runs have a start order that has no answer yet.
	Ordered
	// Unsure runs may or may not be on the worker: the answer to the start order
	// was lost, an earlier planner sent the order, or the worker began a new life.
	Unsure
	// Started runs are on the worker by its own word.
	Started
)

// Slot is a run that is or may be on a worker, or is about to be started there.
type Slot struct {
	Key
	// Step describes the task of the run.
	Step *sched.Step
	// Serving is the load estimate of a task that serves users of its own, nil
	// for any other task.
	Serving *share.Serving
	Phase   Phase
	// Token is the fencing token of the start order, 0 if an earlier planner sent
	// it. Clock is the worker's clock when it accepted the order.
	Token sched.FencingToken
	Clock sched.WorkerClock
	// Stopping is set once a stop was ordered. StopAt is when to repeat the
	// order.
	Stopping bool
	StopAt   time.Time
	// Suspect is set if an earlier run of the task may have crashed its worker and none has
	// ended by itself since. Crashes counts the crashes under the task.
	Suspect bool
	Crashes int
	// Incarnation is that of the worker on which the run is, 0 if unknown. The run
	// ended with it once the worker has a later one, unless that one reports it.
	Incarnation int64
	// PlacedAt is when the run was placed, zero if unknown.
	// OrderedAt is when the start order was sent, zero if this planner sent none.
	// StartedAt is when this planner first knew that the run had started.
	PlacedAt, OrderedAt, StartedAt time.Time
	// Percent, Figure and Checkpoint are from the newest report, which came at
	// Reported. Percent is the progress of the run. Figure is the tail latency in
	// milliseconds for a task that serves users, and else the processors that the
	// run uses, in thousandths. Checkpoint is the newest one that was reported.
	// ProgressedAt is when Percent last changed.
	Percent      int
	Figure       int64
	Checkpoint   sched.CheckpointID
	ReportedAt   time.Time
	ProgressedAt time.Time
	// progressRate is the smoothed rate of progress in percent a second. Its next
	// measurement begins at ratePercent at the time rateAt, under the pace
	// ratePace.
	progressRate          float64
	ratePercent, ratePace int
	rateAt                time.Time
	// Pace is the pace that was last ordered, in percent of full speed. Paused is
	// when a pace of 0 was last ordered.
	Pace   int
	Paused time.Time
	// Crowded is set for a filler that was placed although the tasks beside it can't
	// bear it at full pace.
	Crowded bool
}

// minRateSpan is the shortest time over which a rate is measured. Progress is
// reported in whole percents, so shorter spans are too coarse.
const minRateSpan = 600 * time.Millisecond

// Progress applies the progress that a worker reports, in percent. Time in which
// the run is paused doesn't count as time without progress, and a change of the
// pace starts the measurement of the rate again.
func (s *Slot) Progress(now time.Time, percent int) {
	if s.Percent != percent || s.ProgressedAt.IsZero() || s.Pace <= 0 {
		s.ProgressedAt = now
	}
	s.Percent, s.ReportedAt = percent, now
	span := now.Sub(s.rateAt)
	switch {
	case s.rateAt.IsZero() || s.Pace != s.ratePace:
		s.progressRate = 0
	case span < minRateSpan:
		return
	default:
		rate := float64(percent-s.ratePercent) / span.Seconds()
		if s.progressRate == 0 {
			s.progressRate = rate
		} else {
			const smooth = 0.5
			s.progressRate += smooth * (rate - s.progressRate)
		}
	}
	s.ratePercent, s.rateAt, s.ratePace = percent, now, s.Pace
}

// Rate returns the smoothed rate of progress in percent a second, 0 if it isn't
// known.
func (s *Slot) Rate() float64 { return s.progressRate }

// ProvenGone reports whether an exchange that doesn't list the run shows that the run
// isn't on the worker and never will be. The exchange was made with the given token
// and answered at the given clock of the worker. A higher token than that of the
// start order makes the order void; a later clock than that of the accepted order
// shows that the run has gone.
func (s *Slot) ProvenGone(token sched.FencingToken, clock sched.WorkerClock) bool {
	switch s.Phase {
	case Recorded, Ordered:
		return false
	case Unsure:
		return s.Token < token
	default:
		return s.Token < token || s.Clock < clock
	}
}
