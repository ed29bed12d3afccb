package config

import (
	"errors"
	"testing"
)

// Guards against files that crash the parser, that are rejected without naming the
// file and the problem, or whose document can't be decoded by other instances.
func FuzzLoad(f *testing.F) {
	f.Add("partners: {a: {share: 0.5}}\n", "partners: {a: null}\nteams:\n  t: {partner: a, requests: 1.5}\n")
	f.Add("limits:\n  leaseDuration: 1h0m\n  queueBytes: 65536B\n", "x: &a [*a, !!t 1]\n")
	f.Add("services: {\"s\": {slots: 0x10}}\n", "? - a\n: b\n")
	f.Add("teams:\n- - - a\n", "a: |\n  b\n---\n...\n")
	f.Add("\"\\uD800\": 1e999\n", "'': ''\n# c\n%YAML 1.2\n")
	f.Fuzz(func(t *testing.T, a, b string) {
		d, err := Load(files(a, b))
		if err != nil {
			var p Problems
			if !errors.As(err, &p) || len(p) == 0 {
				t.Fatalf("error without problems: %v", err)
			}
			for _, q := range p {
				if q.File == "" || q.Message == "" {
					t.Fatalf("problem without file or message: %+v", q)
				}
			}
			return
		}
		back, err := Decode(d.Bytes())
		if err != nil || back.Hash() != d.Hash() {
			t.Fatalf("%s is decoded as %s (%v)", d.Bytes(), back.Bytes(), err)
		}
		_ = d.Settings(1)
	})
}

// Guards against bytes from the log or a peer that crash an instance, and against a
// document whose canonical form depends on the patches that led to it.
func FuzzPatch(f *testing.F) {
	f.Add([]byte(`{"a":{"b":1}}`), []byte(`{"a":{"b":null,"c":{"d":null}}}`))
	f.Add([]byte(`{"a":[1,null,{"b":null}]}`), []byte(`{"a":"x"}`))
	f.Add([]byte(`{"teams":5,"limits":{"aheadDepth":1e30,"urgencyShares":[]}}`), []byte(`null`))
	f.Add([]byte(`{"a":1,"a":2,"\ud800":"<"}`), []byte(`{} {}`))
	f.Fuzz(func(t *testing.T, document, patch []byte) {
		d, err := Decode(document)
		if err != nil {
			return
		}
		_ = d.Settings(1)
		p, err := DecodePatch(patch)
		if err != nil {
			return
		}
		to, err := d.Apply(p)
		if err != nil {
			return
		}
		back, err := Decode(to.Bytes())
		if err != nil || back.Hash() != to.Hash() {
			t.Fatalf("%s is decoded as %s (%v)", to.Bytes(), back.Bytes(), err)
		}
		again, err := d.Apply(NewPatch(d, to))
		if err != nil || again.Hash() != to.Hash() {
			t.Fatalf("the patch from %s to %s gives %s (%v)", d.Bytes(), to.Bytes(), again.Bytes(), err)
		}
	})
}
