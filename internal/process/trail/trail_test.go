package trail_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/process/trail"
)

const first = `
{"level":"info","ts":"2026-10-09T07:03:41.5Z","msg":"jobAccepted","instance":"e1","job":"aa","tasks":2}
not a line of a log
  -4.7329 e1 {"level":"info","ts":"2026-10-09T07:03:42Z","msg":"runFailed","instance":"e1","task":"aa.0.0.1","worker":"w1"}
{"level":"info","ts":"2026-10-09T07:03:43Z","msg":"runFailed","instance":"e1","task":"aab.0.0.1","worker":"w2"}
`

const second = `{"level":"info","ts":"2026-10-09T07:03:41.9Z","msg":"takeOver","instance":"e2","cell":0}
{"level":"info","ts":"2026-10-09T07:03:41.7Z","msg":"callFailed","instance":"e2","job":"aa","unknown":true}
`

// Guards against logs of several processes that aren't merged by time, and against
// lines about another job whose id has the wanted one as a prefix.
func TestLinesOfAJobAreMergedInTheOrderOfTime(t *testing.T) {
	cases := []struct {
		name   string
		filter trail.Filter
		want   []string
	}{
		{"a job", trail.Filter{Job: "aa"}, []string{"jobAccepted", "callFailed", "runFailed"}},
		{"a worker", trail.Filter{Worker: "w2"}, []string{"runFailed"}},
		{"an instance", trail.Filter{Instance: "e2"}, []string{"callFailed", "takeOver"}},
		{"a message", trail.Filter{Message: "takeOver"}, []string{"takeOver"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			x := trail.Timeline{Filter: c.filter}
			i.NoErr(x.Read(strings.NewReader(first)))
			i.NoErr(x.Read(strings.NewReader(second)))
			var got []string
			for _, l := range x.Lines() {
				got = append(got, l.Message)
			}
			i.Equal(got, c.want)
			i.Equal(x.Skipped(), 2) // the empty line and the text
		})
	}
}

// Guards against a panic on arbitrary text.
func FuzzRead(f *testing.F) {
	f.Add(first)
	f.Add(`{"ts":7}` + "\n{")
	f.Fuzz(func(_ *testing.T, text string) {
		x := trail.Timeline{}
		if x.Read(strings.NewReader(text)) != nil {
			return
		}
		for _, l := range x.Lines() {
			_ = l.String()
		}
	})
}
