// Command parsleybarrow runs the entry instances and the command line of the
// scheduler.
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
	// After the first signal the default handling applies again, so that a second
	// signal ends a process whose drain takes too long.
	context.AfterFunc(c, stop)
	p := &cli.Program{Stdout: os.Stdout, Stderr: os.Stderr}
	code := p.Run(c, os.Args[1:])
	stop()
	os.Exit(int(code))
}
