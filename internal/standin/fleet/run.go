package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
)

// Options are the settings of the standin process.
type Options struct {
	// Setup is the name of a predefined setup, "tunog" or "tiefenquell".
	Setup string
	Seed  uint64
	// WorkersPerArea, if positive, replaces the setup's number of workers per data
	// centre.
	WorkersPerArea int
	// Admin is the listen address of the admin endpoint, as host:port.
	Admin string
}

// Run serves a simulated platform until the context is done. It writes one line of
// JSON with the addresses once all listeners are open, and one with the totals of the
// log and the observers when the context is done.
func Run(c context.Context, o Options, out io.Writer) error {
	build, ok := setups[o.Setup]
	if !ok {
		names := slices.Sorted(maps.Keys(setups))
		return fmt.Errorf("setup %q is unknown, allowed are %v", o.Setup, names)
	}
	s := build().WithSeed(o.Seed)
	if o.WorkersPerArea > 0 {
		s = s.WithWorkers(o.WorkersPerArea)
	}
	f := New(s, clock.System{})
	if err := f.Serve(o.Admin); err != nil {
		return err
	}
	e := json.NewEncoder(out)
	if err := e.Encode(f.addresses()); err != nil {
		return fmt.Errorf("write addresses: %w", err)
	}
	<-c.Done()
	if err := e.Encode(f.Counts()); err != nil {
		return fmt.Errorf("write counts: %w", err)
	}
	return f.Close()
}
