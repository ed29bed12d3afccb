package daemon

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a metric that is missing from the operators' page, and against
// a row of that page whose metric does not exist.
func TestPageOfMetricsListsWhatTheCodeHas(t *testing.T) {
	i := is.New(t)
	page, err := os.ReadFile("../../../docs/operators/metrics.md")
	i.NoErr(err)
	var rows, names []string
	for _, m := range Metrics() {
		rows = append(rows, fmt.Sprintf("| %s | %s | %s |", m.Name, m.Kind, m.Description))
		names = append(names, m.Name)
	}
	listed := regexp.MustCompile(`(?m)^\| parsleybarrow_.*$`).FindAllString(string(page), -1)
	i.Equal(strings.Join(listed, "\n"), strings.Join(rows, "\n"))
	zero := func() float64 { return 0 }
	m := newInstanceMetrics(gauges{zero, zero, zero, zero, zero, zero, zero, func(sched.Outcome) float64 { return 0 }})
	var made []string
	for _, n := range m.set.ListMetricNames() {
		made = append(made, strings.SplitN(n, "{", 2)[0])
	}
	slices.Sort(made)
	slices.Sort(names)
	i.Equal(slices.Compact(made), names)
}
