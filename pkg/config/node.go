package config

import "strings"

type nodeKind int

const (
	nodeNull nodeKind = iota + 1
	nodeText
	nodeNumber
	nodeBool
	nodeList
	nodeMap
	// nodeBad is a value whose problem has been reported. It stays in place, so
	// that one fault isn't reported again as a missing field.
	nodeBad
)

var nodeKindNames = map[nodeKind]string{
	nodeNull:   "null",
	nodeText:   "text",
	nodeNumber: "a number",
	nodeBool:   "true or false",
	nodeList:   "a list",
	nodeMap:    "a map",
}

// node is a value of a file with its position.
type node struct {
	file   string
	line   int
	column int
	kind   nodeKind
	// text is the scalar as written, without quotes.
	text string
	// value is the canonical scalar, set by the schema check: a string or a
	// json.Number.
	value any
	keys  map[string]*node
	items []*node
}

// problem makes a problem at the position of the node.
func (n *node) problem(path []string, message, allowed string) Problem {
	return Problem{
		File: n.file, Line: n.line, Column: n.column,
		Field: shortField(path), Message: message, Allowed: allowed,
	}
}

// shortField bounds the path in a problem; keys may be as long as a file.
func shortField(path []string) string {
	const most = 200
	s := strings.Join(path, ".")
	if len(s) > most {
		s = s[:most] + "..."
	}
	return s
}

// get returns the node below the path, or nil.
func (n *node) get(path ...string) *node {
	for _, k := range path {
		if n == nil {
			return nil
		}
		n = n.keys[k]
	}
	return n
}

// merge returns base overlaid with over. It changes neither. A null that
// removes is not part of the result.
func merge(base, over *node) *node {
	if over.kind != nodeMap {
		return over
	}
	out := *over
	out.keys = map[string]*node{}
	if base != nil && base.kind == nodeMap {
		for k, v := range base.keys {
			out.keys[k] = v
		}
	}
	for k, v := range over.keys {
		if v.kind == nodeNull {
			delete(out.keys, k)
			continue
		}
		out.keys[k] = merge(out.keys[k], v)
	}
	return &out
}

// tree converts a node to the values of a document.
func (n *node) tree() any {
	switch n.kind {
	case nodeMap:
		m := make(map[string]any, len(n.keys))
		for k, v := range n.keys {
			m[k] = v.tree()
		}
		return m
	case nodeList:
		l := make([]any, 0, len(n.items))
		for _, v := range n.items {
			l = append(l, v.tree())
		}
		return l
	default:
		return n.value
	}
}
