package meter

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/parsleybarrow/parsleybarrow/internal/process/busy"
	"github.com/parsleybarrow/parsleybarrow/internal/process/guard"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Meter holds the metrics of one instance. Set the exported fields before the
// first use.
type Meter struct {
	// Clock gives the times from which durations are computed.
	Clock sched.Clock

	set *metrics.Set
}

// New returns a meter with an empty set of metrics and the given clock.
func New(k sched.Clock) *Meter { return &Meter{Clock: k, set: metrics.NewSet()} }

// Write writes all metrics in the text format of Prometheus, followed by those
// of the process.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// count increments a counter. labels are written as in the text format, without
// braces.
func (m *Meter) count(name, labels string) { m.set.GetOrCreateCounter(name + "{" + labels + "}").Inc() }

// time adds the seconds since the given time to a histogram. labels may be empty.
func (m *Meter) time(name, labels string, since time.Time) {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	m.set.GetOrCreateHistogram(name + labels).Update(m.Clock.Now().Sub(since).Seconds())
}

// Gauges holds the functions that return the values of the gauges. Write calls
// them, so they must be safe for concurrent use.
type Gauges struct {
	// Cells is the number of cells planned here, Catalog the version of the
	// operator's configuration, Ready 1 or 0, and LinesDropped the number of
	// dropped log lines. Evacuations is the number of data centres that are being
	// evacuated, and EvacuatedRuns that of the runs there in the cells planned here.
	// UnknownWorkers is the number of their workers whose runs aren't all known.
	Cells, Catalog, Ready, LinesDropped, Evacuations, EvacuatedRuns, UnknownWorkers func() float64
}

// RegisterGauges registers the gauges. It is called once.
func (m *Meter) RegisterGauges(g Gauges) {
	m.set.NewGauge(cellsPlanned, g.Cells)
	m.set.NewGauge(catalogVersion, g.Catalog)
	m.set.NewGauge(readyNow, g.Ready)
	m.set.NewGauge(linesDropped, g.LinesDropped)
	m.set.NewGauge(evacuations, g.Evacuations)
	m.set.NewGauge(evacuatedRuns, g.EvacuatedRuns)
	m.set.NewGauge(unknownWorkers, g.UnknownWorkers)
}

// RegisterGuards registers the metrics of the limits for clients, by listener.
func (m *Meter) RegisterGuards(guards []*guard.Guard) {
	for _, g := range guards {
		label := fmt.Sprintf("listener=%q", g.Name)
		m.set.NewGauge(clientBytes+"{"+label+"}", func() float64 { n, _ := g.Usage(); return float64(n) })
		m.set.NewGauge(clientConnections+"{"+label+"}", func() float64 { _, n := g.Usage(); return float64(n) })
		for k, reason := range guard.Reasons() {
			m.set.NewGauge(fmt.Sprintf("%s{%s,reason=%q}", clientsRefused, label, reason), func() float64 { return float64(g.Refused(k)) })
		}
	}
}

// CallGivenUp counts a call that ended without the verdict of a planner, by the state of the
// planner and whether the outcome is unknown. The call was refused as not run otherwise.
func (m *Meter) CallGivenUp(state string, unknown bool) {
	outcome := "refused"
	if unknown {
		outcome = "unknown"
	}
	if state == "" {
		state = "answering"
	}
	m.count(givenUpTotal, fmt.Sprintf("state=%q,outcome=%q", state, outcome))
}

// TermBegan counts a term that a planner of this instance has begun.
func (m *Meter) TermBegan() { m.set.GetOrCreateCounter(termsTotal).Inc() }

// SetRank sets the number of candidates for a cell that rank before this instance.
func (m *Meter) SetRank(cell, rank int) {
	m.set.GetOrCreateGauge(fmt.Sprintf("%s{cell=\"%d\"}", candidateRank, cell), nil).Set(float64(rank))
}

// AddMove counts a move of a cell from this instance, by result: ok or failed.
func (m *Meter) AddMove(result string) { m.count(movesTotal, fmt.Sprintf("result=%q", result)) }

// AddPlannerStats adds the differences between two readings of a planner's statistics
// to the planner counters.
func (m *Meter) AddPlannerStats(before, after cell.Stats) {
	rows := []struct {
		what          string
		before, after int64
	}{
		{"accepted", before.Accepted, after.Accepted},
		{"refused", before.Refused, after.Refused},
		{"starts", before.Starts, after.Starts},
		{"ends", before.Ends, after.Ends},
		{"failed", before.Failed, after.Failed},
		{"lost", before.Lost, after.Lost},
		{"stops", before.Stops, after.Stops},
		{"noRoom", before.NoRoom, after.NoRoom},
		{"paces", before.Paces, after.Paces},
		{"moves", before.Moves, after.Moves},
		{"copies", before.Copies, after.Copies},
		{"heldUp", before.HeldUp, after.HeldUp},
		{"crashes", before.Crashes, after.Crashes},
		{"givenUp", before.GivenUp, after.GivenUp},
		{"ratings", before.Ratings, after.Ratings},
		{"asked", before.Asked, after.Asked},
		{"adviceFailed", before.AdviceFailed, after.AdviceFailed},
		{"lateTickets", before.LateTickets, after.LateTickets},
		{"planned", before.Planned, after.Planned},
		{"slipped", before.Slipped, after.Slipped},
	}
	for _, r := range rows {
		m.set.GetOrCreateCounter(fmt.Sprintf("%s{what=%q}", plannerTotal, r.what)).Add(int(r.after - r.before))
	}
	for size, name := range sizeNames {
		label := fmt.Sprintf("{size=%q}", name)
		m.set.GetOrCreateCounter(plannerWaits + label).Add(int(after.Waits[size] - before.Waits[size]))
		m.set.GetOrCreateFloatCounter(plannerWaited + label).Add((after.Waited[size] - before.Waited[size]).Seconds())
	}
	m.set.GetOrCreateFloatCounter(plannerHeldFree).Add(float64(after.HeldFree-before.HeldFree) / millisPerProcessor)
}

// millisPerProcessor converts thousandths of a processor to processors.
const millisPerProcessor = 1000

// sizeNames holds the labels of the sizes of tasks.
var sizeNames = [cell.SizeCount]string{
	cell.SizeSmall: "small", cell.SizeLarge: "large", cell.SizeGang: "gang", cell.SizeLasting: "lasting",
}

// AddPlannerLoad adds what the thread of a planner has done in a period to the counters of
// its work.
func (m *Meter) AddPlannerLoad(r busy.Report) {
	for _, w := range r.Works {
		label := fmt.Sprintf("{work=%q}", w.Kind)
		m.set.GetOrCreateFloatCounter(plannerSeconds + label).Add(w.Time.Seconds())
		m.set.GetOrCreateCounter(plannerWorks + label).Add(int(w.Count))
	}
	m.set.GetOrCreateHistogram(plannerWait).Update(r.LongestWait.Seconds())
}

// resultOf returns the result label of a call from its error. An append at an
// offset that is no longer the end of the partition is "moved".
func resultOf(err error) string {
	var endMoved *sched.EndError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &endMoved):
		return "moved"
	case errors.Is(err, sched.ErrUnavailable):
		return "unavailable"
	}
	return "uncertain"
}
