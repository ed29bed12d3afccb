package config

import (
	"fmt"
	"reflect"
	"strings"
)

// Change is one value that differs between two documents. Old and New are canonical
// JSON, empty if the value is absent.
type Change struct {
	// Field is the dotted path of the value.
	Field string
	Old   string
	New   string
}

// Diff lists the values that differ between two documents, ordered by path.
func Diff(from, to Document) []Change { return diff(nil, from.tree, to.tree, nil) }

func diff(path []string, a, b any, all []Change) []Change {
	am, aok := a.(map[string]any)
	bm, bok := b.(map[string]any)
	if !aok && !bok {
		if !reflect.DeepEqual(a, b) {
			all = append(all, Change{strings.Join(path, "."), canonicalText(a), canonicalText(b)})
		}
		return all
	}
	if !aok && a != nil || !bok && b != nil {
		return append(all, Change{strings.Join(path, "."), canonicalText(a), canonicalText(b)})
	}
	// An empty map contains no values that could differ, so the map itself is the
	// change.
	if len(am) == 0 && len(bm) == 0 && aok != bok {
		return append(all, Change{strings.Join(path, "."), canonicalText(a), canonicalText(b)})
	}
	keys := make(map[string]bool, len(am)+len(bm))
	for k := range am {
		keys[k] = true
	}
	for k := range bm {
		keys[k] = true
	}
	for _, k := range sortedKeys(keys) {
		all = diff(append(path[:len(path):len(path)], k), valueOrNil(am, k), valueOrNil(bm, k), all)
	}
	return all
}

// valueOrNil returns the value of the key, or an untyped nil if it is absent.
func valueOrNil(m map[string]any, k string) any {
	if v, ok := m[k]; ok {
		return v
	}
	return nil
}

// canonicalText returns the canonical JSON of a value, or "" for nil.
func canonicalText(v any) string {
	if v == nil {
		return ""
	}
	b, err := encode(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// Patch is a merge patch between two documents.
type Patch struct{ tree map[string]any }

// NewPatch returns the patch that changes from into to. It contains only the
// values that differ.
func NewPatch(from, to Document) Patch { return Patch{patchTree(from.tree, to.tree)} }

// patchTree returns the merge patch that changes the tree a into b. A removed key
// has the value nil.
func patchTree(a, b map[string]any) map[string]any {
	out := map[string]any{}
	for k := range a {
		if _, ok := b[k]; !ok {
			out[k] = nil
		}
	}
	for k, v := range b {
		old, ok := a[k]
		if ok && reflect.DeepEqual(old, v) {
			continue
		}
		om, omap := old.(map[string]any)
		vm, vmap := v.(map[string]any)
		if omap && vmap {
			out[k] = patchTree(om, vm)
			continue
		}
		out[k] = v
	}
	return out
}

// DecodePatch decodes the bytes of a patch. Like Decode it checks size and depth,
// but not the schema.
func DecodePatch(data []byte) (Patch, error) {
	tree, err := decode(data)
	if err != nil {
		return Patch{}, fmt.Errorf("decode patch: %w", err)
	}
	return Patch{tree}, nil
}

// Bytes returns the patch as canonical JSON.
func (p Patch) Bytes() []byte {
	if p.tree == nil {
		return []byte("{}")
	}
	data, err := encode(p.tree)
	if err != nil {
		// The tree contains only values that JSON can represent.
		panic(fmt.Sprintf("config: encode patch: %v", err))
	}
	return data
}

// Empty reports whether the patch contains no change.
func (p Patch) Empty() bool { return len(p.tree) == 0 }

// Apply returns the document that results from applying the merge patch to d, as
// defined by RFC 7386. It doesn't check the schema. The result shares its
// unchanged parts with d.
func (d Document) Apply(p Patch) (Document, error) {
	return newDocument(overlay(d.tree, p.tree))
}

// overlay returns base with the merge patch over applied, without modifying
// either.
func overlay(base, over map[string]any) map[string]any {
	out := make(map[string]any, len(base)+len(over))
	for k, v := range base {
		out[k] = v
	}
	for k, v := range over {
		if v == nil {
			delete(out, k)
			continue
		}
		vm, ok := v.(map[string]any)
		if !ok {
			out[k] = v
			continue
		}
		// Nulls must be removed from a new map too, so it is overlaid on an empty
		// one.
		bm, _ := out[k].(map[string]any)
		out[k] = overlay(bm, vm)
	}
	return out
}
