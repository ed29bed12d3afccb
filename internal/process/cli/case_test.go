package cli_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/parsleybarrow/parsleybarrow/internal/process/cli"
	"github.com/parsleybarrow/parsleybarrow/internal/standin/logsvc"
	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

var update = flag.Bool("update", false, "write the expected output of the cases")

// Guards against a failing command that prints no error line, several lines or a
// stack trace, or that ends with an undocumented exit code. Each folder of
// testdata/cases holds a command and its expected output.
func TestCases(t *testing.T) {
	folders, err := filepath.Glob("testdata/cases/*")
	if err != nil || len(folders) == 0 {
		t.Fatal("no folders in testdata/cases", err)
	}
	for _, dir := range folders {
		t.Run(filepath.Base(dir), func(t *testing.T) { runCase(t, dir) })
	}
}

func runCase(t *testing.T, dir string) {
	log := httptest.NewServer(logsvc.Handler(logsvc.New(clock.System{}, 1, logsvc.Retention{})))
	defer log.Close()
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = busy.Close() }()
	names := []string{"$CASE", dir, "$LOG", log.URL, "$BUSY", busy.Addr().String()}
	line, err := os.ReadFile(filepath.Join(dir, "cmd"))
	if err != nil {
		t.Fatal(err)
	}
	got := run(strings.Fields(strings.NewReplacer(names...).Replace(string(line))))
	for n := 0; n < len(names); n += 2 {
		got = strings.ReplaceAll(got, names[n+1], names[n])
	}
	file := filepath.Join(dir, "expected")
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Fatalf("got:\n%s\nwant:\n%s", got, want)
	}
	if errors := strings.Count(got, "stderr: "); errors > 1 {
		t.Fatalf("%d lines on standard error", errors)
	}
}

// run runs a command and returns its exit code and output as text.
func run(args []string) string {
	var out, errors bytes.Buffer
	p := &cli.Program{Stdout: &out, Stderr: &errors}
	code := p.Run(context.Background(), args)
	text := fmt.Sprintf("exit %d %s\n", code, exitName(code))
	for _, stream := range []struct {
		name string
		data string
	}{{"stdout", out.String()}, {"stderr", errors.String()}} {
		for _, l := range strings.Split(strings.TrimSuffix(stream.data, "\n"), "\n") {
			if l != "" {
				text += stream.name + ": " + l + "\n"
			}
		}
	}
	return text
}

func exitName(code sched.ExitCode) string {
	for _, e := range sched.ExitCodes() {
		if e.Code == code {
			return e.Name
		}
	}
	return "undocumented"
}

// Guards against codes that are missing on the page for operators, and against a
// meaning on the page that differs from the one in the code.
func TestPageOfCodesHasBothTables(t *testing.T) {
	page, err := os.ReadFile("../../../docs/codes.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows []string
	for _, e := range sched.Codes() {
		rows = append(rows, fmt.Sprintf("| %d | %s | %d | %s |", e.Code, e.Name, e.Status, e.Meaning))
	}
	for _, e := range sched.ExitCodes() {
		rows = append(rows, fmt.Sprintf("| %d | %s | %s |", e.Code, e.Name, e.Meaning))
	}
	var got []string
	for _, l := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(l, "| ") && !strings.HasPrefix(l, "| Code") && !strings.HasPrefix(l, "| ---") {
			got = append(got, l)
		}
	}
	if strings.Join(got, "\n") != strings.Join(rows, "\n") {
		t.Fatalf("docs/codes.md has\n%s\nthe code has\n%s", strings.Join(got, "\n"), strings.Join(rows, "\n"))
	}
}
