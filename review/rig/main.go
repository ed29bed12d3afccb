// Command rig plays a case of the review: it starts entry instances as separate processes,
// and stand-ins of the platform and of clients, brings about the disruption of the case, and
// checks one rule by what clients and workers have seen.
//
//	rig CASE FOLDER
//
// It writes record.txt in the folder of the case, and exits with 0 if the rule held, with 1
// if it was broken and with 2 if the case couldn't run. With TROUBLE=0 in the environment
// it does the same without the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest bounds a play.
const longest = 115 * time.Second

// playbook is a case: it plays it in a fleet and returns how the rule was broken, empty if
// it held.
type playbook struct {
	machines []place
	workers  int
	keepS    int
	// firstReport and kind are those of the first worker, see platform.Worker.
	firstReport func(life int) time.Duration
	kind        func(life int) string
	play        func(c context.Context, f *fleet, trouble bool) ([]string, error)
}

// place is where a machine stands, and the round trip from there to the store.
type place struct {
	zone, region string
	storeDelay   time.Duration
}

var cases = map[string]playbook{
	"stopping":  stoppingCase,
	"reborn":    rebornCase,
	"kinds":     kindsCase,
	"isolated":  isolatedCase,
	"paused":    pausedCase,
	"estimates": estimatesCase,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) != 2 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitNotRun
	}
	p, known := cases[arguments[0]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", arguments[0])
		return exitNotRun
	}
	out, err := os.Create(filepath.Join(arguments[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = out.Close() }()
	trouble := os.Getenv("TROUBLE") != "0"
	// Processes inherit an ignored SIGHUP, as from nohup, but not a handled one.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	c, cancel := context.WithTimeout(context.Background(), longest)
	defer cancel()
	f, err := newFleet(c, p, &record{out: out, begun: time.Now()})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	go f.closeOnSignal()
	f.record.logf("case %s, trouble %v", arguments[0], trouble)
	broken, err := p.play(c, f, trouble)
	if err == nil {
		err = c.Err()
	}
	switch {
	case len(broken) > 0:
		for _, b := range broken {
			f.record.logf("BROKEN: %s", b)
		}
		fmt.Println("rule broken:", broken[0])
		return exitBroken
	case err != nil:
		f.record.logf("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	f.record.logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
