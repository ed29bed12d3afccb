package cli_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/parsleybarrow/parsleybarrow/internal/process/cli"
)

var (
	command = regexp.MustCompile(`(?m)^(?:\./bin/parsleybarrow|go run \./cmd/parsleybarrow) (.*?)(?: 2?>.*)?(?: &)?$`)
	flags   = regexp.MustCompile(`--[a-z][a-z-]+`)
)

// Guards against commands on the pages that the command line can't parse, such
// as those with a renamed flag.
func TestCommandsOnThePagesParse(t *testing.T) {
	for _, name := range []string{
		"README.md", "docs/operators/first-start.md", "docs/operators/incidents.md", "docs/operators/month-end.md",
	} {
		page, err := os.ReadFile("../../../" + name)
		if err != nil {
			t.Fatal(err)
		}
		found := command.FindAllStringSubmatch(string(page), -1)
		if len(found) == 0 {
			t.Fatalf("%s: no command", name)
		}
		for _, m := range found {
			p := &cli.Program{Stdout: &strings.Builder{}, Stderr: &strings.Builder{}}
			if err := p.Parse(strings.Fields(m[1])); err != nil {
				t.Errorf("%s: %s: %v", name, m[1], err)
			}
		}
	}
}

// Guards against a table of settings that names a flag which serve doesn't have.
func TestSettingsOnThePageAreFlagsOfServe(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/first-start.md")
	if err != nil {
		t.Fatal(err)
	}
	help := run([]string{"serve", "--help"})
	for _, l := range strings.Split(string(page), "\n") {
		if !strings.HasPrefix(l, "| --") {
			continue
		}
		for _, f := range flags.FindAllString(strings.SplitN(l, "|", 3)[1], -1) {
			if !strings.Contains(help, f+"=") {
				t.Errorf("serve has no flag %s", f)
			}
		}
	}
}

var treeLine = regexp.MustCompile(`(?m)^((?:cmd|pkg|internal)/\S+) `)

// Guards against a package that is missing in the layout on the design page, and
// against a folder there that holds no package.
func TestLayoutOnTheDesignPage(t *testing.T) {
	const root = "../../../"
	page, err := os.ReadFile(root + "docs/design.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]bool{}
	for _, m := range treeLine.FindAllStringSubmatch(string(page), -1) {
		listed[m[1]] = true
	}
	for _, top := range []string{"cmd", "pkg", "internal"} {
		err := filepath.WalkDir(root+top, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			name, err := filepath.Rel(root, filepath.Dir(path))
			if err == nil && !listed[filepath.ToSlash(name)] {
				t.Errorf("%s is not on the page", name)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for name := range listed {
		if files, err := filepath.Glob(root + name + "/*.go"); err != nil || len(files) == 0 {
			t.Errorf("%s is on the page and has no package", name)
		}
	}
}
