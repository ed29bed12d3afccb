package entry

import (
	"net/http"

	"github.com/parsleybarrow/parsleybarrow/internal/process/lead"
	"github.com/parsleybarrow/parsleybarrow/internal/process/meter"
)

// MetricsPath is the HTTP path of the metrics. They are served by a listener of
// their own, Entry.MetricsListener.
const MetricsPath = "/metrics"

// registerMetrics wraps the store, the runner and the advisor, so that their calls are
// counted, and registers the gauges of the instance.
func (e *Entry) registerMetrics() {
	if e.Meter == nil {
		e.Meter = meter.New(e.Clock)
	}
	e.Store, e.Runner = e.Meter.WrapStore(e.Store), e.Meter.WrapOrderClient(e.Runner)
	if e.Advisor != nil {
		e.Advisor = e.Meter.WrapAdvisor(e.Advisor)
	}
	e.Meter.RegisterGauges(meter.Gauges{
		Cells: func() float64 { return float64(e.plannedCells()) },
		Catalog: func() float64 {
			if c := e.catalog.Load(); c != nil {
				return float64(c.Version)
			}
			return 0
		},
		Evacuations:    func() float64 { return float64(len(e.evacuations.Load().DataCentres())) },
		EvacuatedRuns:  func() float64 { return float64(e.sumOverPlanned((*lead.Leader).EvacuatedRuns)) },
		UnknownWorkers: func() float64 { return float64(e.sumOverPlanned((*lead.Leader).UnknownWorkers)) },
		Ready: func() float64 {
			if e.Ready() {
				return 1
			}
			return 0
		},
		LinesDropped: func() float64 {
			if e.LinesDropped == nil {
				return 0
			}
			return float64(e.LinesDropped())
		},
	})
}

// plannedCells returns the number of cells that this instance plans.
func (e *Entry) plannedCells() int {
	n := 0
	if controllers := e.controllers.Load(); controllers != nil {
		for _, s := range *controllers {
			if s.lead.Load() != nil {
				n++
			}
		}
	}
	return n
}

// sumOverPlanned returns the sum of a figure over the cells that this instance plans.
func (e *Entry) sumOverPlanned(figure func(*lead.Leader) int64) int64 {
	var n int64
	if controllers := e.controllers.Load(); controllers != nil {
		for _, s := range *controllers {
			if l := s.lead.Load(); l != nil {
				n += figure(l)
			}
		}
	}
	return n
}

func (e *Entry) metricsHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) { e.Meter.Write(w) })
	return m
}
