package config

import (
	"slices"
	"strings"
	"time"
)

// spec describes the allowed form of one value. Exactly one of fields, entries,
// list and scalar is set.
type spec struct {
	name     string
	required bool
	// fields describes the values of a map with fixed keys.
	fields []spec
	// entries describes the values of a map whose keys are names chosen by the
	// operator.
	entries *spec
	// list describes the items of a list.
	list   *scalar
	scalar *scalar
}

func leaf(name string, s scalar) spec         { return spec{name: name, scalar: &s} }
func required(s spec) spec                    { s.required = true; return s }
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

// schema describes all fields that operators can set. sched.Settings documents the
// meaning of the fields, settings.go has the defaults.
var schema = object("",
	entries("regions",
		required(list("dataCentres", nameScalar())),
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
		required(object("needs", resourceFields()...)),
		leaf("runTime", duration(time.Second, year)),
		leaf("maxAttempts", integer(1, 100)),
		leaf("maxEvictions", integer(0, 100)),
	),
	entries("partners",
		leaf("share", number(0, 1)),
	),
	entries("teams",
		required(leaf("partner", nameScalar())),
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

// checker validates nodes and collects the problems it finds.
type checker struct {
	problems Problems
}

// check validates the node of one file against the schema. It sets the canonical
// values, drops unknown fields and marks invalid values as nodeInvalid.
func (c *checker) check(s *spec, n *node, path []string) {
	if n.kind == nodeNull || n.kind == nodeInvalid {
		return // merge handles null, and an invalid value has been reported
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
		c.addWrongType(n, path, "a map")
		return
	}
	for _, k := range sortedKeys(n.keys) {
		v := n.keys[k]
		below := append(path[:len(path):len(path)], k)
		sub := c.childSpec(s, k, v, below)
		if sub == nil {
			delete(n.keys, k)
			continue
		}
		c.check(sub, v, below)
	}
}

// childSpec returns the spec of the value v under the key, or nil after adding a
// problem if the key is not allowed.
func (c *checker) childSpec(s *spec, key string, v *node, path []string) *spec {
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
	v, ok := s.parse(n)
	if ok {
		n.value = v
		return
	}
	got := "got " + nodeKindNames[n.kind]
	if n.text != "" {
		got = "got " + quoteTruncated(n.text)
	}
	c.problems = append(c.problems, n.problem(path, got, s.allowed))
	n.kind = nodeInvalid
}

func (c *checker) checkList(s *spec, n *node, path []string) {
	if n.kind != nodeList {
		c.addWrongType(n, path, "a list")
		return
	}
	for _, v := range n.items {
		c.checkScalar(s.list, v, path)
	}
}

func (c *checker) addWrongType(n *node, path []string, want string) {
	c.problems = append(c.problems, n.problem(path, "got "+nodeKindNames[n.kind], want))
	n.kind = nodeInvalid
}

// checkRequired adds a problem for each required field that is missing in the
// merged result, at the position of the map that lacks it.
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

// describe returns the allowed values for operators.
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

// quoteTruncated quotes a part of the input for an error message, shortened to a
// limited length.
func quoteTruncated(s string) string {
	const most = 60
	if len(s) > most {
		s = s[:most] + "..."
	}
	return `"` + s + `"`
}
