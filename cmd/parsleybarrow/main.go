// Command parsleybarrow is the daemon and the command line of the scheduler.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/parsleybarrow/parsleybarrow/internal/process/cli"
)

func main() {
	c, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	// A second signal ends a process whose drain takes too long.
	context.AfterFunc(c, stop)
	p := &cli.Program{Stdout: os.Stdout, Stderr: os.Stderr}
	code := p.Run(c, os.Args[1:])
	stop()
	os.Exit(int(code))
}
