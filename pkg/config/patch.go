package config

import (
	"fmt"
	"reflect"
	"strings"
)

// Change is one difference between two documents. Values are canonical JSON;
// an absent value is empty.
type Change struct {
	// Field is the dotted path.
	Field string
	Old   string
	New   string
}

// Diff lists the values that differ, in order of their paths.
func Diff(from, to Document) []Change { return diff(nil, from.tree, to.tree, nil) }

func diff(path []string, a, b any, all []Change) []Change {
	am, aok := a.(map[string]any)
	bm, bok := b.(map[string]any)
	if !aok && !bok {
		if !reflect.DeepEqual(a, b) {
			all = append(all, Change{strings.Join(path, "."), text(a), text(b)})
		}
		return all
	}
	if !aok && a != nil || !bok && b != nil {
		return append(all, Change{strings.Join(path, "."), text(a), text(b)})
	}
	// A map without keys has no values of its own that could differ.
	if len(am) == 0 && len(bm) == 0 && aok != bok {
		return append(all, Change{strings.Join(path, "."), text(a), text(b)})
	}
	keys := make(map[string]bool, len(am)+len(bm))
	for k := range am {
		keys[k] = true
	}
	for k := range bm {
		keys[k] = true
	}
	for _, k := range sortedKeys(keys) {
		all = diff(append(path[:len(path):len(path)], k), value(am, k), value(bm, k), all)
	}
	return all
}

// value returns an untyped nil for an absent key.
func value(m map[string]any, k string) any {
	if v, ok := m[k]; ok {
		return v
	}
	return nil
}

func text(v any) string {
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

// NewPatch returns the patch that turns from into to. It holds only the paths
// that differ.
func NewPatch(from, to Document) Patch { return Patch{subtract(from.tree, to.tree)} }

func subtract(a, b map[string]any) map[string]any {
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
			out[k] = subtract(om, vm)
			continue
		}
		out[k] = v
	}
	return out
}

// DecodePatch reads the bytes of a patch.
func DecodePatch(data []byte) (Patch, error) {
	tree, err := decode(data)
	if err != nil {
		return Patch{}, fmt.Errorf("patch: %w", err)
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
		// The tree holds only what JSON can express.
		panic(fmt.Sprintf("config: encode patch: %v", err))
	}
	return data
}

// Empty tells whether the patch changes nothing.
func (p Patch) Empty() bool { return len(p.tree) == 0 }

// Apply returns the patched document. It is the merge patch of RFC 7386 and
// doesn't check the schema. It shares the unchanged parts with d.
func (d Document) Apply(p Patch) (Document, error) {
	return newDocument(overlay(d.tree, p.tree))
}

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
		// A map that is new must lose its nulls too, so it is laid over an
		// empty one.
		bm, _ := out[k].(map[string]any)
		out[k] = overlay(bm, vm)
	}
	return out
}
