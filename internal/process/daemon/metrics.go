package daemon

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Metric describes one exported metric.
type Metric struct {
	Name string
	// Kind is counter, gauge or histogram.
	Kind string
	// Description is a sentence for operators.
	Description string
}

// Metrics returns all metrics of an instance. The table in
// docs/operators/metrics.md must list the same rows in the same order.
func Metrics() []Metric {
	return []Metric{
		{"parsleybarrow_requests_total", "counter", "Requests by outcome: answered, refusedNotRun, failed, unknown."},
		{"parsleybarrow_request_duration_seconds", "histogram", "Time from arrival to the end of the answer."},
		{"parsleybarrow_requests_in_flight", "gauge", "Requests that have arrived and not ended."},
		{"parsleybarrow_submissions_total", "counter", "Task submissions by result: accepted, refused, unknown."},
		{"parsleybarrow_tasks", "gauge", "Tasks of the own data centre by state: queued, placed."},
		{"parsleybarrow_heartbeats_total", "counter", "Heartbeats sent, by result: ok, failed."},
		{"parsleybarrow_list_polls_total", "counter", "Polls of the platform's list, by result: ok, failed."},
		{"parsleybarrow_worker_exchanges_total", "counter", "Calls to workers, by result: ok, failed."},
		{"parsleybarrow_appends_total", "counter", "Appends to the platform's log, by result: ok, failed, uncertain."},
		{"parsleybarrow_records_total", "counter", "Records read from the platform's log."},
		{"parsleybarrow_config_version", "gauge", "Configuration version in force."},
		{"parsleybarrow_ready", "gauge", "1 while the instance is ready, else 0."},
		{"parsleybarrow_planner", "gauge", "1 while the instance plans for its data centre, else 0."},
		{"parsleybarrow_control_messages_total", "counter", "Messages that the control actor has handled."},
		{"parsleybarrow_events_displaced_total", "counter", "Events that newer ones have displaced from the ring buffer."},
	}
}

// Values of the label result of calls and appends.
const (
	resultOK        = "ok"
	resultFailed    = "failed"
	resultUncertain = "uncertain"
)

// outcomeNames holds the value of each outcome in the label outcome and in the
// header Parsley-Outcome.
var outcomeNames = map[sched.Outcome]string{
	sched.OutcomeAnswered:      "answered",
	sched.OutcomeRefusedNotRun: "refusedNotRun",
	sched.OutcomeFailed:        "failed",
	sched.OutcomeUnknown:       "unknown",
}

// instanceMetrics holds the metrics of one instance. The maps are keyed by the
// value of the label result.
type instanceMetrics struct {
	set             *metrics.Set
	duration        *metrics.Histogram
	submissions     map[string]*metrics.Counter
	heartbeats      map[string]*metrics.Counter
	listPolls       map[string]*metrics.Counter
	workerExchanges map[string]*metrics.Counter
	appends         map[string]*metrics.Counter
	records         *metrics.Counter
	messages        *metrics.Counter
}

// gauges holds functions that are called each time the metrics are scraped.
type gauges struct {
	inFlight, version, ready, planner, queued, placed, displaced func() float64
	requests                                                     func(sched.Outcome) float64
}

func newInstanceMetrics(g gauges) *instanceMetrics {
	s := metrics.NewSet()
	m := &instanceMetrics{
		set:             s,
		duration:        s.NewHistogram("parsleybarrow_request_duration_seconds"),
		submissions:     newCounters(s, "parsleybarrow_submissions_total", "accepted", "refused", "unknown"),
		heartbeats:      newCounters(s, "parsleybarrow_heartbeats_total", resultOK, resultFailed),
		listPolls:       newCounters(s, "parsleybarrow_list_polls_total", resultOK, resultFailed),
		workerExchanges: newCounters(s, "parsleybarrow_worker_exchanges_total", resultOK, resultFailed),
		appends:         newCounters(s, "parsleybarrow_appends_total", resultOK, resultFailed, resultUncertain),
		records:         s.NewCounter("parsleybarrow_records_total"),
		messages:        s.NewCounter("parsleybarrow_control_messages_total"),
	}
	for o, n := range outcomeNames {
		s.NewGauge(fmt.Sprintf("parsleybarrow_requests_total{outcome=%q}", n), func() float64 { return g.requests(o) })
	}
	s.NewGauge("parsleybarrow_requests_in_flight", g.inFlight)
	s.NewGauge("parsleybarrow_config_version", g.version)
	s.NewGauge("parsleybarrow_ready", g.ready)
	s.NewGauge("parsleybarrow_planner", g.planner)
	s.NewGauge(`parsleybarrow_tasks{state="queued"}`, g.queued)
	s.NewGauge(`parsleybarrow_tasks{state="placed"}`, g.placed)
	s.NewGauge("parsleybarrow_events_displaced_total", g.displaced)
	return m
}

// newCounters creates one counter per value of the label result.
func newCounters(s *metrics.Set, name string, results ...string) map[string]*metrics.Counter {
	out := map[string]*metrics.Counter{}
	for _, r := range results {
		out[r] = s.NewCounter(fmt.Sprintf("%s{result=%q}", name, r))
	}
	return out
}

// resultLabel returns the value of the label result for the error of a call.
func resultLabel(err error) string {
	if err != nil {
		return resultFailed
	}
	return resultOK
}

// appendResultLabel returns the value of the label result for the error of an
// append. Only sched.ErrUnavailable means that the record was not appended.
func appendResultLabel(err error) string {
	switch {
	case err == nil:
		return resultOK
	case errors.Is(err, sched.ErrUnavailable):
		return resultFailed
	}
	return resultUncertain
}
