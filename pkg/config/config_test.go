package config

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

func files(texts ...string) []File {
	var all []File
	for k, t := range texts {
		all = append(all, File{Name: string(rune('a'+k)) + ".yaml", Data: []byte(t)})
	}
	return all
}

// Guards against files that are merged in another order than that of their names,
// and against a list that is appended to instead of replaced.
func TestLoadMergesInOrderOfNames(t *testing.T) {
	i := is.New(t)
	all := files(
		"regions:\n  luzon:\n    dataCentres: [quezon-a, pasig-b]\npartners:\n  tunog: {share: 0.5}\n  old: {share: 0.2}\n",
		"regions:\n  luzon:\n    dataCentres: [quezon-a]\npartners:\n  old: null\nlimits: {queueBytes: 1024KiB, dedupWindow: 60m}\n",
	)
	all[0], all[1] = all[1], all[0]
	d, err := Load(all)
	i.NoErr(err)
	i.Equal(string(d.Bytes()), `{"limits":{"dedupWindow":"1h","queueBytes":"1MiB"},"partners":{"tunog":{"share":0.5}},`+
		`"regions":{"luzon":{"dataCentres":["quezon-a"]}}}`)
	s := d.Settings(7)
	i.Equal(s.Version, sched.Offset(7))
	i.Equal(s.Limits.DedupWindow, time.Hour)
	i.Equal(s.Limits.LeaseDuration, defaultLimits.LeaseDuration)
	origin := map[string]string{}
	for _, o := range d.Origins() {
		origin[o.Field] = o.File + ":" + string(rune('0'+o.Line))
	}
	i.Equal(origin["partners.tunog.share"], "a.yaml:5")
	i.Equal(origin["regions.luzon.dataCentres"], "b.yaml:3")
}

// Guards against rejecting a file that starts with a byte order mark, as some
// Windows editors write it. The mark would become an invisible part of the first
// field name.
func TestLoadReadsAByteOrderMark(t *testing.T) {
	i := is.New(t)
	text := "partners:\n  tunog: {share: 0.5}\n"
	want, err := Load(files(text))
	i.NoErr(err)
	got, err := Load(files("\xef\xbb\xbf" + text))
	i.NoErr(err)
	i.Equal(string(got.Bytes()), string(want.Bytes()))
}

// Guards against an error in the files that is accepted, or that is reported without
// its position or the allowed values.
func TestLoadReportsProblems(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown field", "services:\n  simdesk:\n    slotz: 8\n", "a.yaml:3:5: services.simdesk.slotz: unknown field; allowed: urgency, timeout"},
		{"wrong type", "services:\n  simdesk:\n    slots: many\n", `a.yaml:3:5: services.simdesk.slots: got "many"; allowed: a whole number from 1 to 10000`},
		{"out of range", "services: {simdesk: {slots: 0}}\n", `services.simdesk.slots: got "0"`},
		{"not a map", "services: [simdesk]\n", "a.yaml:1:1: services: got a list; allowed: a map"},
		{"duplicate key", "partners:\n  a: {share: 0.1}\n  a: {share: 0.2}\n", "a.yaml:3:3: partners.a: the key is set twice in this file, first on line 2"},
		{"no partner", "partners: {a: {}}\nteams:\n  t:\n    partner: b\n", `a.yaml:4:5: teams.t.partner: there is no partner "b"; allowed: a`},
		{"missing", "teams:\n  t: {requests: 5}\n", "a.yaml:2:3: teams.t.partner: the field is missing"},
		{"data centre twice", "regions:\n  x: {dataCentres: [d]}\n  y: {dataCentres: [d]}\n", "a.yaml:3:21: regions.y.dataCentres: data centre d is already in region x (a.yaml:2)"},
		{"shares", "partners:\n  a: {share: 0.6}\n  b: {share: 0.5}\n", "a.yaml:2:7: partners.a.share: the shares of all partners sum to 1.1"},
		{"urgency shares", "limits: {urgencyShares: {urgent: 0.9}}\n", "limits.urgencyShares.urgent: limits.urgencyShares with its defaults sum to 1.2"},
		{"implicit null", "partners:\n  a: {share: 0.1}\nteams:\n", "teams: the value is empty; write null to remove the field"},
		{"duration", "limits: {leaseDuration: 10}\n", `got "10"; allowed: a duration from 2s to 1h`},
		{"size", "limits: {queueBytes: 64MB}\n", `got "64MB"; allowed: a size from 64KiB to 16GiB`},
		{"lease", "limits: {leaseDuration: 2s, clockBound: 5s}\n", "shorter than twice the clock bound"},
		{"goal", "services: {s: {timeout: 1s, latencyGoal: 2s}}\n", "the goal of 2s is longer than the timeout of 1s"},
		{"alias", "partners: &p {a: {}}\nteams: *p\n", "anchors are not supported"},
		{"two documents", "partners: {}\n---\nteams: {}\n", "one document"},
		{"syntax", "partners: {a: {share: 0.1}\n", "syntax"},
		{"depth", strings.Repeat("[", 5000), "nested deeper than 16 levels"},
		{"block depth", strings.Repeat("- ", 5000), "nested deeper than 16 levels"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			_, err := Load(files(c.text))
			var p Problems
			i.True(errors.As(err, &p))
			if !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got  %s\nwant %s", err, c.want)
			}
		})
	}
}

// Guards against reporting only the first problem, so that an operator would have to
// run the check once per problem.
func TestLoadReportsEveryProblem(t *testing.T) {
	i := is.New(t)
	_, err := Load(files("services: {s: {slots: 0, urgency: high}}\n", "teams: {t: {partner: p}}\nlimits: {aheadDepth: 65, x: 1}\n"))
	var p Problems
	i.True(errors.As(err, &p))
	i.Equal(len(p), 5)
	i.Equal(p[0].File, "a.yaml")
	i.Equal(p[4].File, "b.yaml")
}

// drawTree draws a small tree. Two drawn trees often share keys.
func drawTree(t *rapid.T, depth int, label string) map[string]any {
	out := map[string]any{}
	for _, k := range rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d.e"}), 0, 3).Draw(t, label) {
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			out[k] = rapid.SampledFrom([]any{"x", "<y>", true}).Draw(t, "scalar")
		case 1:
			out[k] = []any{rapid.SampledFrom([]string{"l", "m"}).Draw(t, "item")}
		default:
			if depth > 0 {
				out[k] = drawTree(t, depth-1, label+k)
			}
		}
	}
	return out
}

// Guards against a patch that doesn't change its base into the target document. Every
// instance would reject it because the hash doesn't match.
func TestPatchTurnsOneDocumentIntoTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, _ := newDocument(drawTree(t, 3, "from"))
		to, _ := newDocument(drawTree(t, 3, "to"))
		p, err := DecodePatch(NewPatch(from, to).Bytes())
		if err != nil {
			t.Fatal(err)
		}
		got, err := from.Apply(p)
		if err != nil || got.Hash() != to.Hash() {
			t.Fatalf("%s with %s gives %s, expected %s (%v)", from.Bytes(), p.Bytes(), got.Bytes(), to.Bytes(), err)
		}
		if (len(Diff(from, to)) == 0) != (from.Hash() == to.Hash()) {
			t.Fatalf("diff %v of %s and %s", Diff(from, to), from.Bytes(), to.Bytes())
		}
		back, err := Decode(to.Bytes())
		if err != nil || back.Hash() != to.Hash() {
			t.Fatalf("decoding %s gives %s (%v)", to.Bytes(), back.Bytes(), err)
		}
	})
}
