package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// MaxDocumentBytes bounds a document and a patch. 170 teams with all fields
// take about 40 KB.
const MaxDocumentBytes = 1 << 20

// Document is one merged configuration. It is immutable. The zero value is
// the empty document.
type Document struct {
	// tree holds maps, lists, strings, booleans and json.Number.
	tree    map[string]any
	data    []byte
	origins []Origin
}

// Hash identifies the canonical bytes of a document.
type Hash [sha256.Size]byte

// Origin tells which file set a value.
type Origin struct {
	// Field is the dotted path.
	Field string
	// Value is the canonical value as JSON.
	Value string
	File  string
	Line  int
}

// newDocument takes over the tree, which must not change any more.
func newDocument(tree map[string]any) (Document, error) {
	data, err := encode(tree)
	if err != nil {
		return Document{}, err
	}
	if len(data) > MaxDocumentBytes {
		return Document{}, fmt.Errorf("the document has %d bytes, more than %d", len(data), MaxDocumentBytes)
	}
	return Document{tree: tree, data: data}, nil
}

// Decode reads the canonical bytes of a document. It checks size and depth,
// but not the schema: a document in force may come from newer software.
func Decode(data []byte) (Document, error) {
	tree, err := decode(data)
	if err != nil {
		return Document{}, fmt.Errorf("document: %w", err)
	}
	return newDocument(overlay(nil, tree))
}

// Bytes returns the canonical form: JSON with sorted keys, one value per
// meaning. The caller must not change it.
func (d Document) Bytes() []byte {
	if d.data == nil {
		return []byte("{}")
	}
	return d.data
}

// Hash returns the SHA-256 of the canonical bytes.
func (d Document) Hash() Hash { return sha256.Sum256(d.Bytes()) }

// Empty tells whether the document sets nothing.
func (d Document) Empty() bool { return len(d.tree) == 0 }

// Origins lists the values in order of their paths with the file and line that
// set them. It is empty for documents that were not loaded from files.
func (d Document) Origins() []Origin { return d.origins }

// Settings maps the document to settings, with the defaults for what it
// doesn't set. Fields that this software doesn't know are ignored.
func (d Document) Settings(version sched.Offset) sched.Settings { return settings(d.tree, version) }

func origins(n *node, path []string, all []Origin) []Origin {
	if n.kind == nodeMap {
		for _, k := range sortedKeys(n.keys) {
			all = origins(n.keys[k], append(path[:len(path):len(path)], k), all)
		}
		return all
	}
	value, _ := encode(n.tree())
	return append(all, Origin{Field: strings.Join(path, "."), Value: string(value), File: n.file, Line: n.line})
}

// encode writes JSON with sorted keys and without HTML escapes.
func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

func decode(data []byte) (map[string]any, error) {
	if len(data) > MaxDocumentBytes {
		return nil, fmt.Errorf("%d bytes, more than %d", len(data), MaxDocumentBytes)
	}
	if err := checkDepth(data); err != nil {
		return nil, err
	}
	r := json.NewDecoder(bytes.NewReader(data))
	r.UseNumber()
	var tree map[string]any
	if err := r.Decode(&tree); err != nil {
		return nil, err
	}
	if r.More() {
		return nil, fmt.Errorf("data after the end of the document")
	}
	if tree == nil {
		return nil, fmt.Errorf("not a map")
	}
	return tree, nil
}

// checkDepth bounds the nesting before the recursive decoder runs.
func checkDepth(data []byte) error {
	depth, quoted, escaped := 0, false, false
	for _, b := range data {
		switch {
		case escaped:
			escaped = false
		case quoted && b == '\\':
			escaped = true
		case b == '"':
			quoted = !quoted
		case quoted:
		case b == '{' || b == '[':
			depth++
		case b == '}' || b == ']':
			depth--
		}
		if depth > maxDepth {
			return fmt.Errorf("nested deeper than %d levels", maxDepth)
		}
	}
	return nil
}
