package cli

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/parsleybarrow/parsleybarrow/internal/process/demo"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// demoCmd runs the demo.
type demoCmd struct {
	Duration time.Duration `default:"20s" min:"5s" max:"10m" help:"Time for which load is driven."`
	Seed     int           `default:"1" min:"0" max:"9223372036854775807" help:"Seed of load, stand-ins and of the choice of the killed instance."`
	Verbose  bool          `help:"Show the log lines of the instances."`
	// UncheckedDuplicates disables the duplicate check, to show that the
	// observers detect doubled requests.
	UncheckedDuplicates bool `hidden:"" help:"Send unrepeatable requests without the duplicate check."`
}

// Run implements the command.
func (x *demoCmd) Run(c context.Context, p *Program) error {
	log := zap.NewNop()
	if x.Verbose {
		log = logger(p)
	}
	d := &demo.Demo{
		Duration: x.Duration, Seed: uint64(x.Seed), UncheckedDuplicates: x.UncheckedDuplicates,
		Progress: p.Stderr, Logger: log,
	}
	s, err := d.Run(c)
	if err != nil {
		return err
	}
	s.Print(p.Stdout)
	line, err := json.Marshal(s)
	if err != nil {
		return err
	}
	p.printf("%s\n", line)
	if broken := s.Violation(); broken != "" {
		return failf(sched.ExitInvariant, "%s", broken)
	}
	return nil
}
