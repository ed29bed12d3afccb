package cli_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/parsleybarrow/parsleybarrow/internal/process/cli"
)

var (
	command = regexp.MustCompile(`(?m)^(?:\./bin/parsleybarrow|go run \./cmd/parsleybarrow) (.*?)(?: 2?>.*)?(?: &)?$`)
	flags   = regexp.MustCompile(`--[a-z][a-z-]+`)
)

// Guards against pages whose commands do not work as they are written.
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

// Guards against a page of settings that names a flag which does not exist.
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
