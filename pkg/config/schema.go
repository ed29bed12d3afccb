package config

import (
	"slices"
	"strings"
	"time"
)

// spec describes one value: exactly one of fields, entries, list and scalar is
// set.
type spec struct {
	name     string
	required bool
	// fields are the keys of a map.
	fields []spec
	// entries describes the values of a map whose keys are names.
	entries *spec
	// list describes the items of a list.
	list   *scalar
	scalar *scalar
}

func leaf(name string, s scalar) spec         { return spec{name: name, scalar: &s} }
func need(s spec) spec                        { s.required = true; return s }
func object(name string, fields ...spec) spec { return spec{name: name, fields: fields} }
func entries(name string, fields ...spec) spec {
	return spec{name: name, entries: &spec{name: "<name>", fields: fields}}
}

func list(name string, s scalar) spec { return spec{name: name, list: &s} }

const (
	day  = 24 * time.Hour
	kiB  = int64(1) << 10
	miB  = int64(1) << 20
	giB  = int64(1) << 30
	tiB  = int64(1) << 40
	year = 365 * day
)

var urgencyNames = []string{"background", "standard", "urgent"}

func resourceFields() []spec {
	return []spec{
		leaf("processors", thousandths(0, 100_000)),
		leaf("memory", size(0, 1024*tiB)),
		leaf("accelerators", integer(0, 10_000)),
	}
}

// schema is the whole of what operators can set. sched.Settings has the
// meaning of the fields, settings.go the defaults.
var schema = object("",
	entries("regions",
		need(list("dataCentres", nameScalar())),
	),
	entries("services",
		leaf("urgency", oneOf(urgencyNames...)),
		leaf("timeout", duration(time.Millisecond, time.Hour)),
		leaf("slots", integer(1, 10_000)),
		leaf("connections", integer(1, 10_000)),
		leaf("retryBudget", number(0, 1)),
		leaf("latencyGoal", duration(time.Millisecond, time.Hour)),
	),
	entries("taskKinds",
		leaf("urgency", oneOf(urgencyNames...)),
		need(object("needs", resourceFields()...)),
		leaf("runTime", duration(time.Second, year)),
		leaf("maxAttempts", integer(1, 100)),
		leaf("maxEvictions", integer(0, 100)),
	),
	entries("partners",
		leaf("share", number(0, 1)),
	),
	entries("teams",
		need(leaf("partner", nameScalar())),
		leaf("requests", number(0, 1_000_000)),
		object("resources", resourceFields()...),
	),
	object("limits",
		leaf("queueRequests", integer(1, 1_000_000)),
		leaf("queueBytes", size(64*kiB, 16*giB)),
		leaf("answerBuffer", size(kiB, 64*miB)),
		leaf("crossRegion", size(0, giB)),
		leaf("drainTimeout", duration(time.Second, time.Hour)),
		leaf("dedupWindow", duration(time.Minute, 7*day)),
		leaf("leaseDuration", duration(2*time.Second, time.Hour)),
		leaf("clockBound", duration(0, 10*time.Second)),
		leaf("isolationLimit", duration(time.Second, day)),
		leaf("listLag", duration(0, time.Hour)),
		leaf("aheadDepth", integer(0, 64)),
		object("urgencyShares",
			leaf("background", number(0, 1)),
			leaf("standard", number(0, 1)),
			leaf("urgent", number(0, 1)),
		),
	),
)

// checker compares one file with the schema.
type checker struct {
	problems Problems
}

// check sets the canonical values of the node. It drops unknown fields and
// marks bad values.
func (c *checker) check(s *spec, n *node, path []string) {
	if n.kind == nodeNull || n.kind == nodeBad {
		return // merge removes, or the problem has been reported
	}
	switch {
	case s.scalar != nil:
		c.checkScalar(s.scalar, n, path)
		return
	case s.list != nil:
		c.checkList(s, n, path)
		return
	}
	if n.kind != nodeMap {
		c.wrongType(n, path, "a map")
		return
	}
	for _, k := range sortedKeys(n.keys) {
		v := n.keys[k]
		below := append(path[:len(path):len(path)], k)
		sub := c.below(s, k, v, below)
		if sub == nil {
			delete(n.keys, k)
			continue
		}
		c.check(sub, v, below)
	}
}

// below returns the spec of the key, or nil after reporting a problem.
func (c *checker) below(s *spec, key string, v *node, path []string) *spec {
	if s.entries != nil {
		if !namePattern.MatchString(key) {
			c.problems = append(c.problems, v.problem(path, "the key is not a name", nameRule))
			return nil
		}
		return s.entries
	}
	names := make([]string, 0, len(s.fields))
	for i := range s.fields {
		if s.fields[i].name == key {
			return &s.fields[i]
		}
		names = append(names, s.fields[i].name)
	}
	c.problems = append(c.problems, v.problem(path, "unknown field", strings.Join(names, ", ")))
	return nil
}

func (c *checker) checkScalar(s *scalar, n *node, path []string) {
	v, ok := s.read(n)
	if ok {
		n.value = v
		return
	}
	got := "got " + nodeKindNames[n.kind]
	if n.text != "" {
		got = "got " + shorten(n.text)
	}
	c.problems = append(c.problems, n.problem(path, got, s.allowed))
	n.kind = nodeBad
}

func (c *checker) checkList(s *spec, n *node, path []string) {
	if n.kind != nodeList {
		c.wrongType(n, path, "a list")
		return
	}
	for _, v := range n.items {
		c.checkScalar(s.list, v, path)
	}
}

func (c *checker) wrongType(n *node, path []string, want string) {
	c.problems = append(c.problems, n.problem(path, "got "+nodeKindNames[n.kind], want))
	n.kind = nodeBad
}

// checkRequired reports missing required fields in the merged result, at the
// position of the map that lacks them.
func (c *checker) checkRequired(s *spec, n *node, path []string) {
	if n == nil || n.kind != nodeMap {
		return
	}
	if s.list == nil && s.scalar == nil && s.required && len(n.keys) == 0 {
		c.problems = append(c.problems, n.problem(path, "the map is empty", s.describe()))
	}
	for i := range s.fields {
		f := &s.fields[i]
		below := append(path[:len(path):len(path)], f.name)
		if f.required && n.keys[f.name] == nil {
			c.problems = append(c.problems, n.problem(below, "the field is missing", f.describe()))
		}
		c.checkRequired(f, n.keys[f.name], below)
	}
	if s.entries == nil {
		return
	}
	for _, k := range sortedKeys(n.keys) {
		c.checkRequired(s.entries, n.keys[k], append(path[:len(path):len(path)], k))
	}
}

func (s *spec) describe() string {
	switch {
	case s.scalar != nil:
		return s.scalar.allowed
	case s.list != nil:
		return "a list, each item " + s.list.allowed
	default:
		return "a map"
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// shorten bounds what an error message repeats of the input.
func shorten(s string) string {
	const most = 60
	if len(s) > most {
		s = s[:most] + "..."
	}
	return `"` + s + `"`
}
