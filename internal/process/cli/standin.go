package cli

import (
	"context"

	"github.com/parsleybarrow/parsleybarrow/internal/standin/fleet"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// standinCmd runs the stand-ins of the platform and of backend servers.
type standinCmd struct {
	Setup   string  `default:"tunog" enum:"tunog,tiefenquell" help:"Which user's platform: ${enum}."`
	Seed    int     `default:"1" min:"0" max:"9223372036854775807" help:"Seed of service times, run times and faults."`
	Workers int     `default:"0" min:"0" max:"1000" help:"Workers per data centre; 0 keeps those of the setup."`
	Admin   address `default:"127.0.0.1:7899" help:"Address of the endpoint that switches faults on and off and returns the counts."`
}

// Run implements the command.
func (x *standinCmd) Run(c context.Context, p *Program) error {
	err := fleet.Run(c, fleet.Options{
		Setup: x.Setup, Seed: uint64(x.Seed), WorkersPerArea: x.Workers, Admin: string(x.Admin),
	}, p.Stdout)
	if err != nil {
		return fail(sched.ExitAddress, err)
	}
	return nil
}
