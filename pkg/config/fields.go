package config

import (
	"encoding/json"
	"strings"
)

// Field describes one field that operators can set.
type Field struct {
	// Path is the dotted path, in which <name> stands for a name that the operator
	// chooses.
	Path string
	// Allowed describes the allowed values.
	Allowed string
	// Default is the value that applies if the field is absent, or "required" if
	// the field must be set.
	Default string
}

// Fields lists every field that operators can set, in the order of the schema.
func Fields() []Field { return fields(&schema, nil, nil) }

func fields(s *spec, path []string, all []Field) []Field {
	if s.entries != nil {
		return fields(s.entries, append(path[:len(path):len(path)], s.entries.name), all)
	}
	if s.scalar != nil || s.list != nil {
		p := strings.Join(path, ".")
		return append(all, Field{Path: p, Allowed: s.describe(), Default: defaultOf(s, p)})
	}
	for i := range s.fields {
		f := &s.fields[i]
		all = fields(f, append(path[:len(path):len(path)], f.name), all)
	}
	return all
}

// defaultOf returns Field.Default for the field at a path of the schema.
func defaultOf(s *spec, path string) string {
	if s.required {
		return "required"
	}
	if v, ok := shownDefaults()[path]; ok {
		return v
	}
	if strings.HasSuffix(path, "processors") || strings.HasSuffix(path, "memory") || strings.HasSuffix(path, "accelerators") {
		if strings.HasPrefix(path, "teams.") {
			return "no limit"
		}
		return "0"
	}
	return ""
}

// shownDefaults returns the defaults by path, in the form in which an operator
// would write them.
func shownDefaults() map[string]string {
	d, k, l := defaultService, defaultTaskKind, defaultLimits
	number := func(v any) string {
		b, _ := json.Marshal(v)
		return string(b)
	}
	name := func(u int) string { return urgencyNames[u-1] }
	out := map[string]string{
		"services.<name>.urgency":       name(int(d.Urgency)),
		"services.<name>.timeout":       formatDuration(d.Timeout),
		"services.<name>.slots":         number(d.Slots),
		"services.<name>.connections":   number(d.Connections),
		"services.<name>.retryBudget":   number(d.RetryBudget),
		"services.<name>.latencyGoal":   formatDuration(d.LatencyGoal),
		"taskKinds.<name>.urgency":      name(int(k.Urgency)),
		"taskKinds.<name>.runTime":      formatDuration(k.RunTime),
		"taskKinds.<name>.maxAttempts":  number(k.MaxAttempts),
		"taskKinds.<name>.maxEvictions": number(k.MaxEvictions),
		"partners.<name>.share":         "0",
		"teams.<name>.requests":         "no limit",
		"limits.queueRequests":          number(l.QueueRequests),
		"limits.queueBytes":             formatSize(l.QueueBytes),
		"limits.answerBuffer":           formatSize(l.AnswerBuffer),
		"limits.crossRegion":            formatSize(l.CrossRegion),
		"limits.drainTimeout":           formatDuration(l.DrainTimeout),
		"limits.dedupWindow":            formatDuration(l.DedupWindow),
		"limits.leaseDuration":          formatDuration(l.LeaseDuration),
		"limits.clockBound":             formatDuration(l.ClockBound),
		"limits.isolationLimit":         formatDuration(l.IsolationLimit),
		"limits.listLag":                formatDuration(l.ListLag),
		"limits.aheadDepth":             number(l.AheadDepth),
	}
	for u, n := range urgencyNames {
		out["limits.urgencyShares."+n] = number(l.UrgencyShares[u+1])
	}
	return out
}
