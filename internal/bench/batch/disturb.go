package batch

import (
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Times and sizes of the disturbances.
const (
	disturbanceStart = 10 * time.Minute
	outageTime       = 10 * time.Minute
	badWorkers       = 4 // of 40
	cancelEvery      = 2 // every second task is cancelled
	urgentInterval   = 6 * time.Second
	largeSpread      = 1.2
	normalSpread     = 0.4
)

// Scenarios returns the scenarios of the batch path.
func Scenarios() []Scenario {
	return []Scenario{
		{
			Name: "badWorkers", Spread: normalSpread, Urgent: urgentInterval,
			Usable: 1 - float64(badWorkers)/scenarioWorkers,
			Disturb: func(s *Sim, _ []sched.TaskID) {
				for i := range badWorkers {
					s.FailWorker(i*scenarioWorkers/badWorkers, true)
				}
			},
		},
		{Name: "cancelWave", Spread: normalSpread, Urgent: urgentInterval, Disturb: cancelWave},
		{Name: "storeOutage", Spread: normalSpread, Disturb: func(s *Sim, _ []sched.TaskID) {
			s.After(disturbanceStart, func() { s.LogDown = true })
			s.After(disturbanceStart+outageTime, func() { s.LogDown = false })
		}},
		{Name: "wrongEstimates", Spread: largeSpread, Urgent: urgentInterval},
	}
}

// cancelWave cancels every second task within a second.
func cancelWave(s *Sim, ids []sched.TaskID) {
	for i, id := range ids {
		if i%cancelEvery == 0 {
			s.After(disturbanceStart+time.Duration(i)*time.Second/scenarioTasks, func() { s.Cancel(i, id) })
		}
	}
}

// percentile returns the value below which the given part lies.
func percentile(all []time.Duration, part float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(part*float64(len(all))), len(all)-1)]
}
