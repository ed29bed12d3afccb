package config

import (
	"encoding/json"
	"math"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Defaults of what operators may leave out.
var (
	defaultService = sched.ServiceSettings{
		Urgency:     sched.UrgencyStandard,
		Timeout:     30 * time.Second,
		Slots:       8,
		Connections: 64,
		RetryBudget: 0.1,
		LatencyGoal: time.Second,
	}
	defaultTaskKind = sched.TaskKindSettings{
		Urgency:      sched.UrgencyBackground,
		RunTime:      time.Hour,
		MaxAttempts:  3,
		MaxEvictions: 3,
	}
	// The dedup window stays well within a log retention of a day. The lease
	// and the isolation limit bound how long a lost worker's tasks wait.
	defaultLimits = sched.LimitSettings{
		QueueRequests:  1000,
		QueueBytes:     64 * miB,
		AnswerBuffer:   64 * kiB,
		CrossRegion:    256 * kiB,
		DrainTimeout:   30 * time.Second,
		DedupWindow:    15 * time.Minute,
		LeaseDuration:  15 * time.Second,
		ClockBound:     500 * time.Millisecond,
		IsolationLimit: time.Minute,
		ListLag:        10 * time.Second,
		AheadDepth:     2,
		UrgencyShares: [sched.UrgencyUrgent + 1]float64{
			sched.UrgencyBackground: 0.1, sched.UrgencyStandard: 0.2, sched.UrgencyUrgent: 0.4,
		},
	}
)

var urgencies = map[string]sched.Urgency{
	"background": sched.UrgencyBackground,
	"standard":   sched.UrgencyStandard,
	"urgent":     sched.UrgencyUrgent,
}

// branch reads the fields of one map. Values that are absent or of another
// type give the default: the schema has been checked before the document was
// accepted, maybe by newer software.
type branch map[string]any

func (b branch) below(k string) branch {
	m, _ := b[k].(map[string]any)
	return m
}

func (b branch) number(k string, d float64) float64 {
	if n, ok := b[k].(json.Number); ok {
		if f, err := n.Float64(); err == nil {
			return f
		}
	}
	return d
}

func (b branch) integer(k string, d int) int {
	f := b.number(k, float64(d))
	if f < math.MinInt32 || f > math.MaxInt32 {
		return d
	}
	return int(f)
}

func (b branch) text(k string) string {
	s, _ := b[k].(string)
	return s
}

func (b branch) duration(k string, d time.Duration) time.Duration { return asDuration(b[k], d) }

func (b branch) size(k string, d int64) int64 {
	if v, ok := parseSize(b.text(k)); ok {
		return v
	}
	return d
}

func (b branch) urgency(d sched.Urgency) sched.Urgency {
	if u, ok := urgencies[b.text("urgency")]; ok {
		return u
	}
	return d
}

func (b branch) resources(k string) sched.Resources {
	r := b.below(k)
	return sched.Resources{
		Processors:   int64(math.Round(r.number("processors", 0) * 1000)),
		Memory:       r.size("memory", 0),
		Accelerators: int64(r.integer("accelerators", 0)),
	}
}

func settings(tree map[string]any, version sched.Offset) sched.Settings {
	root := branch(tree)
	s := sched.Settings{Version: version, Limits: limits(root.below("limits"))}
	for _, k := range sortedKeys(root.below("regions")) {
		s.Regions = append(s.Regions, region(k, root.below("regions").below(k)))
	}
	for _, k := range sortedKeys(root.below("services")) {
		s.Services = append(s.Services, service(k, root.below("services").below(k)))
	}
	for _, k := range sortedKeys(root.below("taskKinds")) {
		s.TaskKinds = append(s.TaskKinds, taskKind(k, root.below("taskKinds").below(k)))
	}
	for _, k := range sortedKeys(root.below("partners")) {
		s.Partners = append(s.Partners, sched.PartnerSettings{
			Name: k, Share: root.below("partners").below(k).number("share", 0),
		})
	}
	teams := root.below("teams")
	for _, k := range sortedKeys(teams) {
		t := teams.below(k)
		s.Teams = append(s.Teams, sched.TeamSettings{
			Name: k, Partner: t.text("partner"), Requests: t.number("requests", 0), Resources: t.resources("resources"),
		})
	}
	return s
}

func region(name string, b branch) sched.RegionSettings {
	r := sched.RegionSettings{Name: sched.Region(name)}
	l, _ := b["dataCentres"].([]any)
	for _, v := range l {
		if d, ok := v.(string); ok {
			r.DataCentres = append(r.DataCentres, sched.DataCentre(d))
		}
	}
	return r
}

func service(name string, b branch) sched.ServiceSettings {
	d := defaultService
	return sched.ServiceSettings{
		Name:        name,
		Urgency:     b.urgency(d.Urgency),
		Timeout:     b.duration("timeout", d.Timeout),
		Slots:       b.integer("slots", d.Slots),
		Connections: b.integer("connections", d.Connections),
		RetryBudget: b.number("retryBudget", d.RetryBudget),
		LatencyGoal: b.duration("latencyGoal", d.LatencyGoal),
	}
}

func taskKind(name string, b branch) sched.TaskKindSettings {
	d := defaultTaskKind
	return sched.TaskKindSettings{
		Name:         name,
		Urgency:      b.urgency(d.Urgency),
		Needs:        b.resources("needs"),
		RunTime:      b.duration("runTime", d.RunTime),
		MaxAttempts:  b.integer("maxAttempts", d.MaxAttempts),
		MaxEvictions: b.integer("maxEvictions", d.MaxEvictions),
	}
}

func limits(b branch) sched.LimitSettings {
	d := defaultLimits
	shares := b.below("urgencyShares")
	l := sched.LimitSettings{
		QueueRequests:  b.integer("queueRequests", d.QueueRequests),
		QueueBytes:     b.size("queueBytes", d.QueueBytes),
		AnswerBuffer:   b.size("answerBuffer", d.AnswerBuffer),
		CrossRegion:    b.size("crossRegion", d.CrossRegion),
		DrainTimeout:   b.duration("drainTimeout", d.DrainTimeout),
		DedupWindow:    b.duration("dedupWindow", d.DedupWindow),
		LeaseDuration:  b.duration("leaseDuration", d.LeaseDuration),
		ClockBound:     b.duration("clockBound", d.ClockBound),
		IsolationLimit: b.duration("isolationLimit", d.IsolationLimit),
		ListLag:        b.duration("listLag", d.ListLag),
		AheadDepth:     b.integer("aheadDepth", d.AheadDepth),
	}
	for name, u := range urgencies {
		l.UrgencyShares[u] = shares.number(name, d.UrgencyShares[u])
	}
	return l
}
