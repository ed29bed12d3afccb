package config_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

func load(t *testing.T, folder string) sched.Settings {
	t.Helper()
	files, err := config.ReadFolder(os.DirFS("../../" + folder))
	if err != nil {
		t.Fatal(err)
	}
	d, err := config.Load(files)
	if err != nil {
		t.Fatal(err)
	}
	return d.Settings(1)
}

// Guards against example folders that don't give the settings described in the
// operators' documentation.
func TestExampleFolders(t *testing.T) {
	i := is.New(t)
	s := load(t, "examples/tunog")
	i.Equal(len(s.Teams), 2) // 90-tonight.yaml removes one
	i.Equal(s.Partners[1].Share, 0.1)
	i.Equal(s.TaskKinds[1].Needs, sched.Resources{Processors: 2500, Memory: 12 << 30, Accelerators: 1})
	i.Equal(s.Limits.UrgencyShares[sched.UrgencyUrgent], 0.6)
	i.Equal(s.Limits.LeaseDuration, 15*time.Second) // a default
	s = load(t, "examples/tiefenquell")
	i.Equal(len(s.Teams), 4)
	i.Equal(s.Teams[3].Requests, 0.0) // no limit
	i.Equal(s.Limits.DedupWindow, 30*time.Minute)
	i.Equal(s.TaskKinds[0].Urgency, sched.UrgencyBackground)
}

// Guards against an operators' page that shows other contents than the example files,
// leaves out an example file, or lacks a field of the schema or its default.
func TestPageShowsTheExamples(t *testing.T) {
	i := is.New(t)
	page, err := os.ReadFile("../../docs/operators/configuration.md")
	i.NoErr(err)
	blocks := regexp.MustCompile("(?s)`(examples/[a-z0-9/.-]+)`:\n\n```yaml\n(.*?)```").FindAllStringSubmatch(string(page), -1)
	shown := map[string]bool{}
	for _, b := range blocks {
		data, err := os.ReadFile("../../" + b[1])
		i.NoErr(err)
		if string(data) != b[2] {
			t.Errorf("%s differs from the page", b[1])
		}
		shown[b[1]] = true
	}
	for _, folder := range []string{"examples/tunog", "examples/tiefenquell"} {
		files, err := config.ReadFolder(os.DirFS("../../" + folder))
		i.NoErr(err)
		for _, f := range files {
			if !shown[folder+"/"+f.Name] {
				t.Errorf("the page doesn't show %s/%s", folder, f.Name)
			}
		}
	}
	// Every field of the schema is listed with its default.
	for _, field := range config.Fields() {
		if !strings.Contains(string(page), "| `"+field.Path+"` | "+field.Allowed+" | "+field.Default+" |") {
			t.Errorf("the page lacks or differs in the row of %s: | %s | %s |", field.Path, field.Allowed, field.Default)
		}
	}
}
