package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// MaxDocumentBytes limits the size of a document and of a patch. A document of 170
// teams with all fields has about 40 KB.
const MaxDocumentBytes = 1 << 20

// Document is one merged configuration. It is immutable. The zero value is
// the empty document.
type Document struct {
	// tree holds maps, lists, strings, booleans and json.Number.
	tree map[string]any
	// data is the canonical form, nil in the zero value.
	data    []byte
	origins []Origin
}

// Hash identifies the canonical bytes of a document.
type Hash [sha256.Size]byte

// Origin is the place in the operators' files that set a value.
type Origin struct {
	// Field is the dotted path of the value.
	Field string
	// Value is the canonical value as JSON.
	Value string
	File  string
	// Line counts from 1.
	Line int
}

// newDocument returns the document with the given tree, which must not be modified
// afterwards. It returns an error if the canonical form is too large.
func newDocument(tree map[string]any) (Document, error) {
	data, err := encode(tree)
	if err != nil {
		return Document{}, err
	}
	if len(data) > MaxDocumentBytes {
		return Document{}, fmt.Errorf("the document has %d bytes, at most %d are allowed", len(data), MaxDocumentBytes)
	}
	return Document{tree: tree, data: data}, nil
}

// Decode decodes the canonical bytes of a document. It checks size and depth, but
// not the schema, because a document in force may have been written by a newer
// software version.
func Decode(data []byte) (Document, error) {
	tree, err := decode(data)
	if err != nil {
		return Document{}, fmt.Errorf("decode document: %w", err)
	}
	return newDocument(overlay(nil, tree))
}

// Bytes returns the canonical form: JSON with sorted keys, in which equal values
// have equal bytes. The caller must not modify it.
func (d Document) Bytes() []byte {
	if d.data == nil {
		return []byte("{}")
	}
	return d.data
}

// Hash returns the SHA-256 of the canonical bytes.
func (d Document) Hash() Hash { return sha256.Sum256(d.Bytes()) }

// Empty reports whether the document sets no field.
func (d Document) Empty() bool { return len(d.tree) == 0 }

// Origins lists the values, ordered by path, with the file and line that set them.
// It is empty for a document that was not loaded from files.
func (d Document) Origins() []Origin { return d.origins }

// Settings returns the settings that the document defines, with defaults for the
// fields that it doesn't set. Fields unknown to this software version are ignored.
func (d Document) Settings(version sched.Offset) sched.Settings { return settings(d.tree, version) }

// origins appends the origins of all values below a node.
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

// encode returns JSON with sorted keys and without HTML escapes.
func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// decode parses the JSON of a document or a patch, which must be a map.
func decode(data []byte) (map[string]any, error) {
	if len(data) > MaxDocumentBytes {
		return nil, fmt.Errorf("it has %d bytes, at most %d are allowed", len(data), MaxDocumentBytes)
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
		return nil, fmt.Errorf("unexpected data after the end of the JSON value")
	}
	if tree == nil {
		return nil, fmt.Errorf("the JSON value is not a map")
	}
	return tree, nil
}

// checkDepth returns an error if the JSON text is nested deeper than maxDepth. It
// doesn't recurse, so it can run before the recursive decoder.
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
			return fmt.Errorf("values are nested deeper than %d levels", maxDepth)
		}
	}
	return nil
}
