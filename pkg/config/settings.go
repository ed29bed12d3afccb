package config

import (
	"encoding/json"
	"math"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Defaults of the fields that operators may leave out.
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
	// DedupWindow has to be well below the log's retention time, which is a day.
	// LeaseDuration and IsolationLimit determine how long the tasks of a lost
	// worker wait for another run.
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

// section is one map of a document. Its methods return the default for a field that
// is absent or has another type. That isn't an error here, because the document
// was validated before it was accepted, possibly by a newer software version.
type section map[string]any

func (b section) child(k string) section {
	m, _ := b[k].(map[string]any)
	return m
}

func (b section) number(k string, d float64) float64 {
	if n, ok := b[k].(json.Number); ok {
		if f, err := n.Float64(); err == nil {
			return f
		}
	}
	return d
}

func (b section) integer(k string, d int) int {
	f := b.number(k, float64(d))
	if f < math.MinInt32 || f > math.MaxInt32 {
		return d
	}
	return int(f)
}

func (b section) text(k string) string {
	s, _ := b[k].(string)
	return s
}

func (b section) duration(k string, d time.Duration) time.Duration { return asDuration(b[k], d) }

func (b section) size(k string, d int64) int64 {
	if v, ok := parseSize(b.text(k)); ok {
		return v
	}
	return d
}

func (b section) urgency(d sched.Urgency) sched.Urgency {
	if u, ok := urgencies[b.text("urgency")]; ok {
		return u
	}
	return d
}

func (b section) resources(k string) sched.Resources {
	r := b.child(k)
	return sched.Resources{
		Processors:   int64(math.Round(r.number("processors", 0) * 1000)),
		Memory:       r.size("memory", 0),
		Accelerators: int64(r.integer("accelerators", 0)),
	}
}

func settings(tree map[string]any, version sched.Offset) sched.Settings {
	root := section(tree)
	s := sched.Settings{Version: version, Limits: limits(root.child("limits"))}
	for _, k := range sortedKeys(root.child("regions")) {
		s.Regions = append(s.Regions, region(k, root.child("regions").child(k)))
	}
	for _, k := range sortedKeys(root.child("services")) {
		s.Services = append(s.Services, service(k, root.child("services").child(k)))
	}
	for _, k := range sortedKeys(root.child("taskKinds")) {
		s.TaskKinds = append(s.TaskKinds, taskKind(k, root.child("taskKinds").child(k)))
	}
	for _, k := range sortedKeys(root.child("partners")) {
		s.Partners = append(s.Partners, sched.PartnerSettings{
			Name: k, Share: root.child("partners").child(k).number("share", 0),
		})
	}
	teams := root.child("teams")
	for _, k := range sortedKeys(teams) {
		t := teams.child(k)
		s.Teams = append(s.Teams, sched.TeamSettings{
			Name: k, Partner: t.text("partner"), Requests: t.number("requests", 0), Resources: t.resources("resources"),
		})
	}
	return s
}

func region(name string, b section) sched.RegionSettings {
	r := sched.RegionSettings{Name: sched.Region(name)}
	l, _ := b["dataCentres"].([]any)
	for _, v := range l {
		if d, ok := v.(string); ok {
			r.DataCentres = append(r.DataCentres, sched.DataCentre(d))
		}
	}
	return r
}

func service(name string, b section) sched.ServiceSettings {
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

func taskKind(name string, b section) sched.TaskKindSettings {
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

func limits(b section) sched.LimitSettings {
	d := defaultLimits
	shares := b.child("urgencyShares")
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
