package config

import "strings"

// nodeKind is the type of a node's value.
type nodeKind int

const (
	nodeNull nodeKind = iota + 1
	nodeText
	nodeNumber
	nodeBool
	nodeList
	nodeMap
	// nodeInvalid is a value whose problem has been reported. It stays in the map, so
	// that the same error isn't reported again as a missing field.
	nodeInvalid
)

var nodeKindNames = map[nodeKind]string{
	nodeNull:   "null",
	nodeText:   "text",
	nodeNumber: "a number",
	nodeBool:   "true or false",
	nodeList:   "a list",
	nodeMap:    "a map",
}

// node is a value in a file, with its position.
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
	// keys holds the entries of a map, items those of a list.
	keys  map[string]*node
	items []*node
}

// problem returns a problem at the position of the node.
func (n *node) problem(path []string, message, allowed string) Problem {
	return Problem{
		File: n.file, Line: n.line, Column: n.column,
		Field: truncatedPath(path), Message: message, Allowed: allowed,
	}
}

// truncatedPath returns the dotted path, shortened for use in a problem because a
// key may be as long as a file.
func truncatedPath(path []string) string {
	const most = 200
	s := strings.Join(path, ".")
	if len(s) > most {
		s = s[:most] + "..."
	}
	return s
}

// get returns the node at the path below n, or nil if there is none.
func (n *node) get(path ...string) *node {
	for _, k := range path {
		if n == nil {
			return nil
		}
		n = n.keys[k]
	}
	return n
}

// merge returns base overlaid with over, without modifying either. A null in over
// removes the key from the result.
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

// tree converts a node to a value in the tree of a Document.
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
