package cli_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/internal/process/cli"
	"github.com/parsleybarrow/parsleybarrow/internal/process/meter"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// example matches a command and its output as they stand on a page.
var example = regexp.MustCompile("(?s)```sh\n\\./bin/parsleybarrow ([^\n]*)\n```\n\n```text\n(.*?)```")

// expand replaces file name patterns by the matching names, as a shell does.
func expand(t *testing.T, words []string) []string {
	t.Helper()
	var out []string
	for _, w := range words {
		names, err := filepath.Glob(w)
		switch {
		case err != nil:
			t.Fatal(err)
		case len(names) == 0:
			names = []string{w}
		}
		out = append(out, names...)
	}
	return out
}

// Guards against commands whose output differs from the one that the page for
// on-call engineers shows.
func TestOperationsPageShowsWhatTheCommandsPrint(t *testing.T) {
	i := is.New(t)
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	i.NoErr(err)
	t.Chdir("testdata/operations")
	found := example.FindAllStringSubmatch(string(page), -1)
	i.True(len(found) >= 5)
	for _, m := range found {
		var got, errors strings.Builder
		p := &cli.Program{Stdout: &got, Stderr: &errors}
		i.Equal(p.Run(t.Context(), expand(t, strings.Fields(m[1]))), sched.ExitOK)
		if got.String() != m[2] {
			t.Errorf("%s prints\n%s%s", m[1], got.String(), errors.String())
		}
	}
}

// Guards against metrics that are missing on the page or have another kind or
// meaning there.
func TestOperationsPageListsTheMetrics(t *testing.T) {
	i := is.New(t)
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	i.NoErr(err)
	for _, m := range meter.Table() {
		i.True(strings.Contains(string(page), "| "+m.Name+" | "+m.Kind+" | "+m.Meaning+" |"))
	}
}
