package platform

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held = iota
	broken
	couldNotRun
)

// caseTimeout bounds a case.
const caseTimeout = 115 * time.Second

// verdict is the result of a case: what was seen, and whether the rule was broken.
type verdict struct {
	broken bool
	reason string
}

// cases are the scripts, by the number of their folder. trouble tells whether the
// disruption is to happen.
var cases = map[string]func(c context.Context, d *deployment, trouble bool) (verdict, error){
	"advice":      advice,
	"occurrences": occurrences,
	"replaced":    replaced,
}

// Main runs a worker, or a case: its name, the path of the daemon and that of the record.
func Main(args []string) int {
	if len(args) > 0 && args[0] == "worker" {
		fmt.Fprintln(os.Stderr, runWorker(args[1:]))
		return couldNotRun
	}
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE DAEMON RECORD")
		return couldNotRun
	}
	f, err := os.Create(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer func() { _ = f.Close() }()
	c, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	c, end := context.WithTimeout(c, caseTimeout)
	defer end()
	j := &journal{file: f}
	d, err := newDeployment(args[1], j)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer d.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	j.note("driver begins, trouble %v", trouble)
	v, err := cases[args[0]](c, d, trouble)
	if err == nil {
		err = c.Err()
	}
	switch {
	case v.broken:
		j.note("driver rule broken: %s", v.reason)
		fmt.Println("rule broken:", v.reason)
		return broken
	case err != nil:
		j.note("driver could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldNotRun
	}
	j.note("driver rule held: %s", v.reason)
	fmt.Println("rule held:", v.reason)
	return held
}
