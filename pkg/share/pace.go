package share

import "time"

const (
	// fullPace is the pace, in percent, of a filler that isn't throttled.
	fullPace = 100
	// paceStep is the granularity of paces in percent, and minPace the lowest one
	// besides a pause, which is 0.
	paceStep = 10
	minPace  = 30
	// resumeMargin is the utilization that must be left free when a paused filler
	// resumes, so that it isn't paused again at once.
	resumeMargin = 0.03
	// maxTimeOverGoal is how long the tail latency of a serving task may be over
	// its goal before every filler beside it is paused.
	maxTimeOverGoal = 1200 * time.Millisecond
)

// Filler is a filler task on a worker.
type Filler struct {
	Image string
	// ProcessorShare is the share of the worker's processors that the filler uses at full
	// pace.
	ProcessorShare float64
	// Pace is the present pace in percent. A pace of 0 or less is a pause.
	Pace int
}

// Paces returns the pace, in percent, at which each filler on a worker may work
// beside the serving tasks. The first fillers get as much as the serving tasks can
// bear: a few fillers that end soon are better than many that are slow. All are
// paused while a serving task has been over its goal for maxTimeOverGoal.
func (m *Model) Paces(now time.Time, serving []*Serving, fillers []Filler) []int {
	room := make([]float64, len(serving))
	pause := false
	for k, s := range serving {
		room[k] = m.slack(s, paceHorizon)
		pause = pause || !s.OverGoalSince.IsZero() && now.Sub(s.OverGoalSince) >= maxTimeOverGoal
	}
	paces := make([]int, len(fillers))
	for k, f := range fillers {
		if !pause {
			paces[k] = m.paceFor(f, serving, room)
		}
	}
	return paces
}

// paceFor returns the pace of one filler and subtracts what the filler adds at that
// pace from room, the slack of each serving task.
func (m *Model) paceFor(f Filler, serving []*Serving, room []float64) int {
	margin := 0.0
	if f.Pace <= 0 {
		margin = resumeMargin
	}
	part := 1.0
	for k, s := range serving {
		added := f.ProcessorShare * m.Factor(s.Image, f.Image)
		if left := max(0, room[k]-margin); added > left {
			part = min(part, left/added)
		}
	}
	pace := int(part*fullPace) / paceStep * paceStep
	if pace < minPace {
		return 0
	}
	for k, s := range serving {
		room[k] -= f.ProcessorShare * m.Factor(s.Image, f.Image) * float64(pace) / fullPace
	}
	return pace
}
