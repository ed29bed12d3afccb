package lead

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/pkg/evac"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// errEvacuated reports that a start order wasn't sent, since nothing may start in the
// worker's data centre, or that isn't known.
var errEvacuated = fmt.Errorf("%w: evacuation of the data centre", sched.ErrUnavailable)

// EvacuatedRuns returns the number of runs in the data centres that are being evacuated, as
// of the last second.
func (l *Leader) EvacuatedRuns() int64 { return l.evacuatedRuns.Load() }

// UnknownWorkers returns the number of workers that take no tasks since not all of their
// runs are known, as of the last second.
func (l *Leader) UnknownWorkers() int64 { return l.unknownWorkers.Load() }

// readEvacuations returns the evacuations as of the newest read of the operator's records,
// and whether starts are held since that is too old, which isn't so without a limit.
func (l *Leader) readEvacuations(now time.Time) (*evac.Set, bool) {
	if l.Evacuations == nil {
		return nil, false
	}
	s, limit := l.Evacuations(), l.Options.EvacuationLimit
	return s, limit > 0 && s.Held(now, limit)
}

// mayStartIn reports whether a start order to a data centre may be sent. It is called just
// before the call: the planner may have decided before the evacuation was known, or before
// this process was paused.
func (l *Leader) mayStartIn(d sched.DataCentre) bool {
	s, held := l.readEvacuations(l.Clock.Now())
	return !held && !s.Covers(d)
}

// updateEvacuations tells the planner of changed evacuations and logs them. It runs in the
// planner's actor before every message, so that a change doesn't wait behind others.
func (l *Leader) updateEvacuations(now time.Time) {
	s, held := l.readEvacuations(now)
	if held != l.startsHeld {
		l.startsHeld = held
		l.planner.HoldStarts(held)
		l.logHold(now, s)
	}
	if s == nil || s == l.evacuations {
		return
	}
	known, before := s.Marks(), l.evacuations.Marks()
	changed := l.evacuations == nil
	if changed { // so that the planner knows which evacuations have ended before its term
		l.planner.Evacuate(now, slices.Collect(maps.Keys(known)))
	}
	for d, m := range known {
		if m.InForce == before[d].InForce {
			continue
		}
		changed = true
		name := "evacuationEnded"
		if m.InForce {
			name = "evacuationBegan"
		}
		l.Log.Info(name, zap.String("dataCentre", string(d)), zap.Int64("offset", int64(m.Offset)),
			zap.Duration("sinceRead", now.Sub(m.ReadAt)))
	}
	l.evacuations = s
	if changed {
		l.planner.Evacuate(now, s.DataCentres())
	}
}

// logHold logs that starts are held, or no longer are. Before the first read of the
// operator's records there is no age.
func (l *Leader) logHold(now time.Time, s *evac.Set) {
	if !l.startsHeld {
		l.Log.Info("startsResumed")
		return
	}
	var age time.Duration
	if s != nil {
		age = s.Age(now)
	}
	l.Log.Warn("startsHeld", zap.Bool("operatorRead", s != nil), zap.Duration("age", age))
}
