package cli_test

import (
	"context"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
	"time"
)

// readmeTimeout bounds a build and the start of two processes on a busy machine.
const readmeTimeout = 4 * time.Minute

var shellBlock = regexp.MustCompile("(?s)```sh\n(.*?)```")

// Guards against steps in README.md that fail when they are run as written, from
// an empty folder to a served request and a recorded task.
func TestReadmePathRuns(t *testing.T) {
	const root = "../../../"
	page, err := os.ReadFile(root + "README.md")
	if err != nil {
		t.Fatal(err)
	}
	_, path, _ := strings.Cut(string(page), "## From an empty folder")
	path, _, _ = strings.Cut(path, "## Pages")
	script := "trap 'kill $(jobs -p); wait' EXIT\n"
	for _, m := range shellBlock.FindAllStringSubmatch(path, -1) {
		script += m[1]
	}
	c, cancel := context.WithTimeout(t.Context(), readmeTimeout)
	defer cancel()
	x := exec.CommandContext(c, "bash", "-c", script)
	x.Dir = root
	x.WaitDelay = 10 * time.Second
	out, err := x.CombinedOutput()
	for _, want := range []string{
		"no configuration in force", "accepted: version", "in force at every live instance",
		"Parsley-Code: 100", "instance entry-1, live", "versionInForce",
	} {
		if !strings.Contains(string(out), want) {
			t.Errorf("no %q in the output (%v)", want, err)
		}
	}
	if t.Failed() {
		t.Logf("output:\n%s", out)
	}
}
