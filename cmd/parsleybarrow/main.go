// Command parsleybarrow runs the entry instances and the command line of the
// scheduler.
package main

import (
	"context"
	"os"

	"github.com/parsleybarrow/parsleybarrow/internal/process/cli"
	"github.com/parsleybarrow/parsleybarrow/internal/process/sigs"
)

func main() {
	p := &cli.Program{
		Stdout: os.Stdout, Stderr: os.Stderr,
		Stops: sigs.Stops(), Hangups: sigs.Hangups(), HangupIgnored: sigs.HangupIgnored(),
	}
	os.Exit(int(p.Run(context.Background(), os.Args[1:])))
}
